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
  kMalformed = 1,  // no VM accepts this key
  kBadMac,         // not minted with a known secret
  kFromFuture,     // minted more than kKeyClockSkew ahead of this VM's clock
  kExpired,        // minted kKeyLifetime ago or earlier
};
std::error_code make_error_code(IdempotencyKeyErrc code);

// Time after minting for which a key is valid and its claim is kept.
inline constexpr Duration kKeyLifetime = std::chrono::seconds(600);
// Maximum tolerated clock difference between two VMs.
inline constexpr Duration kKeyClockSkew = std::chrono::seconds(5);
// Maximum length of the suffix of a key.
inline constexpr size_t kMaxSuffixLength = 128;

// An idempotency key: the prefix `vm.incarnation.minted.mac` from a lookup
// response, then `.` and a suffix chosen by the caller.
struct IdempotencyKey {
  std::string vm;  // home VM
  uint64_t incarnation = 0;
  uint64_t minted_unix_s = 0;
  std::string suffix;  // chosen by the caller, not empty

  friend bool operator==(const IdempotencyKey&,
                         const IdempotencyKey&) = default;

  // Prefix that a VM issues. VM ids contain no dot.
  static std::string MintPrefix(std::string_view vm, uint64_t incarnation,
                                uint64_t minted_unix_s,
                                std::string_view secret);

  // Parses and verifies a key. `secrets` are the valid secrets, current first.
  // Expiry is checked with a tolerance of kKeyClockSkew; near the limit the
  // home VM decides, which also refuses expired keys by its own clock.
  static Result<IdempotencyKey> Parse(std::string_view text,
                                      const std::vector<std::string>& secrets,
                                      WallTime wall);
};

// Identifies a claim. Equal keys of different workspaces give different claims.
Digest ClaimDigest(std::string_view workspace, std::string_view key);

// Identifies the request that a key is used for.
Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view body);
// The same for a body in pieces.
Digest RequestDigest(std::string_view method, std::string_view path,
                     const std::vector<std::string_view>& body);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::IdempotencyKeyErrc> : std::true_type {};
