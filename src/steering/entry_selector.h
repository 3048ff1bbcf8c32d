#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "steering/client_table.h"
#include "steering/topology.h"

namespace rwf {

// One entry VM of a lookup response.
struct EntryChoice {
  size_t vm = 0;  // index into Config::entry_vms
  Tier tier = Tier::kOwnZone;
  // Share of the clients in this tier that the VM should get, relative to the
  // other VMs of the tier.
  int64_t weight = 1;

  friend bool operator==(const EntryChoice&, const EntryChoice&) = default;
};

// Selects the entry VMs of lookup responses for one configuration generation.
// Immutable: the same generation, liveness and client give the same response on
// every VM.
class EntrySelector {
 public:
  // Maximum length of a response. A caller that fails with all of these entries
  // repeats the lookup.
  static constexpr size_t kMaxEntries = 8;
  // Entries reserved for VMs outside the client's zone, so that callers still
  // have an address when the zone fails.
  static constexpr size_t kOtherZoneEntries = 4;

  // Whether an entry VM can be used. Retired and drained VMs are already
  // excluded by the configuration.
  using IsUsable = std::function<bool(size_t vm)>;

  explicit EntrySelector(std::shared_ptr<const Config> config);

  // Entry VMs for a client, best first: the client's zone (after moves), the
  // other zones of its region, then other regions by latency. Within each of
  // these, rendezvous order weighted by EntryVm::weight. Callers use them in
  // order. Empty only if no VM is usable.
  std::vector<EntryChoice> Select(uint32_t client, const std::string& service,
                                  const IsUsable& is_usable) const;

  // Zone that a client is steered to, after moves; Topology::kNone if there are
  // no zones.
  size_t ZoneOf(uint32_t client, const std::string& service) const;

  const ClientTable& client_table() const { return client_table_; }
  const Topology& topology() const { return topology_; }

 private:
  // Entry VMs in one tier and region as seen from a zone, without retired and
  // drained VMs.
  struct Group {
    Tier tier = Tier::kOwnZone;
    std::vector<size_t> vms;
  };

  void AppendFromGroup(const Group& group, uint64_t client_hash,
                       const IsUsable& is_usable,
                       std::vector<EntryChoice>* out) const;
  double RankOf(uint64_t client_hash, size_t vm) const;

  std::shared_ptr<const Config> config_;
  Topology topology_;
  ClientTable client_table_;
  std::vector<std::vector<Group>> groups_by_zone_;  // nearest first
  std::vector<uint64_t> vm_hashes_;
  std::vector<size_t> move_targets_;  // zone index of each move
  bool has_equal_weights_ = true;
};

}  // namespace rwf
