#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"

namespace rwf {

enum class IdempotencyKeyErrc {
  kMalformed = 1,  // no VM ever accepts this key
  kBadMac,         // not minted with a secret known here
  kFromFuture,     // minted more than kKeyClockSkew ahead of this VM's clock
  kExpired,        // minted kKeyLifetime ago or earlier
};
std::error_code make_error_code(IdempotencyKeyErrc code);

// Time after mint for which a key may be used and its claim is kept.
inline constexpr Duration kKeyLifetime = std::chrono::seconds(600);
// Difference allowed between the clocks of two VMs.
inline constexpr Duration kKeyClockSkew = std::chrono::seconds(5);
// Longest caller's part of a key.
inline constexpr size_t kMaxSuffixLength = 128;

// An idempotency key: `vm.incarnation.minted.mac` as handed out with a look-up
// answer, then `.` and the caller's own text.
struct IdempotencyKey {
  std::string vm;  // the home VM
  uint64_t incarnation = 0;
  uint64_t minted_unix_s = 0;
  std::string suffix;  // the caller's part, not empty

  friend bool operator==(const IdempotencyKey&,
                         const IdempotencyKey&) = default;

  // The prefix that a VM hands out. VM ids have no dot.
  static std::string MintPrefix(std::string_view vm, uint64_t incarnation,
                                uint64_t minted_unix_s,
                                std::string_view secret);

  // Parses and verifies a key. `secrets` are those in force, current first.
  // The home VM refuses expired keys by its own clock as well; here the clock
  // skew is allowed for, so that only the home decides near the limit.
  static Result<IdempotencyKey> Parse(std::string_view text,
                                      const std::vector<std::string>& secrets,
                                      WallTime wall);
};

// Identifies a claim: keys of different workspaces never meet.
Digest ClaimDigest(std::string_view workspace, std::string_view key);

// Digest of what a key was used for.
Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view body);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::IdempotencyKeyErrc> : std::true_type {};
