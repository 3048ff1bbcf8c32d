#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rwf {

// What a whole answer of an upstream double states about itself.
struct ResponseBody {
  std::string instance;
  std::string workspace;
  std::string load_id;

  friend bool operator==(const ResponseBody&, const ResponseBody&) = default;
};

// One JSON line, padding up to `size` bytes, and the SHA-256 of all that in
// hexadecimal at the end.
std::string FormatResponseBody(const ResponseBody& fields, size_t size);

// The statement of a body that is whole and unchanged.
std::optional<ResponseBody> ParseResponseBody(std::string_view body);

}  // namespace rwf
