#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/body.h"
#include "net/http_message.h"
#include "net/message_validator.h"

namespace rwf {

// A received HTTP/1.1 message. The body is kept without chunk framing.
struct ReceivedMessage {
  std::string method;  // requests
  std::string target;  // requests: path and query as sent
  int status = 0;      // responses
  HttpHeaders headers;
  Body body;
  bool keep_alive = true;
  // False for a response whose body is delimited by the close of its
  // connection.
  bool is_self_delimited = true;
  // Memory that the message takes: its body, its head and a constant for each
  // header field.
  size_t buffered_bytes = 0;
  // Requests: when the last byte was read. Set by the receiver.
  TimePoint received_at{};
};

// Maximum sizes of a message. Zero means no limit.
struct MessageLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
};

enum class ParseState {
  kHead,      // the start line or header fields are incomplete
  kBody,      // the head is complete, the body is incomplete
  kComplete,  // the message is complete; Reset starts the next one
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,
  kOutOfMemory,  // for a further block of the body
};

// Parses the HTTP messages of one direction, one at a time. Bytes after a
// complete message are not consumed. http_parser gets only what the validator
// has accepted: as Debian builds it, it takes blanks in field names, any status
// and version, and any bytes at the end of a chunk.
class MessageParser {
 public:
  MessageParser(HttpMessageType type, MessageLimits limits);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Consumes bytes up to the end of the message and returns their number.
  size_t Feed(std::string_view bytes);
  // Must be called when the sender has closed its side of the connection.
  // Completes a response that is not self-delimited.
  void FeedEof();
  // Starts the next message. `is_head_response` is true for the response to a
  // HEAD request, which has no body.
  void Reset(bool is_head_response = false);
  void set_limits(MessageLimits limits) { limits_ = limits; }

  ParseState state() const { return state_; }
  // True once a byte of the current message has been consumed.
  bool has_begun() const { return has_begun_; }
  const ReceivedMessage& message() const { return message_; }
  // Memory that the message takes so far.
  size_t buffered_bytes() const {
    return message_.body.size() + head_bytes_ + fields_ * kFieldBytes +
           validator_.buffered_bytes();
  }
  ReceivedMessage Take() { return std::move(message_); }

 private:
  static int HandleUrl(http_parser* raw, const char* data, size_t n);
  static int HandleField(http_parser* raw, const char* data, size_t n);
  static int HandleValue(http_parser* raw, const char* data, size_t n);
  static int HandleHeadersComplete(http_parser* raw);
  static int HandleBody(http_parser* raw, const char* data, size_t n);
  static int HandleMessageComplete(http_parser* raw);
  static const http_parser_settings& Settings();
  static MessageParser* Self(http_parser* raw) {
    return static_cast<MessageParser*>(raw->data);
  }
  // Interim responses that may precede one final response.
  static constexpr int kMaxInterimResponses = 16;
  // Memory of a header field beside its bytes. Fields of a few bytes each would
  // otherwise take many times what is counted.
  static constexpr size_t kFieldBytes = 2 * sizeof(HttpHeaders::Field);

  // True if the validator and http_parser are at the same part of the message.
  bool IsInStep() const;
  bool CountHeadBytes(size_t n);
  void FlushField();

  HttpMessageType type_;
  MessageLimits limits_;
  MessageValidator validator_;
  http_parser raw_{};
  ParseState state_ = ParseState::kHead;
  ReceivedMessage message_;
  std::string field_;
  std::string value_;
  bool has_value_ = false;
  bool has_begun_ = false;
  bool is_head_response_ = false;
  size_t head_bytes_ = 0;  // including trailers
  size_t fields_ = 0;
  int interim_responses_ = 0;
};

// Serialize the head of a message whose body is delimited by Content-Length.
std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& headers, size_t body_bytes);
// A response to a HEAD request, and one with status 204 or 304, has no body.
bool HasResponseBody(int status, bool is_head_response);
std::string SerializeResponseHead(int status, const HttpHeaders& headers,
                                  size_t body_bytes, bool is_head_response);

// True for header fields that apply to a single connection and are never
// forwarded, including those that frame the body.
bool IsHopByHopField(std::string_view name);

// Copies the header fields that may be forwarded: all except hop-by-hop fields
// and fields that are listed in the Connection field.
HttpHeaders ForwardableHeaders(const HttpHeaders& headers);

}  // namespace rwf
