#include "net/message_validator.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace rwf {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

constexpr std::array<bool, 256> kTokenChars = [] {
  std::array<bool, 256> out{};
  for (const char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
    out[static_cast<unsigned char>(c)] = true;
  return out;
}();

bool IsTokenChar(char c) { return kTokenChars[static_cast<unsigned char>(c)]; }
bool IsBlank(char c) { return c == ' ' || c == '\t'; }
bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Bytes above 0x7f are allowed (obs-text).
bool IsVisible(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte != 0x7f;
}

// Removes the characters up to the next space from `text`, and the spaces that
// follow, and returns the former.
std::string_view TakeWord(std::string_view* text) {
  const size_t n = std::min(text->find(' '), text->size());
  const std::string_view word = text->substr(0, n);
  text->remove_prefix(n);
  while (text->starts_with(' ')) text->remove_prefix(1);
  return word;
}

// Returns the minor version of an HTTP/1 version.
std::optional<int> MinorVersion(std::string_view text) {
  if (text.size() != 8 || !text.starts_with("HTTP/1.") || !IsDigit(text[7]))
    return std::nullopt;
  return text[7] - '0';
}

// Returns the value of a Content-Length field.
std::optional<uint64_t> ParseLength(std::string_view text) {
  uint64_t out = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, out);
  if (text.empty() || ec != std::errc() || stop != end) return std::nullopt;
  return out;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return IsVisible(c) || IsBlank(c); });
}

bool IsTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsVisible);
}

size_t LengthOfToken(std::string_view text) {
  return static_cast<size_t>(
      std::find_if_not(text.begin(), text.end(), IsTokenChar) - text.begin());
}

// Returns the length of the quoted string that begins the text, or zero.
size_t LengthOfQuotedString(std::string_view text) {
  if (!text.starts_with('"')) return 0;
  for (size_t n = 1; n < text.size(); ++n) {
    if (text[n] == '"') return n + 1;
    if (text[n] == '\\' && ++n == text.size()) return 0;
    if (!IsVisible(text[n]) && !IsBlank(text[n])) return 0;
  }
  return 0;
}

std::string_view SkipBlanks(std::string_view text) {
  return text.substr(std::min(text.find_first_not_of(" \t"), text.size()));
}

// True for what may follow the size of a chunk: *( ";" name [ "=" value ] ).
bool IsChunkExtension(std::string_view text) {
  while (!text.empty()) {
    text = SkipBlanks(text);
    if (!text.starts_with(';')) return false;
    text = SkipBlanks(text.substr(1));
    const size_t name = LengthOfToken(text);
    if (name == 0) return false;
    text.remove_prefix(name);
    const std::string_view rest = SkipBlanks(text);
    if (!rest.starts_with('=')) continue;
    text = SkipBlanks(rest.substr(1));
    const size_t value =
        std::max(LengthOfToken(text), LengthOfQuotedString(text));
    if (value == 0) return false;
    text.remove_prefix(value);
  }
  return true;
}

}  // namespace

bool BodyFraming::AddContentLength(std::string_view value) {
  const bool is_first = !length_ && !is_chunked_;
  length_ = ParseLength(value);
  return is_first && length_.has_value();
}

bool BodyFraming::AddTransferEncoding(std::string_view value) {
  const bool is_first = !length_ && !is_chunked_;
  is_chunked_ = EqualsIgnoreCase(value, "chunked");
  return is_first && is_chunked_;
}

MessageValidator::MessageValidator(HttpMessageType type) : type_(type) {}

void MessageValidator::Reset(bool is_head_response) {
  *this = MessageValidator(type_);
  is_head_response_ = is_head_response;
}

size_t MessageValidator::Feed(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() &&
         (state_ == State::kHead || state_ == State::kBody)) {
    const std::string_view rest = bytes.substr(used);
    used += body_bytes_left_ > 0 ? SkipBody(rest.size()) : ReadLine(rest);
  }
  return used;
}

size_t MessageValidator::SkipBody(size_t available) {
  const uint64_t n = std::min<uint64_t>(body_bytes_left_, available);
  body_bytes_left_ -= n;
  if (body_bytes_left_ == 0 && !framing_.is_chunked())
    state_ = State::kComplete;
  return static_cast<size_t>(n);
}

size_t MessageValidator::ReadLine(std::string_view bytes) {
  const size_t at = bytes.find('\n');
  const size_t n = at == std::string_view::npos ? bytes.size() : at + 1;
  std::string_view line = bytes.substr(0, n);
  if (IsChunkLine() && line_.size() + n > kMaxChunkLineBytes) {
    Fail();
    return n;
  }
  if (at == std::string_view::npos || !line_.empty()) line_.append(line);
  if (at == std::string_view::npos) return n;
  if (!line_.empty()) line = line_;
  line.remove_suffix(1);
  const bool has_cr = line.ends_with('\r');
  if (has_cr) line.remove_suffix(1);
  if (!has_cr && IsChunkLine()) {
    Fail();
  } else {
    (this->*on_line_)(line);
  }
  line_.clear();
  return n;
}

bool MessageValidator::IsChunkLine() const {
  return on_line_ == &MessageValidator::OnChunkSize ||
         on_line_ == &MessageValidator::OnChunkEnd;
}

