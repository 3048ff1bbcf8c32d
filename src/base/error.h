#pragma once

#include <string>
#include <system_error>
#include <tl/expected.hpp>
#include <utility>

namespace rwf {

// An error code of the reporting layer and a human-readable message. Each layer
// has its own error category and translates the codes of the layers below.
struct Error {
  std::error_code code;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

// A value, or the error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

// Builds the error alternative of a Result.
inline tl::unexpected<Error> Fail(std::error_code code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace rwf
