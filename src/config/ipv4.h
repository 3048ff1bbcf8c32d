#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace rwf {

// An IPv4 address in host byte order from its dotted text; nothing on any other
// text, including one with leading zeros.
std::optional<uint32_t> ParseIpv4(const std::string& text);

// Dotted text of an IPv4 address in host byte order.
std::string FormatIpv4(uint32_t address);

// The bits of an address that a prefix of `length` (0 to 32) covers.
constexpr uint32_t PrefixMask(int length) {
  return length == 0 ? 0 : ~uint32_t{0} << (32 - length);
}

}  // namespace rwf
