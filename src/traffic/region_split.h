#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// Controls the share of a service's requests that this VM places outside its
// own region. The share follows the load of the region, slowly enough to stay
// under the cap on traffic shifts. It is applied by object, so that an object
// keeps its instance. Requests with small responses move first, since links
// between regions are narrow.
class RegionSplit {
 public:
  // The region lacks capacity above the load per slot `busy` and has spare
  // capacity below `idle`. The gap prevents oscillation of the share.
  struct Thresholds {
    double busy = 0;
    double idle = 0;
  };
  static constexpr Thresholds kSmallThresholds = {0.65, 0.4};
  // Requests with large responses leave their region later.
  static constexpr Thresholds kLargeThresholds = {1.0, 0.75};
  // Mean response size above which the responses of a route count as large.
  static constexpr double kLargeResponseBytes = 20'000;
  // Minimum weight of one request in the fraction of requests with small
  // responses. At a dozen requests per second the estimate covers half a
  // minute, so that VMs of one region agree to within a few percent.
  static constexpr double kMinMixGain = 0.003;
  // Fraction of the distance to the mean share of the region's VMs that is
  // closed in one step. VMs that place an object differently keep it warm in
  // two places.
  static constexpr double kPeerBlendRatio = 0.5;
  // Maximum change of the share per second, as a fraction of the permitted
  // shift over two seconds. The rest is left for requests that spill
  // individually.
  static constexpr double kShiftFraction = 0.37;
  static constexpr double kMaxRemoteShare = 0.9;

  // `max_shift` is the maximum fraction of a region's requests that may change
  // region within two seconds.
  explicit RegionSplit(double max_shift) : max_shift_(max_shift) {}

  // Sets the initial share of a service from the distribution of its slots. A
  // region with less than an even share of them starts with some objects in
  // other regions, since all runs are cold at first.
  void Initialize(const std::string& service, double local_slots,
                  double total_slots, size_t regions, TimePoint now);
  bool IsInitialized(const std::string& service) const {
    return shares_.contains(service);
  }
  // Records a request. `is_large` tells whether a large response is expected.
  void OnRequest(const std::string& service, bool is_large);
  // Adjusts the share. `local_load` is the number of requests running or
  // waiting per slot of the local region, `remote_load` that of the other
  // regions, `peers` the shares of the region's other VMs.
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