void MessageValidator::OnStartLine(std::string_view line) {
  const bool is_request = type_ == HttpMessageType::kRequest;
  if (is_request && line.empty()) return;
  on_line_ = &MessageValidator::OnFieldLine;
  if (is_request) {
    const bool has_method = IsToken(TakeWord(&line));
    const std::string_view target = TakeWord(&line);
    const std::optional<int> version = MinorVersion(line);
    if (!has_method || !version || !IsTarget(target)) {
      Fail();
      return;
    }
    minor_version_ = *version;
    return;
  }
  // No later version of HTTP/1 exists, so an instance that names one did not
  // send a response. Requests of such a version are treated as HTTP/1.1 (RFC
  // 9110, 2.5).
  const std::optional<int> version = MinorVersion(TakeWord(&line));
  const std::string_view status = TakeWord(&line);
  if (!version || *version > 1 || status.size() != 3 ||
      !std::all_of(status.begin(), status.end(), IsDigit) ||
      !IsFieldValue(line)) {
    Fail();
    return;
  }
  minor_version_ = *version;
  std::from_chars(status.data(), status.data() + status.size(), status_);
  if (status_ < kMinStatus || status_ > kMaxStatus) Fail();
}

bool MessageValidator::IsValidFieldLine(std::string_view line) {
  if (IsBlank(line.front())) return has_field_ && IsFieldValue(line);
  const size_t colon = line.find(':');
  has_field_ = true;
  return colon != std::string_view::npos && IsToken(line.substr(0, colon)) &&
         IsFieldValue(line.substr(colon + 1));
}

void MessageValidator::OnFieldLine(std::string_view line) {
  if (line.empty()) {
    FinishFramingField();
    if (state_ == State::kHead) OnHeadComplete();
    return;
  }
  if (!IsValidFieldLine(line)) {
    Fail();
    return;
  }
  if (IsBlank(line.front())) {
    if (framing_field_ != FramingField::kNone)
      framing_value_.append(" ").append(TrimBlanks(line));
    return;
  }
  FinishFramingField();
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  framing_field_ = EqualsIgnoreCase(name, "Content-Length")
                       ? FramingField::kContentLength
                   : EqualsIgnoreCase(name, "Transfer-Encoding")
                       ? FramingField::kTransferEncoding
                       : FramingField::kNone;
  if (framing_field_ != FramingField::kNone)
    framing_value_ = TrimBlanks(line.substr(colon + 1));
}

void MessageValidator::FinishFramingField() {
  const FramingField field = framing_field_;
  if (field == FramingField::kNone) return;
  framing_field_ = FramingField::kNone;
  const std::string_view value = TrimBlanks(framing_value_);
  // HTTP/1.0 has no transfer codings.
  const bool is_valid =
      field == FramingField::kContentLength
          ? framing_.AddContentLength(value)
          : minor_version_ > 0 && framing_.AddTransferEncoding(value);
  if (!is_valid) Fail();
  framing_value_.clear();
}

void MessageValidator::OnHeadComplete() {
  if (type_ == HttpMessageType::kResponse && status_ < 200) {
    // The final response follows an interim one.
    Reset(is_head_response_);
    return;
  }
  const bool has_no_body =
      is_head_response_ || status_ == 204 || status_ == 304;
  if (has_no_body) {
    state_ = State::kComplete;
    return;
  }
  state_ = State::kBody;
  if (framing_.is_chunked()) {
    on_line_ = &MessageValidator::OnChunkSize;
    return;
  }
  const uint64_t default_length = type_ == HttpMessageType::kRequest
                                      ? 0
                                      : std::numeric_limits<uint64_t>::max();
  body_bytes_left_ = framing_.length().value_or(default_length);
  if (body_bytes_left_ == 0) state_ = State::kComplete;
}

void MessageValidator::OnChunkSize(std::string_view line) {
  uint64_t size = 0;
  const char* end = line.data() + line.size();
  const auto [stop, ec] = std::from_chars(line.data(), end, size, 16);
  if (ec != std::errc() || stop == line.data() ||
      !IsChunkExtension(line.substr(static_cast<size_t>(stop - line.data())))) {
    Fail();
    return;
  }
  body_bytes_left_ = size;
  has_field_ = false;
  on_line_ = size > 0 ? &MessageValidator::OnChunkEnd
                      : &MessageValidator::OnTrailerLine;
}

void MessageValidator::OnChunkEnd(std::string_view line) {
  on_line_ = &MessageValidator::OnChunkSize;
  if (!line.empty()) Fail();
}

void MessageValidator::OnTrailerLine(std::string_view line) {
  if (line.empty()) {
    state_ = State::kComplete;
  } else if (!IsValidFieldLine(line)) {
    Fail();
  }
}

bool IsRequestHeadValid(std::string_view target, const HttpHeaders& headers) {
  if (!IsTarget(target)) return false;
  BodyFraming framing;
  for (const auto& [name, value] : headers) {
    if (!IsToken(name) || !IsFieldValue(value)) return false;
    if (EqualsIgnoreCase(name, "Content-Length") &&
        !framing.AddContentLength(TrimBlanks(value)))
      return false;
    if (EqualsIgnoreCase(name, "Transfer-Encoding") &&
        !framing.AddTransferEncoding(TrimBlanks(value)))
      return false;
  }
  return true;
}

}  // namespace rwf
