#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/cold_pacer.h"
#include "traffic/instance_registry.h"
#include "traffic/region_split.h"
#include "traffic/service_time_model.h"

namespace rwf {

// What a request needs of an instance.
struct PlacementRequest {
  std::string service;
  std::string route;
  uint64_t object = 0;  // hash of what the request is about; 0: nothing
  RegionFilter regions;
  Duration objective{};
  Duration time_left{};  // until the caller or the route gives up
  int priority = 0;      // 0 is the most urgent
  bool idempotent = false;
  bool has_large_responses = false;  // as the route says
  bool is_retry = false;             // it was refused before
  std::vector<std::string> tried;    // instances that had it already
};

enum class PlacementRefusal : uint8_t {
  kNoInstance,  // none that may be used
  kNoCapacity,  // all are full, or the answer would come too late
};

struct PlacementChoice {
  InstanceState* instance = nullptr;  // null: refused
  PlacementRefusal reason = PlacementRefusal::kNoInstance;
  Duration expected{};        // of the run alone
  Duration expected_total{};  // with waiting and the network
  bool is_warm = false;       // surely: it had the object from this VM lately
  bool is_remote = false;     // in another region
  // Time after which the run is slower than a healthy instance would be.
  Duration healthy_latency{};
  size_t rank = 0;         // in the order of the request's object
  Duration retry_after{};  // of a refusal
  // What decided a refusal: load for each slot of this region and of the
  // others.
  double local_load = 0;
  double remote_load = 0;
};

// A service's instances in one region.
struct ServiceRegion {
  std::string service;
  std::string region;
  friend bool operator==(const ServiceRegion&, const ServiceRegion&) = default;
  friend auto operator<=>(const ServiceRegion&, const ServiceRegion&) = default;
};
// Requests in flight by service and region.
using RegionLoads = std::map<ServiceRegion, double>;

struct PlacementSettings {
  std::string region;  // of this VM
  double max_shift = 0.15;
  Duration cross_region_rtt = std::chrono::milliseconds(42);
};

// Chooses the instance that a request is sent to. Every VM ranks the instances
// of a region in the same order for an object, so that its requests meet where
// it is warm, without messages. A request leaves its first instances only when
// it would wait there longer than a cold run elsewhere takes.
class Placement {
 public:
  // Load for each slot above which an instance gets nothing: its queue would
  // reject most of it.
  static constexpr double kMaxLoad = 3.0;
  // A region with less load for each slot takes whatever can be answered.
  static constexpr double kUnrestrictedLoad = 0.9;
  // Load up to which a slot counts as free in a full region.
  static constexpr double kFreeSlotLoad = 1.0;
  // In a full region a request is queued if its answer is expected within this
  // part of its objective, by priority, and if it was refused before.
  static constexpr double kQueueLimits[] = {1.2, 1.0, 0.85};
  static constexpr double kRetryQueueLimit = 1.4;
  // Part of a region's instances left out for bad answers above which that no
  // longer counts: the rest could not bear the load, and moving objects to cold
  // instances costs more than the failures.
  static constexpr double kPanicFraction = 0.5;
  // Objects that an instance is given to keep warm, and the most instances for
  // one object.
  static constexpr double kObjectsPerInstance = 10;
  static constexpr size_t kMaxRanks = 3;
  // Age up to which the mean load of a region is used again.
  static constexpr Duration kLoadCacheInterval = std::chrono::milliseconds(20);
  static constexpr Duration kObjectRetention = std::chrono::seconds(10);
  // Cost of a cold run beyond its own time, as a part of the additional slot
  // time that it takes from others.
  static constexpr double kColdCostRatio = 0.5;
  // Requests of this VM that may leave their region one by one, as a part of
  // all within a window of two seconds.
  static constexpr double kSpillFraction = 0.35;
  static constexpr Duration kSpillWindow = std::chrono::seconds(2);

  Placement(PlacementSettings settings, InstanceRegistry* registry);

  // `cold_rate` is what a cold instance of the service bears, `local_vms` the
  // number of VMs in this region. Refused requests are not counted anywhere.
  PlacementChoice Choose(const PlacementRequest& request, double cold_rate,
                         size_t local_vms, TimePoint now);
  // The request is sent where Choose said.
  void OnSent(const PlacementRequest& request, const PlacementChoice& choice,
              double cold_rate, size_t local_vms, TimePoint now);
  ServiceTimeModel* service_times() { return &service_times_; }
  // Follows the load of the regions. To be called a few times a second.
  // `peer_shares` tells the shares away of the region's other VMs by service.
  void UpdateRegionSplit(
      const std::vector<std::string>& services,
      const std::map<std::string, std::vector<double>>& peer_shares,
      TimePoint now);
  // Requests of this VM in flight.
  RegionLoads OwnLoads() const;
  // The same of all other VMs together.
  void SetPeerLoads(const RegionLoads& loads, TimePoint now);
  // An answer of a route came, of that many bytes.
  void OnResponse(const std::string& route, size_t bytes);
  const RegionSplit& split() const { return split_; }

 private:
  struct Candidate {
    InstanceState* state = nullptr;
    uint64_t score = 0;
  };
  struct Loads {
    double local_load = 0;
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
    size_t regions = 0;
    // For each slot.
    double LocalLoad() const;
    double RemoteLoad() const;
  };
  bool IsUsable(const InstanceState& it, const PlacementRequest& request,
                TimePoint now) const;
  // Whether so many are left out that those with bad answers are used again.
  static bool IsPanic(const std::vector<Candidate>& ranked, TimePoint now);
  std::vector<Candidate> RankCandidates(const PlacementRequest& request,
                                        bool is_local, TimePoint now) const;
  std::optional<PlacementChoice> FindBest(const PlacementRequest& request,
                                          bool is_local, double cold_rate,
                                          size_t local_vms, double region_load,
                                          TimePoint now) const;
  // Whether the region is better off with this run than without it.
  bool IsWorthwhile(const PlacementRequest& request,
                    const PlacementChoice& choice, size_t warm_ranks,
                    double region_load, TimePoint now) const;
  // Instances of an object's order that may all hold it warm.
  size_t WarmRanks(const std::string& service, size_t instances) const;
  PlacementChoice Evaluate(const PlacementRequest& request, const Candidate& it,
                           size_t rank, bool is_local, TimePoint now) const;
  Loads LoadsOf(const std::string& service, TimePoint now);
  bool MaySpill(TimePoint now) const;
  bool PrefersRemote(const PlacementRequest& request) const;
  bool HasLargeResponse(const PlacementRequest& request) const;

  PlacementSettings settings_;
  InstanceRegistry* registry_;
  ServiceTimeModel service_times_;
  ColdPacer pacer_;
  // Loads by service, computed at most every kLoadCacheInterval.
  struct CachedLoads {
    TimePoint at{};
    Loads loads;
  };
  std::map<std::string, CachedLoads> loads_;
  RegionLoads peer_loads_;
  RegionSplit split_;
  std::map<std::string, double> response_bytes_;  // mean by route
  // When each object of a service was asked for last.
  std::map<std::string, std::unordered_map<uint64_t, TimePoint>> objects_;
  // Present and last window of requests and of those that spilled.
  TimePoint window_start_{};
  double requests_[2] = {0, 0};
  double spilled_[2] = {0, 0};
};

}  // namespace rwf
