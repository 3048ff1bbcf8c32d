#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace rwf {

enum class HttpMessageType { kRequest, kResponse };

// One received HTTP/1.1 message. Bodies are held without their chunk framing.
struct ReceivedMessage {
  std::string method;  // requests
  std::string target;  // requests: path and query as sent
  int status = 0;      // responses
  HttpHeaders headers;
  std::string body;
  bool keep_alive = true;
  // False for a response whose body ends with its connection.
  bool is_self_delimited = true;
};

// Largest parts of a message that are taken. Zero means no limit.
struct MessageLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
};

enum class ParseState {
  kHead,      // start line or header fields are not complete
  kBody,      // the head is complete, the body is not
  kComplete,  // a whole message is held; Reset starts the next one
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,
};

// Takes HTTP messages of one direction apart, one at a time. Bytes behind a
// complete message are left to the caller.
class MessageParser {
 public:
  MessageParser(HttpMessageType type, MessageLimits limits);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Consumes bytes up to the end of the message; returns how many were used.
  size_t Feed(std::string_view bytes);
  // The sender closed its side. Completes a response without length.
  void FeedEof();
  // Starts the next message. `is_head_response`: the response has no body.
  void Reset(bool is_head_response = false);
  void set_limits(MessageLimits limits) { limits_ = limits; }

  ParseState state() const { return state_; }
  // True once a byte of the present message has been consumed.
  bool has_begun() const { return has_begun_; }
  const ReceivedMessage& message() const { return message_; }
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
  bool CountHeadBytes(size_t n);
  void FlushField();

  HttpMessageType type_;
  MessageLimits limits_;
  http_parser raw_{};
  ParseState state_ = ParseState::kHead;
  ReceivedMessage message_;
  std::string field_;
  std::string value_;
  bool has_value_ = false;
  bool has_begun_ = false;
  bool is_head_response_ = false;
  size_t head_bytes_ = 0;
};

// The bytes of a message with its body under Content-Length.
std::string SerializeRequest(std::string_view method, std::string_view target,
                             const HttpHeaders& headers, std::string_view body);
std::string SerializeResponse(int status, const HttpHeaders& headers,
                              std::string_view body, bool is_head_response);

// True for fields that concern one connection only and are never forwarded,
// among them those that frame the body.
bool IsHopByHopField(std::string_view name);

// Copies the fields that may be forwarded: no connection fields, none that the
// Connection field of the message names.
HttpHeaders ForwardableHeaders(const HttpHeaders& headers);

}  // namespace rwf
