#include "steering/topology.h"

#include <algorithm>

namespace rwf {
namespace {

// Latency of regions without a configured link, which are tried last.
constexpr Duration kUnlinkedLatency = std::chrono::hours(1);

size_t IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? Topology::kNone
                           : static_cast<size_t>(it - names.begin());
}

}  // namespace

const char* TierName(Tier tier) {
  switch (tier) {
    case Tier::kOwnZone:
      return "own-zone";
    case Tier::kOwnRegion:
      return "own-region";
    case Tier::kOtherRegion:
      return "other-region";
  }
  return "";
}

Topology::Topology(const Config& config) {
  for (const Region& region : config.regions) {
    region_names_.push_back(region.name);
  }
  for (const Zone& zone : config.zones) {
    size_t region = IndexOf(region_names_, zone.region);
    if (region == kNone) {
      region = region_names_.size();
      region_names_.push_back(zone.region);
    }
    zone_names_.push_back(zone.name);
    zone_regions_.push_back(region);
  }
  one_way_latencies_.assign(
      region_names_.size(),
      std::vector<Duration>(region_names_.size(), kUnlinkedLatency));
  for (size_t i = 0; i < one_way_latencies_.size(); ++i)
    one_way_latencies_[i][i] = Duration::zero();
  for (const Link& link : config.links) {
    const size_t from = IndexOf(region_names_, link.from);
    const size_t to = IndexOf(region_names_, link.to);
    if (from == kNone || to == kNone || from == to) continue;
    one_way_latencies_[from][to] = link.one_way;
  }
  for (size_t zone = 0; zone < zone_names_.size(); ++zone) {
    std::vector<size_t> order(zone_names_.size());
    for (size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      const Tier tier_a = TierOf(zone, a);
      const Tier tier_b = TierOf(zone, b);
      if (tier_a != tier_b) return tier_a < tier_b;
      if (OneWayLatency(zone, a) != OneWayLatency(zone, b)) {
        return OneWayLatency(zone, a) < OneWayLatency(zone, b);
      }
      return region_of(a) < region_of(b);
    });
    zones_by_distance_.push_back(std::move(order));
  }
}

size_t Topology::FindZone(const std::string& name) const {
  return IndexOf(zone_names_, name);
}

Tier Topology::TierOf(size_t from_zone, size_t to_zone) const {
  if (from_zone == to_zone) return Tier::kOwnZone;
  return region_of(from_zone) == region_of(to_zone) ? Tier::kOwnRegion
                                                    : Tier::kOtherRegion;
}

Duration Topology::OneWayLatency(size_t from_zone, size_t to_zone) const {
  return one_way_latencies_[region_of(from_zone)][region_of(to_zone)];
}

}  // namespace rwf
