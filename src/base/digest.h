#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace rwf {

// A SHA-256 value.
struct Digest {
  std::array<uint8_t, 32> bytes{};

  friend bool operator==(const Digest&, const Digest&) = default;
  friend auto operator<=>(const Digest&, const Digest&) = default;

  // True if all bytes are zero, which represents "no digest".
  bool IsZero() const { return *this == Digest{}; }
};

Digest Sha256(std::string_view data);

Digest HmacSha256(std::string_view key, std::string_view data);

// Returns whether both digests are equal, in time that does not depend on their
// content.
bool ConstantTimeEqual(const Digest& a, const Digest& b);

// As above for strings. Strings of different length are unequal, which is
// decided without comparing their content.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Formats `digest` as 64 lowercase hexadecimal characters.
std::string ToHex(const Digest& digest);

// Formats `bytes` as lowercase hexadecimal characters.
std::string ToHex(std::string_view bytes);

// Parses 64 hexadecimal characters of either case. Returns false and leaves
// `out` unchanged for any other input.
bool FromHex(std::string_view text, Digest* out);

// Returns `n` cryptographically secure random bytes.
std::string RandomBytes(size_t n);

// Returns a cryptographically secure random number.
uint64_t RandomU64();

}  // namespace rwf

template <>
struct std::hash<rwf::Digest> {
  size_t operator()(const rwf::Digest& digest) const noexcept {
    size_t n;
    std::memcpy(&n, digest.bytes.data(), sizeof(n));
    return n;
  }
};
