#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rwf {

// Fields that an upstream double writes into each response body.
struct ResponseBody {
  std::string instance;
  std::string workspace;
  std::string load_id;

  friend bool operator==(const ResponseBody&, const ResponseBody&) = default;
};

// One JSON line, padding up to `size` bytes, and the SHA-256 of all that in
// hexadecimal at the end.
std::string FormatResponseBody(const ResponseBody& fields, size_t size);

// Returns nullopt if the body is truncated or altered.
std::optional<ResponseBody> ParseResponseBody(std::string_view body);

}  // namespace rwf
