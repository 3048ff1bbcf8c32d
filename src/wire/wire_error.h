#pragma once

#include <system_error>

namespace rwf {

// Why data from a peer was rejected. Every error closes the link.
enum class WireErrc {
  kTooLong = 1,
  kBadMac,     // altered, replayed, reordered or of another session
  kMalformed,  // not a valid FlatBuffer
  kVersion,
  kCluster,
  kProof,       // the peer's proof matches no fleet secret of this process
  kUnexpected,  // a message that is invalid in the current state of the link
};

std::error_code make_error_code(WireErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::WireErrc> : std::true_type {};
