#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "traffic/cold_pacer.h"
#include "traffic/cost_evaluation.h"
#include "traffic/instance_notices.h"
#include "traffic/instance_registry.h"
#include "traffic/placement_types.h"
#include "traffic/region_loads.h"
#include "traffic/region_split.h"
#include "traffic/run_evidence.h"
#include "traffic/service_time_model.h"

namespace rwf {

struct PlacementSettings {
  std::string region;  // of this VM
  double max_shift = 0.15;
  Duration cross_region_rtt = std::chrono::milliseconds(42);
  uint64_t pacing_seed = 0;  // of the VM, for cold instances
  // False: mean run times decide everywhere, for comparisons.
  bool is_cost_aware = true;
};

// Chooses the instance that a request is sent to. Every VM ranks the instances
// of a region in the same order for an object, so that its requests reach the
// instances where it is warm, without coordination. A request leaves the first
// instances of that order only when it would wait there longer than a cold run
// elsewhere takes.
class Placement {
 public:
  // Load per slot above which an instance receives no requests, since its queue
  // would reject most of them.
  static constexpr double kMaxLoad = 3.0;
  // Load per slot below which a region accepts all requests that can be
  // answered.
  static constexpr double kUnrestrictedLoad = 0.9;
  // Load per slot up to which a slot counts as free in a full region.
  static constexpr double kFreeSlotLoad = 1.0;
  // In a full region, a request is queued if its response is expected within
  // this ratio of its objective, by priority and for retries after a refusal.
  static constexpr double kQueueLimits[] = {1.2, 1.0, 0.85};
  static constexpr double kRetryQueueLimit = 1.4;
  // Run time on a healthy instance that counts towards that, as a ratio of the
  // objective.
  static constexpr double kMaxCountedRunRatio = 0.5;
  // Fraction of a region's instances ejected for bad responses above which
  // these ejections are ignored: the rest could not handle the load, and moving
  // objects to cold instances costs more than the failures.
  static constexpr double kPanicFraction = 0.5;
  // Number of objects that an instance should keep warm, and the maximum number
  // of instances per object.
  static constexpr double kObjectsPerInstance = 10;
  static constexpr size_t kMaxRanks = 3;
  // Maximum age of the cached mean load of a region.
  static constexpr Duration kLoadCacheInterval = std::chrono::milliseconds(20);
  static constexpr Duration kObjectRetention = std::chrono::seconds(10);
  // Cost of a cold run beyond its own time, as a ratio of the additional slot
  // time that it takes from other requests.
  static constexpr double kColdCostRatio = 0.5;
  // Number by which VMs of other regions divide their part of the rate that a
  // cold instance sustains.
  static constexpr size_t kRemoteColdFactor = 2;
  // Requests of this VM that may spill to another region individually, as a
  // fraction of the permitted shift over two seconds.
  static constexpr double kSpillFraction = 0.35;
  static constexpr Duration kSpillWindow = std::chrono::seconds(2);
  // Mean run time assumed until the first response.
  static constexpr Duration kInitialMeanRun = std::chrono::milliseconds(500);

  // `notices` may be null.
  Placement(PlacementSettings settings, InstanceRegistry* registry,
            InstanceNotices* notices = nullptr);

  // Chooses an instance. `cold_rate` is the rate that a cold instance of the
  // service sustains, `local_vms` the number of VMs in this region. Requests
  // are counted by OnSent(), so refused ones are not counted.
  PlacementChoice Choose(const PlacementRequest& request, double cold_rate,
                         size_t local_vms, TimePoint now);
  // Counts a request that is sent to the chosen instance.
  void OnSent(const PlacementRequest& request, const PlacementChoice& choice,
              double cold_rate, size_t local_vms, TimePoint now);
  // Sets the number of VMs of the fleet, including this one.
  void SetVmCount(size_t n) { total_vms_ = n; }
  ServiceTimeModel* service_times() { return &service_times_; }
  // Adjusts the region split to the load of the regions. Must be called a few
  // times per second. `peer_shares` holds the remote shares of the region's
  // other VMs by service.
  void UpdateRegionSplit(
      const std::vector<std::string>& services,
      const std::map<std::string, std::vector<double>>& peer_shares,
      TimePoint now);
  // Returns the requests of this VM in flight.
  RegionLoads OwnLoads() const;
  // Sets the requests of all other VMs in flight.
  void SetPeerLoads(const RegionLoads& loads, TimePoint now);
  // Records the size of a route's response and the time of its run.
  void OnResponse(const std::string& service, const std::string& route,
                  size_t bytes, Duration run);
  // Records a successful run that took `run` without its expected wait.
  RunReport OnRunEnded(const PlacementRequest& request, InstanceState* instance,
                       ServiceTimeModel::Warmth warmth, TimePoint started_at,
                       Duration run, TimePoint now);
  // A request that was sent as a trial succeeded in time: its route's run times
  // are learned anew. Must be called before OnRunEnded().
  void OnTrialSucceeded(const PlacementRequest& request);
  const CostEstimator& costs() const { return costs_.estimator(); }
  const RegionSplit& split() const { return split_; }

