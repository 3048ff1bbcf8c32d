#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"

namespace rwf {

// Longest-prefix match from an IPv4 address to the zone of its client block.
// Immutable once built; 11 bytes per block.
class ClientTable {
 public:
  // Block that contains an address. An address outside all blocks is assigned
  // its /24 and no zone.
  struct Match {
    uint32_t block_address = 0;
    uint8_t prefix_length = 0;
    bool has_zone = false;
    uint16_t zone = 0;  // index into Config::zones; only if has_zone

    friend bool operator==(const Match&, const Match&) = default;
  };

  ClientTable() = default;
  // Skips blocks that name an unknown zone. Of equal blocks, the last one is
  // used.
  ClientTable(const std::vector<ClientBlock>& blocks,
              const std::vector<Zone>& zones);

  Match Find(uint32_t address) const;

  size_t size() const { return addresses_.size(); }
  size_t MemoryBytes() const;

 private:
  bool Contains(size_t block, uint32_t address) const;

  // Blocks sorted by address, then by prefix length, as a structure of arrays.
  std::vector<uint32_t> addresses_;
  std::vector<uint32_t> parents_;  // smallest enclosing block, or kNoParent
  std::vector<uint16_t> zones_;
  std::vector<uint8_t> lengths_;
};

// Parses dotted decimal notation. Returns false for any other text.
bool ParseIpv4(const std::string& text, uint32_t* out);

}  // namespace rwf
