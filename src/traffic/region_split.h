#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// The share of a service's requests that this VM places outside its own region.
// It follows how busy the region is, slowly enough to stay under the cap on
// traffic shifts, and by object, so that an object keeps its instance. Requests
// with small answers go first: links between regions are narrow.
class RegionSplit {
 public:
  // The region is short above the first load for each slot and has room below
  // the second one. The gap keeps the share from swinging.
  struct Thresholds {
    double busy = 0;
    double idle = 0;
  };
  static constexpr Thresholds kSmallThresholds = {0.65, 0.4};
  // Large answers leave their region later.
  static constexpr Thresholds kLargeThresholds = {1.0, 0.75};
  // Mean answer size above which a route counts as one with large answers.
  static constexpr double kLargeResponseBytes = 20'000;
  // Least weight of one request in the part of requests with small answers. At
  // a dozen requests a second it looks back half a minute, so that VMs of one
  // region agree to within a few percent.
  static constexpr double kMinMixGain = 0.003;
  // Part of the distance to the mean of the region's VMs that is made up in one
  // step: VMs that place an object differently keep it warm at two places.
  static constexpr double kPeerBlendRatio = 0.5;
  // Largest change of the share in a second, as a part of the permitted shift
  // over two seconds; the rest is left for requests that spill one by one.
  static constexpr double kShiftFraction = 0.4;
  static constexpr double kMaxRemoteShare = 0.9;

  // `max_shift` is the largest part of a region's requests that may change
  // region within two seconds.
  explicit RegionSplit(double max_shift) : max_shift_(max_shift) {}

  // Sets the first share of a service from how its slots are spread: a region
  // with less than its even part of them starts with some objects elsewhere,
  // since all work is cold at first.
  void Initialize(const std::string& service, double local_slots,
                  double total_slots, size_t regions, TimePoint now);
  bool IsInitialized(const std::string& service) const {
    return shares_.contains(service);
  }
  // A request arrived; `is_large` if its answer is expected to be large.
  void OnRequest(const std::string& service, bool is_large);
  // `load` is requests running or waiting for each slot of the home region,
  // `remote_load` the same of the others, `peers` the shares of the other VMs
  // of the region.
  void OnLoad(const std::string& service, double local_load, double remote_load,
              const std::vector<double>& peers, TimePoint now);
  double RemoteShare(const std::string& service) const;
  bool IsRemote(const std::string& service, uint64_t object,
                bool is_large) const;

 private:
  struct Share {
    double remote = 0;
    TimePoint at{};
  };
  struct Mix {
    double small_fraction = 1;
    uint64_t requests = 0;
  };
  double SmallFraction(const std::string& service) const;
  double max_shift_;
  std::map<std::string, Share> shares_;
  std::map<std::string, Mix> mixes_;
};

}  // namespace rwf
