#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"

namespace rwf {

// Proximity of two zones.
enum class Tier : uint8_t { kOwnZone, kOwnRegion, kOtherRegion };
const char* TierName(Tier tier);

// Indexed zones and regions of a configuration, with the order in which each
// zone tries the others. Immutable.
class Topology {
 public:
  static constexpr size_t kNone = SIZE_MAX;

  Topology() = default;
  explicit Topology(const Config& config);

  size_t zone_count() const { return zone_names_.size(); }
  size_t region_count() const { return region_names_.size(); }
  const std::string& zone_name(size_t zone) const { return zone_names_[zone]; }
  const std::string& region_name(size_t region) const {
    return region_names_[region];
  }
  // Index of the zone, or kNone if there is no such zone.
  size_t FindZone(const std::string& name) const;
  size_t region_of(size_t zone) const { return zone_regions_[zone]; }
  Tier TierOf(size_t from_zone, size_t to_zone) const;
  // One-way latency of the link between the regions of two zones: zero within a
  // region, one hour if no link is configured.
  Duration OneWayLatency(size_t from_zone, size_t to_zone) const;
  // All zones: `zone` itself, those of its region, then others by latency. Ties
  // keep the order of the configuration.
  const std::vector<size_t>& ZonesByDistance(size_t zone) const {
    return zones_by_distance_[zone];
  }

 private:
  std::vector<std::string> zone_names_;
  std::vector<std::string> region_names_;
  std::vector<size_t> zone_regions_;
  // By source region and destination region.
  std::vector<std::vector<Duration>> one_way_latencies_;
  std::vector<std::vector<size_t>> zones_by_distance_;
};

}  // namespace rwf
