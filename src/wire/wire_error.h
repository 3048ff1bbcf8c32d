#pragma once

#include <system_error>

namespace rwf {

// Why bytes from a peer were refused. Each closes the link.
enum class WireErrc {
  kTooLong = 1,
  kBadMac,     // altered, replayed, reordered or of another session
  kMalformed,  // not a valid FlatBuffer
  kVersion,
  kCluster,
  kProof,       // no secret known here explains the peer's proof
  kUnexpected,  // a message that does not belong to the state of the link
};

std::error_code make_error_code(WireErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::WireErrc> : std::true_type {};
