#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace rwf {

// Selects the VMs to which each VM opens links: at most kMaxSameZoneLinks in
// its zone and kMaxOtherZoneLinks in other zones, those with the highest
// rendezvous hash of the pair, plus the next VM of the share ring, which keeps
// the graph of all links connected. With at most kMaxSameZoneLinks +
// kMaxOtherZoneLinks other VMs, the links are a full mesh. Links are
// bidirectional, so a VM accepts about as many links as it opens.
class LinkPlan {
 public:
  static constexpr size_t kMaxSameZoneLinks = 8;
  static constexpr size_t kMaxOtherZoneLinks = 4;

  LinkPlan() = default;
  // `vms` holds the id and zone of each VM in the order of the ring.
  explicit LinkPlan(std::vector<std::pair<std::string, std::string>> vms);

  // Returns the ids of the VMs to which `vm` opens links, sorted. Empty if `vm`
  // is not in the list.
  std::vector<std::string> PeersOf(const std::string& vm) const;
  // True if one of the two opens a link to the other.
  bool AreLinked(const std::string& a, const std::string& b) const;

 private:
  std::vector<std::pair<std::string, std::string>> vms_;
  std::vector<uint64_t> hashes_;
};

}  // namespace rwf