 private:
  struct Candidate {
    InstanceState* state = nullptr;
    double score = 0;
  };
  struct Loads {
    double local_load = 0;
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
    size_t regions = 0;
    // Load per slot.
    double LocalLoad() const;
    double RemoteLoad() const;
  };
  bool IsUsable(const InstanceState& it, const PlacementRequest& request,
                TimePoint now) const;
  // Returns the slots that the instance's rate limit can keep busy with runs of
  // this length, at most its slots.
  double UsableSlots(const InstanceInfo& info, Duration run) const;
  // Returns why the instance takes no request from this VM now, if it does not.
  std::optional<RejectionCause> ClosedCause(const InstanceInfo& info,
                                            TimePoint now) const;
  // Whether so many instances are ejected for bad responses that these
  // ejections are ignored.
  static bool IsPanic(const std::vector<Candidate>& ranked, TimePoint now);
  std::vector<Candidate> RankCandidates(const PlacementRequest& request,
                                        bool is_local, TimePoint now) const;
  // The inputs of one search for an instance of one region or of the others.
  struct Search {
    const PlacementRequest* request = nullptr;
    bool is_local = false;
    double cold_rate = 0;
    size_t local_vms = 1;
    double region_load = 0;  // per slot
    TimePoint now{};
    ServiceTimeModel::Times times;
    // What the estimates of warm and of cold runs may decide; the same without
    // an object.
    RunEvidence::Verdict warm_verdict{};
    RunEvidence::Verdict cold_verdict{};
    size_t warm_ranks = 0;
    RefusalDetails* details = nullptr;
    CostEvaluation::Inputs* costs = nullptr;
  };
  std::optional<PlacementChoice> FindBest(Search search);
  ColdPacer::Pace PaceOf(const InstanceState& it, double cold_rate,
                         size_t local_vms) const;
  // Whether the object may be warm at the instance, as far as this VM knows.
  static bool MayBeWarm(const PlacementRequest& request,
                        const PlacementChoice& choice);
  static RunClass ClassOf(const PlacementRequest& request, bool is_warm);
  // Whether the request would miss its deadline there. Makes the choice a trial
  // if it would, but the estimate of its run must be tested.
  static bool IsTooLate(const Search& search, PlacementChoice* choice);
  // Returns why refusing this run is better for the region than admitting it,
  // if it is. For kLate, sets the latest response that would be accepted.
  std::optional<RejectionCause> RejectionOf(const Search& search,
                                            const PlacementChoice& choice,
                                            Duration* latest) const;
  // Latest expected response that a full region accepts from an instance.
  static Duration AcceptedLatency(const Search& search,
                                  const PlacementChoice& choice);
  // Number of instances of an object's order that may hold it warm.
  size_t WarmRanks(const std::string& service, size_t instances) const;
  PlacementChoice Evaluate(const Search& search, const Candidate& candidate,
                           size_t rank) const;
  Loads LoadsOf(const std::string& service, TimePoint now);
  // Returns the delay after which a refused request may find a place.
  Duration RetryAfter(const PlacementRequest& request,
                      const PlacementChoice& refusal, Duration warm_run,
                      TimePoint now) const;
  bool MaySpill(TimePoint now) const;
  bool PrefersRemote(const PlacementRequest& request) const;
  bool HasLargeResponse(const PlacementRequest& request) const;

  PlacementSettings settings_;
  InstanceRegistry* registry_;
  InstanceNotices* notices_;
  ServiceTimeModel service_times_;
  CostEvaluation costs_;
  RunEvidence evidence_;
  ColdPacer pacer_;
  size_t total_vms_ = 1;
  // Loads by service, recomputed at most every kLoadCacheInterval.
  struct CachedLoads {
    TimePoint at{};
    Loads loads;
  };
  std::map<std::string, CachedLoads> loads_;
  RegionLoads peer_loads_;
  RegionSplit split_;
  std::map<std::string, double> response_bytes_;  // mean by route
  std::map<std::string, Duration> mean_runs_;     // by service
  // Time of the last request for each object of a service.
  std::map<std::string, std::unordered_map<uint64_t, TimePoint>> objects_;
  // Requests and spilled requests in the current and the previous window.
  TimePoint window_start_{};
  double requests_[2] = {0, 0};
  double spilled_[2] = {0, 0};
};

}  // namespace rwf
