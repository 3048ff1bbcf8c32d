#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// The share of a service's objects that this VM places outside its own region.
// It follows how busy the region is, slowly enough to stay under the cap on
// traffic shifts, and by object, so that an object keeps its instance.
class RegionSplit {
 public:
  // The region is short above the first load for each slot and has room below
  // the second one. The gap keeps the share from swinging.
  struct Thresholds {
    double busy = 0;
    double idle = 0;
  };
  static constexpr Thresholds kLight = {0.65, 0.4};
  // Services with large answers stay longer, since the links between regions
  // are narrow.
  static constexpr Thresholds kHeavy = {1.0, 0.75};
  static constexpr double kHeavyBytes = 20'000;
  // Part of the distance to the mean of the region's VMs that is made up in one
  // step: VMs that place an object differently keep it warm at two places.
  static constexpr double kBlend = 0.5;
  // Largest change of the share in a second, as a part of the permitted shift
  // over two seconds; the rest is left for requests that spill one by one.
  static constexpr double kShiftPart = 0.4;
  static constexpr double kMostAway = 0.9;

  // `max_shift` is the largest part of a region's requests that may change
  // region within two seconds.
  explicit RegionSplit(double max_shift) : max_shift_(max_shift) {}

  // Sets the first share of a service from how its slots are spread: a region
  // with less than its even part of them starts with some objects elsewhere,
  // since all work is cold at first.
  void Begin(const std::string& service, double home_slots, double all_slots,
             size_t regions, TimePoint now);
  bool HasBegun(const std::string& service) const {
    return shares_.contains(service);
  }
  // `load` is requests running or waiting for each slot of the home region,
  // `away_load` the same of the others, `answer_bytes` the mean size of an
  // answer, `peers` the shares of the other VMs of the region.
  void OnLoad(const std::string& service, double load, double away_load,
              double answer_bytes, const std::vector<double>& peers,
              TimePoint now);
  double ShareAway(const std::string& service) const;
  bool IsAway(const std::string& service, uint64_t object) const;

 private:
  struct Share {
    double away = 0;
    TimePoint at{};
  };
  double max_shift_;
  std::map<std::string, Share> shares_;
};

}  // namespace rwf
