#include "http/parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <climits>
#include <new>
#include <vector>

namespace rwf {
namespace {

std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const size_t n = std::min(text.find(','), text.size());
    std::string_view it = text.substr(0, n);
    while (!it.empty() && it.front() == ' ') it.remove_prefix(1);
    while (!it.empty() && it.back() == ' ') it.remove_suffix(1);
    if (!it.empty()) out.push_back(it);
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return out;
}

bool IsRejected(ParseState state) {
  return state != ParseState::kHead && state != ParseState::kBody &&
         state != ParseState::kComplete;
}

// True for a response that ends with its head, whatever its fields say.
bool EndsWithHead(const http_parser& raw, bool is_head_response) {
  return raw.status_code / 100 == 1 ||
         !HasResponseBody(raw.status_code, is_head_response);
}

// http_parser has no public function for this.
bool IsSelfDelimited(const http_parser& raw, bool is_head_response) {
  return EndsWithHead(raw, is_head_response) || (raw.flags & F_CHUNKED) != 0 ||
         raw.content_length != ULLONG_MAX;
}

void AppendFields(const HttpHeaders& headers, std::string* out) {
  for (const auto& [name, value] : headers) {
    out->append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

MessageParser::MessageParser(HttpMessageType type, MessageLimits limits)
    : type_(type), limits_(limits), validator_(type) {
  Reset();
}

void MessageParser::Reset(bool is_head_response) {
  http_parser_init(
      &raw_, type_ == HttpMessageType::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  raw_.data = this;
  validator_.Reset(is_head_response);
  state_ = ParseState::kHead;
  message_ = ReceivedMessage{};
  field_.clear();
  value_.clear();
  has_value_ = false;
  has_begun_ = false;
  head_bytes_ = 0;
  fields_ = 0;
  interim_responses_ = 0;
  is_head_response_ = is_head_response;
}

const http_parser_settings& MessageParser::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_url = &MessageParser::HandleUrl;
    it.on_header_field = &MessageParser::HandleField;
    it.on_header_value = &MessageParser::HandleValue;
    it.on_headers_complete = &MessageParser::HandleHeadersComplete;
    it.on_body = &MessageParser::HandleBody;
    it.on_message_complete = &MessageParser::HandleMessageComplete;
    return it;
  }();
  return kSettings;
}

size_t MessageParser::Feed(std::string_view bytes) {
  if (state_ != ParseState::kHead && state_ != ParseState::kBody) return 0;
  if (bytes.empty()) return 0;
  has_begun_ = true;
  const size_t n = validator_.Feed(bytes);
  if (validator_.state() == MessageValidator::State::kInvalid) {
    state_ = ParseState::kMalformed;
    return n;
  }
  const size_t parsed =
      http_parser_execute(&raw_, &Settings(), bytes.data(), n);
  // A callback has set the reason.
  if (IsRejected(state_)) return parsed;
  // http_parser is paused at the end of a message, which is no error.
  const bool has_failed =
      state_ != ParseState::kComplete &&
      (HTTP_PARSER_ERRNO(&raw_) != HPE_OK || raw_.upgrade != 0);
  if (has_failed || parsed != n || !IsInStep()) state_ = ParseState::kMalformed;
  return parsed;
}

bool MessageParser::IsInStep() const {
  switch (validator_.state()) {
    case MessageValidator::State::kHead:
      return state_ == ParseState::kHead;
    case MessageValidator::State::kBody:
      return state_ == ParseState::kBody;
    case MessageValidator::State::kComplete:
      return state_ == ParseState::kComplete;
    case MessageValidator::State::kInvalid:
      return false;
  }
  return false;
}

void MessageParser::FeedEof() {
  if (state_ != ParseState::kBody) return;
  http_parser_execute(&raw_, &Settings(), nullptr, 0);
  if (state_ != ParseState::kComplete) state_ = ParseState::kMalformed;
}

bool MessageParser::CountHeadBytes(size_t n) {
  head_bytes_ += n;
  if (limits_.max_header_bytes == 0 || head_bytes_ <= limits_.max_header_bytes)
    return true;
  state_ = ParseState::kHeadTooLarge;
  return false;
}

void MessageParser::FlushField() {
  if (!has_value_ && field_.empty()) return;
  ++fields_;
  // http_parser leaves the blanks that follow a value.
  message_.headers.Add(std::move(field_), std::string(TrimBlanks(value_)));
  field_.clear();
  value_.clear();
  has_value_ = false;
}

int MessageParser::HandleUrl(http_parser* raw, const char* data, size_t n) {
  MessageParser* self = Self(raw);
  self->message_.target.append(data, n);
  return self->CountHeadBytes(n) ? 0 : 1;
}

int MessageParser::HandleField(http_parser* raw, const char* data, size_t n) {
  MessageParser* self = Self(raw);
  // Trailers of a chunked body are discarded, but count as part of the head.
  if (self->state_ == ParseState::kBody) return self->CountHeadBytes(n) ? 0 : 1;
  if (self->has_value_) self->FlushField();
  self->field_.append(data, n);
  return self->CountHeadBytes(n) ? 0 : 1;
}

int MessageParser::HandleValue(http_parser* raw, const char* data, size_t n) {
  MessageParser* self = Self(raw);
  if (self->state_ == ParseState::kBody) return self->CountHeadBytes(n) ? 0 : 1;
  self->has_value_ = true;
  self->value_.append(data, n);
  return self->CountHeadBytes(n) ? 0 : 1;
}

int MessageParser::HandleHeadersComplete(http_parser* raw) {
  MessageParser* self = Self(raw);
  self->FlushField();
  self->state_ = ParseState::kBody;
  // An announced length is checked before any byte of the body is kept.
  const size_t limit = self->limits_.max_body_bytes;
  const bool has_length = raw->content_length != ULLONG_MAX;
  if (limit != 0 && has_length && raw->content_length > limit &&
      !self->is_head_response_) {
    self->state_ = ParseState::kBodyTooLarge;
    return -1;
  }
  ReceivedMessage& message = self->message_;
  message.keep_alive = http_should_keep_alive(raw) != 0;
  if (self->type_ == HttpMessageType::kRequest) {
    message.method = http_method_str(static_cast<http_method>(raw->method));
    return 0;
  }
  message.status = raw->status_code;
  message.is_self_delimited = IsSelfDelimited(*raw, self->is_head_response_);
  return EndsWithHead(*raw, self->is_head_response_) ? 1 : 0;
}

int MessageParser::HandleBody(http_parser* raw, const char* data, size_t n) {
  MessageParser* self = Self(raw);
  const size_t limit = self->limits_.max_body_bytes;
  if (limit != 0 && self->message_.body.size() + n > limit) {
    self->state_ = ParseState::kBodyTooLarge;
    return 1;
  }
  try {
    self->message_.body.Append({data, n});
  } catch (const std::bad_alloc&) {
    // Exceptions must not pass through the C code of http_parser.
    self->state_ = ParseState::kOutOfMemory;
    return 1;
  }
  return 0;
}

int MessageParser::HandleMessageComplete(http_parser* raw) {
  MessageParser* self = Self(raw);
  // Interim (1xx) responses precede the final response and are skipped.
  if (self->type_ == HttpMessageType::kResponse && raw->status_code >= 100 &&
      raw->status_code < 200) {
    if (++self->interim_responses_ > kMaxInterimResponses) {
      self->state_ = ParseState::kHeadTooLarge;
      return 1;
    }
    self->message_ = ReceivedMessage{};
    self->state_ = ParseState::kHead;
    return 0;
  }
  self->message_.buffered_bytes = self->buffered_bytes();
  self->state_ = ParseState::kComplete;
  http_parser_pause(raw, 1);
  return 0;
}

std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& headers,
                                 size_t body_bytes) {
  std::string out;
  out.reserve(256);
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(headers, &out);
  const bool has_body_semantics =
      method == "POST" || method == "PUT" || method == "PATCH";
  if (body_bytes > 0 || has_body_semantics)
    out.append(fmt::format("Content-Length: {}\r\n", body_bytes));
  out.append("\r\n");
  return out;
}

bool HasResponseBody(int status, bool is_head_response) {
  return status != 204 && status != 304 && !is_head_response;
}

std::string SerializeResponseHead(int status, const HttpHeaders& headers,
                                  size_t body_bytes, bool is_head_response) {
  std::string out;
  out.reserve(256);
  out.append(fmt::format("HTTP/1.1 {} {}\r\n", status,
                         http_status_str(static_cast<http_status>(status))));
  AppendFields(headers, &out);
  if (HasResponseBody(status, is_head_response))
    out.append(fmt::format("Content-Length: {}\r\n", body_bytes));
  out.append("\r\n");
  return out;
}

bool IsHopByHopField(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "connection",
      "keep-alive",
      "proxy-connection",
      "transfer-encoding",
      "te",
      "trailer",
      "upgrade",
      "expect",
      "content-length",
      "proxy-authorization"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view it) {
    return EqualsIgnoreCase(it, name);
  });
}

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  std::vector<std::string_view> connection_options;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoreCase(name, "connection")) continue;
    for (std::string_view it : SplitList(value))
      connection_options.push_back(it);
  }
  HttpHeaders out;
  for (const HttpHeaders::Field& field : headers) {
    if (IsHopByHopField(field.first)) continue;
    const bool is_connection_option = std::any_of(
        connection_options.begin(), connection_options.end(),
        [&](std::string_view it) { return EqualsIgnoreCase(it, field.first); });
    if (!is_connection_option) out.Add(field.first, field.second);
  }
  return out;
}

}  // namespace rwf
