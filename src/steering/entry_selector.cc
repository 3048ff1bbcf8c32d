#include "steering/entry_selector.h"

#include <array>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "steering/drain_check.h"
#include "steering/move_planner.h"

namespace rwf {
namespace {

uint64_t HashAddress(uint32_t address) {
  char bytes[4];
  for (int i = 0; i < 4; ++i) {
    bytes[i] = static_cast<char>(address >> (24 - 8 * i));
  }
  return Hash64(std::string_view(bytes, sizeof(bytes)));
}

// Combines two hashes with the quality of a hash of both texts.
uint64_t CombineHashes(uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Maximum number of lookup entries once the entries of `tier` are added.
size_t MaxEntriesThrough(Tier tier) {
  constexpr size_t kReserved = EntrySelector::kOtherZoneEntries;
  switch (tier) {
    case Tier::kOwnZone:
      return EntrySelector::kMaxEntries - kReserved;
    case Tier::kOwnRegion:
      return EntrySelector::kMaxEntries - kReserved / 2;
    case Tier::kOtherRegion:
      break;
  }
  return EntrySelector::kMaxEntries;
}

}  // namespace

EntrySelector::EntrySelector(std::shared_ptr<const Config> config)
    : config_(std::move(config)),
      topology_(*config_),
      client_table_(config_->client_blocks, config_->zones) {
  std::vector<std::vector<size_t>> vms_by_zone(topology_.zone_count());
  for (size_t i = 0; i < config_->entry_vms.size(); ++i) {
    const EntryVm& vm = config_->entry_vms[i];
    vm_hashes_.push_back(Hash64(vm.id));
    if (vm.weight != config_->entry_vms[0].weight) has_equal_weights_ = false;
    const size_t zone = topology_.FindZone(vm.zone);
    if (zone == Topology::kNone || vm.retired || vm.weight <= 0) continue;
    if (IsEntryVmDrained(*config_, vm)) continue;
    vms_by_zone[zone].push_back(i);
  }
  // The zones of a region are ranked together, so that the clients of a failed
  // zone spread over all of them.
  for (size_t own = 0; own < topology_.zone_count(); ++own) {
    std::vector<Group>& groups = groups_by_zone_.emplace_back();
    size_t region = Topology::kNone;
    for (const size_t zone : topology_.ZonesByDistance(own)) {
      const Tier tier = topology_.TierOf(own, zone);
      if (groups.empty() || groups.back().tier != tier ||
          region != topology_.region_of(zone)) {
        groups.push_back({tier, {}});
        region = topology_.region_of(zone);
      }
      std::vector<size_t>& vms = groups.back().vms;
      vms.insert(vms.end(), vms_by_zone[zone].begin(), vms_by_zone[zone].end());
    }
  }
  for (const Move& move : config_->moves) {
    move_targets_.push_back(topology_.FindZone(move.to));
  }
}

size_t EntrySelector::ZoneOf(uint32_t client,
                             const std::string& service) const {
  if (topology_.zone_count() == 0) return Topology::kNone;
  const ClientTable::Match match = client_table_.Find(client);
  size_t zone = match.zone;
  if (!match.has_zone) {
    // Unknown clients are spread over all zones by their /24.
    const uint64_t hash = HashAddress(match.block_address);
    uint64_t best = 0;
    for (size_t i = 0; i < topology_.zone_count(); ++i) {
      const uint64_t score = Hash64(topology_.zone_name(i), hash);
      if (i > 0 && score <= best) continue;
      best = score;
      zone = i;
    }
  }
  for (size_t i = 0; i < config_->moves.size(); ++i) {
    const Move& move = config_->moves[i];
    if (move.service != service || move_targets_[i] == Topology::kNone) {
      continue;
    }
    if (move.from != topology_.zone_name(zone)) continue;
    if (IsMoved(move, match.block_address, match.prefix_length)) {
      return move_targets_[i];
    }
  }
  return zone;
}

// Weighted rendezvous rank, smaller is better: an exponential variable with
// rate `weight`. With equal weights, the hash alone gives the same order.
double EntrySelector::RankOf(uint64_t client_hash, size_t vm) const {
  const uint64_t hash = CombineHashes(client_hash, vm_hashes_[vm]);
  const double u = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  if (has_equal_weights_) return -u;
  return -std::log(u) / static_cast<double>(config_->entry_vms[vm].weight);
}

void EntrySelector::AppendFromGroup(const Group& group, uint64_t client_hash,
                                    const IsUsable& is_usable,
                                    std::vector<EntryChoice>* out) const {
  const size_t limit = MaxEntriesThrough(group.tier);
  if (out->size() >= limit) return;
  const size_t free_entries = limit - out->size();
  // Best VMs so far, in order.
  std::array<std::pair<double, size_t>, kMaxEntries> best;
  size_t n = 0;
  for (const size_t vm : group.vms) {
    const std::pair<double, size_t> ranked{RankOf(client_hash, vm), vm};
    if (n == free_entries && ranked >= best[n - 1]) continue;
    if (!is_usable(vm)) continue;
    if (n < free_entries) ++n;
    size_t i = n - 1;
    for (; i > 0 && ranked < best[i - 1]; --i) best[i] = best[i - 1];
    best[i] = ranked;
  }
  for (size_t i = 0; i < n; ++i) {
    const size_t vm = best[i].second;
    out->push_back({vm, group.tier, config_->entry_vms[vm].weight});
  }
}

std::vector<EntryChoice> EntrySelector::Select(
    uint32_t client, const std::string& service,
    const IsUsable& is_usable) const {
  std::vector<EntryChoice> out;
  const size_t own = ZoneOf(client, service);
  if (own == Topology::kNone) return out;
  out.reserve(kMaxEntries);
  const uint64_t client_hash = HashAddress(client);
  for (const Group& group : groups_by_zone_[own]) {
    AppendFromGroup(group, client_hash, is_usable, &out);
  }
  return out;
}

}  // namespace rwf
