#include "steering/entry_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "steering/drain_check.h"
#include "steering/move_planner.h"

namespace rwf {
namespace {

constexpr size_t kRegionPlaces =
    EntrySelector::kMaxAnswer - EntrySelector::kOtherZonePlaces / 2;

uint64_t HashOfAddress(uint32_t address) {
  char bytes[4];
  for (int i = 0; i < 4; ++i) {
    bytes[i] = static_cast<char>(address >> (24 - 8 * i));
  }
  return Hash64(std::string_view(bytes, sizeof(bytes)));
}

// Mixes two hashes into one that is as good as the hash of both texts.
uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Weighted rendezvous rank, smaller is better: an exponential variable of rate
// `weight`.
double Rank(uint64_t client_hash, uint64_t vm_hash, int64_t weight) {
  const uint64_t hash = Mix(client_hash, vm_hash);
  const double u = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return -std::log(u) / static_cast<double>(weight);
}

}  // namespace

EntrySelector::EntrySelector(std::shared_ptr<const Config> config)
    : config_(std::move(config)),
      topology_(*config_),
      table_(config_->client_blocks, config_->zones),
      vms_by_zone_(topology_.zone_count()) {
  for (size_t i = 0; i < config_->entry_vms.size(); ++i) {
    const EntryVm& vm = config_->entry_vms[i];
    vm_hashes_.push_back(Hash64(vm.id));
    const size_t zone = topology_.FindZone(vm.zone);
    if (zone == Topology::kNone || vm.retired || vm.weight <= 0) continue;
    if (IsEntryVmDrained(*config_, vm)) continue;
    vms_by_zone_[zone].push_back(i);
  }
  for (const Move& move : config_->moves) {
    move_targets_.push_back(topology_.FindZone(move.to));
  }
}

size_t EntrySelector::ZoneOf(uint32_t client,
                             const std::string& service) const {
  if (topology_.zone_count() == 0) return Topology::kNone;
  const ClientTable::Match match = table_.Find(client);
  size_t zone = match.zone;
  if (!match.has_zone) {
    // Unknown clients are spread over all zones, a /24 at a time.
    const uint64_t hash = HashOfAddress(match.block_address);
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

void EntrySelector::Append(const std::vector<size_t>& zones, Tier tier,
                           uint64_t client_hash, size_t limit,
                           const IsUsable& is_usable,
                           std::vector<EntryChoice>* out) const {
  if (out->size() >= limit) return;
  std::vector<std::pair<double, size_t>> ranked;
  for (const size_t zone : zones) {
    for (const size_t vm : vms_by_zone_[zone]) {
      if (!is_usable(vm)) continue;
      ranked.emplace_back(
          Rank(client_hash, vm_hashes_[vm], config_->entry_vms[vm].weight), vm);
    }
  }
  const size_t n = std::min(ranked.size(), limit - out->size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end());
  for (size_t i = 0; i < n; ++i) {
    const size_t vm = ranked[i].second;
    out->push_back({vm, tier, config_->entry_vms[vm].weight});
  }
}

std::vector<EntryChoice> EntrySelector::Select(
    uint32_t client, const std::string& service,
    const IsUsable& is_usable) const {
  std::vector<EntryChoice> out;
  const size_t own = ZoneOf(client, service);
  if (own == Topology::kNone) return out;
  const uint64_t client_hash = HashOfAddress(client);
  const std::vector<size_t>& nearest = topology_.Nearest(own);
  // Zones of one region are ranked together, so that the clients of a lost zone
  // spread over all of them.
  for (size_t i = 0; i < nearest.size();) {
    const Tier tier = topology_.TierOf(own, nearest[i]);
    const size_t region = topology_.region_of(nearest[i]);
    std::vector<size_t> zones;
    while (i < nearest.size() && topology_.TierOf(own, nearest[i]) == tier &&
           topology_.region_of(nearest[i]) == region) {
      zones.push_back(nearest[i++]);
    }
    const size_t limit = tier == Tier::kOwnZone ? kMaxAnswer - kOtherZonePlaces
                         : tier == Tier::kOwnRegion ? kRegionPlaces
                                                    : kMaxAnswer;
    Append(zones, tier, client_hash, limit, is_usable, &out);
  }
  return out;
}

}  // namespace rwf
