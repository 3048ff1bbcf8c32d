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

  // True for the value with all bytes zero, which stands for "no digest".
  bool IsZero() const { return *this == Digest{}; }
};

// SHA-256 of `data`.
Digest Sha256(std::string_view data);

// HMAC-SHA-256 of `data` under `key`.
Digest HmacSha256(std::string_view key, std::string_view data);

// True if both digests are equal, in time that does not depend on their
// content.
bool ConstantTimeEqual(const Digest& a, const Digest& b);

// The same for texts; texts of different length are unequal at once.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Lower-case hexadecimal text of a digest (64 characters).
std::string ToHex(const Digest& digest);

// Lower-case hexadecimal text of any bytes.
std::string ToHex(std::string_view bytes);

// Parses 64 hexadecimal characters. Returns false and leaves `out` alone on
// anything else.
bool FromHex(std::string_view text, Digest* out);

// `n` bytes from the operating system's random source.
std::string RandomBytes(size_t n);

// 64 random bits from the operating system's random source.
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
