#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace rwf {

// Which VMs a VM opens links to: at most kMaxSameZoneLinks of its zone and
// kMaxOtherZoneLinks of other zones, those with the highest rendezvous score of
// the pair, plus the next VM in the order given (the share ring). The ring
// keeps the graph of all links connected. Up to kMaxSameZoneLinks +
// kMaxOtherZoneLinks other VMs are all linked. Links work both ways, so a VM
// has about as many again from VMs that chose it.
class LinkPlan {
 public:
  static constexpr size_t kMaxSameZoneLinks = 8;
  static constexpr size_t kMaxOtherZoneLinks = 4;

  LinkPlan() = default;
  // Ids and zones in the order of the ring.
  explicit LinkPlan(std::vector<std::pair<std::string, std::string>> vms);

  // Sorted. Empty if `vm` is not in the list.
  std::vector<std::string> PeersOf(const std::string& vm) const;
  // True if one of the two opens a link to the other.
  bool AreLinked(const std::string& a, const std::string& b) const;

 private:
  std::vector<std::pair<std::string, std::string>> vms_;
  std::vector<uint64_t> hashes_;
};

}  // namespace rwf
