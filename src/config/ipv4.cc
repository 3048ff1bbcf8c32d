#include "config/ipv4.h"

#include <arpa/inet.h>

#include <array>

namespace rwf {

std::optional<uint32_t> ParseIpv4(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) return std::nullopt;
  return ntohl(address.s_addr);
}

std::string FormatIpv4(uint32_t address) {
  std::array<char, INET_ADDRSTRLEN> buf{};
  const in_addr n{htonl(address)};
  inet_ntop(AF_INET, &n, buf.data(), buf.size());
  return buf.data();
}

}  // namespace rwf
