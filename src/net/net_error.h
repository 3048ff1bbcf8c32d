#pragma once

#include <system_error>

namespace rwf {

// Failures of sockets and HTTP exchanges that callers distinguish.
enum class NetErrc {
  kListenFailed = 1,
  kConnectRefused,  // the remote kernel reported that no process listens
  kConnectFailed,
  kDeadline,
  kBroken,  // closed, malformed or truncated before the response was complete
  kTooLarge,
  kUnframed,  // response without a length: truncation cannot be detected
  kRequestIdMismatch,  // response with the id of another request
  kCancelled,
};

std::error_code make_error_code(NetErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::NetErrc> : std::true_type {};
