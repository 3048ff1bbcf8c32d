#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace rwf {

enum class HttpMessageType : uint8_t { kRequest, kResponse };

// The length of a body as its header fields state it.
class BodyFraming {
 public:
  // Add the value of a field. Return false if the value is invalid, or if a
  // field before it leaves the length in doubt.
  bool AddContentLength(std::string_view value);
  bool AddTransferEncoding(std::string_view value);

  bool is_chunked() const { return is_chunked_; }
  const std::optional<uint64_t>& length() const { return length_; }

 private:
  std::optional<uint64_t> length_;
  bool is_chunked_ = false;
};

// Checks the bytes of one direction of a connection against the message syntax
// of HTTP/1.1 (RFC 9112) and finds where each message ends. It stands in front
// of parsers that accept more than the syntax allows; a proxy must not pass
// such messages on, since the next recipient may read them differently.
//
// More than the grammar is accepted where RFC 9112 allows it to recipients:
// lines of the head that end in LF alone (2.2), empty lines before a request
// (2.2), several blanks between the parts of a start line (3, 4) and folded
// values (5.2). Transfer codings other than "chunked" are invalid, since the
// bytes of the body would be passed on without the name of their coding.
class MessageValidator {
 public:
  enum class State : uint8_t {
    kHead,  // the start line or header fields are incomplete
    kBody,
    kComplete,  // Reset starts the next message
    kInvalid,
  };

  // Maximum bytes of a line that frames a chunk, including extensions.
  static constexpr size_t kMaxChunkLineBytes = 4 << 10;

  explicit MessageValidator(HttpMessageType type);

  // Starts the next message. `is_head_response` is true for the response to a
  // HEAD request, which has no body.
  void Reset(bool is_head_response = false);

  // Consumes bytes up to the end of the message and returns their number. A
  // response that is delimited by the close of its connection stays in kBody.
  size_t Feed(std::string_view bytes);

  State state() const { return state_; }
  // Memory that the incomplete line takes.
  size_t buffered_bytes() const { return line_.size() + framing_value_.size(); }

 private:
  using LineHandler = void (MessageValidator::*)(std::string_view line);
  enum class FramingField : uint8_t {
    kNone,
    kContentLength,
    kTransferEncoding
  };

  size_t SkipBody(size_t available);
  size_t ReadLine(std::string_view bytes);
  // Handlers of one line each, without its end.
  void OnStartLine(std::string_view line);
  void OnFieldLine(std::string_view line);
  void OnChunkSize(std::string_view line);
  void OnChunkEnd(std::string_view line);
  void OnTrailerLine(std::string_view line);

  bool IsChunkLine() const;
  bool IsValidFieldLine(std::string_view line);
  // Evaluates the field that frames the body, once its value is complete.
  void FinishFramingField();
  void OnHeadComplete();
  void Fail() { state_ = State::kInvalid; }

  HttpMessageType type_;
  bool is_head_response_ = false;
  State state_ = State::kHead;
  LineHandler on_line_ = &MessageValidator::OnStartLine;
  std::string line_;  // the part of a line that an earlier call received
  int minor_version_ = 1;
  int status_ = 0;          // responses
  bool has_field_ = false;  // a line may continue the field before it
  FramingField framing_field_ = FramingField::kNone;
  std::string framing_value_;
  BodyFraming framing_;
  uint64_t body_bytes_left_ = 0;  // of the body or the current chunk
};

// True if the target and header fields of a request that a lenient parser has
// read are valid, and frame its body without doubt.
bool IsRequestHeadValid(std::string_view target, const HttpHeaders& headers);

}  // namespace rwf
