#include "steering/client_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>

namespace rwf {
namespace {

constexpr uint32_t kNoParent = UINT32_MAX;
constexpr uint8_t kDefaultPrefixLength = 24;

constexpr uint32_t PrefixMask(uint8_t length) {
  return length == 0 ? 0 : ~uint32_t{0} << (32 - length);
}

}  // namespace

ClientTable::ClientTable(const std::vector<ClientBlock>& blocks,
                         const std::vector<Zone>& zones) {
  struct Entry {
    uint32_t address;
    uint32_t order;
    uint16_t zone;
    uint8_t length;
  };
  std::unordered_map<std::string, uint16_t> zone_index;
  for (size_t i = 0; i < zones.size(); ++i) {
    zone_index.emplace(zones[i].name, static_cast<uint16_t>(i));
  }
  std::vector<Entry> entries;
  entries.reserve(blocks.size());
  for (const ClientBlock& block : blocks) {
    const auto it = zone_index.find(block.zone);
    if (it == zone_index.end() || block.prefix_length > 32) continue;
    entries.push_back({block.address & PrefixMask(block.prefix_length),
                       static_cast<uint32_t>(entries.size()), it->second,
                       block.prefix_length});
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.address != b.address) return a.address < b.address;
    if (a.length != b.length) return a.length < b.length;
    return a.order < b.order;
  });
  // Of equal blocks, keep the last one in the configuration.
  size_t n = 0;
  for (const Entry& entry : entries) {
    if (n > 0 && entries[n - 1].address == entry.address &&
        entries[n - 1].length == entry.length) {
      entries[n - 1] = entry;
    } else {
      entries[n++] = entry;
    }
  }
  entries.resize(n);

  addresses_.reserve(n);
  parents_.reserve(n);
  zones_.reserve(n);
  lengths_.reserve(n);
  std::vector<uint32_t> enclosing;  // blocks that contain the current address
  for (const Entry& entry : entries) {
    while (!enclosing.empty() && !Contains(enclosing.back(), entry.address)) {
      enclosing.pop_back();
    }
    parents_.push_back(enclosing.empty() ? kNoParent : enclosing.back());
    enclosing.push_back(static_cast<uint32_t>(addresses_.size()));
    addresses_.push_back(entry.address);
    zones_.push_back(entry.zone);
    lengths_.push_back(entry.length);
  }
}

bool ClientTable::Contains(size_t block, uint32_t address) const {
  return (address & PrefixMask(lengths_[block])) == addresses_[block];
}

ClientTable::Match ClientTable::Find(uint32_t address) const {
  // Blocks are nested or disjoint, so the longest match is the last block that
  // starts at or before the address, or one of its ancestors.
  const auto it =
      std::upper_bound(addresses_.begin(), addresses_.end(), address);
  uint32_t block = it == addresses_.begin()
                       ? kNoParent
                       : static_cast<uint32_t>(it - addresses_.begin() - 1);
  while (block != kNoParent && !Contains(block, address)) {
    block = parents_[block];
  }
  if (block == kNoParent) {
    return {address & PrefixMask(kDefaultPrefixLength), kDefaultPrefixLength,
            false, 0};
  }
  return {addresses_[block], lengths_[block], true, zones_[block]};
}

size_t ClientTable::MemoryBytes() const {
  return sizeof(*this) + addresses_.capacity() * sizeof(uint32_t) +
         parents_.capacity() * sizeof(uint32_t) +
         zones_.capacity() * sizeof(uint16_t) + lengths_.capacity();
}

bool ParseIpv4(const std::string& text, uint32_t* out) {
  const char* it = text.data();
  const char* const end = it + text.size();
  uint32_t address = 0;
  for (int part = 0; part < 4; ++part) {
    if (part > 0 && (it == end || *it++ != '.')) return false;
    uint32_t value = 0;
    const auto [next, ec] = std::from_chars(it, end, value);
    if (ec != std::errc() || value > 255 || next - it > 3) return false;
    it = next;
    address = address << 8 | value;
  }
  if (it != end) return false;
  *out = address;
  return true;
}

}  // namespace rwf
