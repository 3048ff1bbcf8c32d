#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace rwf {

// Parses a dotted IPv4 address into host byte order. Returns nullopt for any
// other text, including octets with leading zeros.
std::optional<uint32_t> ParseIpv4(const std::string& text);

// Formats an IPv4 address in host byte order as dotted text.
std::string FormatIpv4(uint32_t address);

// Mask of the address bits covered by a prefix of `length` (0 to 32) bits.
constexpr uint32_t PrefixMask(int length) {
  return length == 0 ? 0 : ~uint32_t{0} << (32 - length);
}

}  // namespace rwf
