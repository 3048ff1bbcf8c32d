#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"

namespace rwf {

// Longest-prefix match from an IPv4 address to the zone of its client block.
// Immutable once built; 11 bytes for each block.
class ClientTable {
 public:
  // The block that an address belongs to. Addresses outside all blocks belong
  // to their own /24 and to no zone.
  struct Match {
    uint32_t block_address = 0;
    uint8_t prefix_length = 0;
    bool has_zone = false;
    uint16_t zone = 0;  // index into Config::zones; only if has_zone

    friend bool operator==(const Match&, const Match&) = default;
  };

  ClientTable() = default;
  // Blocks that name an unknown zone are left out. Of two equal blocks the
  // later one counts.
  ClientTable(const std::vector<ClientBlock>& blocks,
              const std::vector<Zone>& zones);

  Match Find(uint32_t address) const;

  size_t size() const { return addresses_.size(); }
  size_t MemoryBytes() const;

 private:
  bool Contains(size_t block, uint32_t address) const;

  // Blocks sorted by address, then by prefix length, one array for each member.
  std::vector<uint32_t> addresses_;
  std::vector<uint32_t> parents_;  // the smallest enclosing block, or kNoParent
  std::vector<uint16_t> zones_;
  std::vector<uint8_t> lengths_;
};

// Parses dotted decimal. Returns false on anything else.
bool ParseIpv4(const std::string& text, uint32_t* out);

}  // namespace rwf
