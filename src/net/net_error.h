#pragma once

#include <system_error>

namespace rwf {

// Failures of sockets and HTTP exchanges, as the layers above need to tell them
// apart.
enum class NetErrc {
  kListenFailed = 1,
  kConnectRefused,  // the kernel of the other side answered that nobody listens
  kConnectFailed,
  kDeadline,
  kBroken,  // closed, malformed or cut before the whole answer had come
  kTooLarge,
  kUnframed,           // an answer whose end cannot be told from a cut
  kRequestIdMismatch,  // an answer that names another request
  kCancelled,
};

std::error_code make_error_code(NetErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::NetErrc> : std::true_type {};
