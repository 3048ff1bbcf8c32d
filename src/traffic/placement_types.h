#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/cost_estimator.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Requirements of a request on its instance.
struct PlacementRequest {
  std::string service;
  std::string route;
  uint64_t object = 0;  // hash of the requested object; 0: none
  RegionFilter regions;
  Duration objective{};
  Duration time_left{};  // until the timeout of the caller or the route
  int priority = 0;      // 0 is the highest
  bool idempotent = false;
  bool has_large_responses = false;  // as configured for the route
  bool is_retry = false;             // the caller was refused before
  std::vector<std::string> tried;    // instances already tried
};

enum class PlacementRefusal : uint8_t {
  kNoInstance,  // no usable instance
  kNoCapacity,  // all are full, or the response would be too late
};

// Why an instance was passed over for a request.
enum class RejectionCause : uint8_t {
  kColdRate,  // the rate that it sustains while cold is used up
  kDeadline,  // the response would miss the deadline
  kFull,      // its queue is full or it has just shed a request
  kColdRun,   // a cold run there would displace several warm ones
  kLate,      // the response would be later than a full region accepts
  kLeaving,   // it has said that it is about to end
  kWaiting,   // it has asked for a pause
  kLimited,   // the limit that it has named is used up
  kCount,
};
const char* RejectionCauseName(RejectionCause cause);

// Where an expected run time comes from.
enum class EstimateOrigin : uint8_t {
  kObjective,     // a ratio of the route's objective
  kMean,          // ServiceTimeModel
  kDistribution,  // CostEstimator
};
const char* EstimateOriginName(EstimateOrigin origin);

// The expected time of a run without waiting, and what it rests on.
struct RunEstimate {
  Duration run{};
  Duration usual_run{};  // on a healthy instance that is warm for the object
  EstimateOrigin origin = EstimateOrigin::kObjective;
  double measured_runs = 0;  // weight of the measured runs
  friend bool operator==(const RunEstimate&, const RunEstimate&) = default;
};

// The inputs of a refusal, for logs and metrics.
struct RefusalDetails {
  // Number of instances by the cause of their rejection.
  std::array<uint32_t, static_cast<size_t>(RejectionCause::kCount)> rejected{};
  // Earliest expected response among the instances whose response would be too
  // late, the latest that would have been accepted there, and the run in it.
  Duration expected{};
  Duration allowed{};
  RunEstimate estimate;
  // Whether enough runs of the route were measured for its estimate to refuse.
  bool is_time_measured = false;

  void Count(RejectionCause cause) { ++rejected[static_cast<size_t>(cause)]; }
  // Counts an instance whose response would come after `latest`.
  void CountTooLate(RejectionCause cause, Duration response, Duration latest,
                    const RunEstimate& run);
  // Returns the cause that applies to most instances.
  RejectionCause MainCause() const;
  friend bool operator==(const RefusalDetails&,
                         const RefusalDetails&) = default;
};

struct PlacementChoice {
  InstanceState* instance = nullptr;  // null: refused
  PlacementRefusal reason = PlacementRefusal::kNoInstance;
  Duration expected{};   // of the run alone
  RunEstimate estimate;  // behind `expected`
  // Sent although its run is expected to take longer than the request has left,
  // to test whether the estimate still holds.
  bool is_trial = false;
  Duration expected_total{};  // including queue and network
  bool is_warm = false;       // certain: it recently ran the object for this VM
  bool is_remote = false;     // in another region
  // Expected latency if the instance is healthy. A longer run is slow.
  Duration healthy_latency{};
  size_t rank = 0;         // in the order of the request's object
  Duration retry_after{};  // of a refusal
  // Load per slot of this region and of the others that led to a refusal.
  double local_load = 0;
  double remote_load = 0;
  RefusalDetails details;
  // What a run costs on a machine of usual speed.
  RunCost cost;
  // Set where run times are estimated by their distribution: the time that the
  // upper quantile of the runs takes, and the cost for later requests there, in
  // seconds.
  std::optional<Duration> upper_total;
  double harm = 0;
};

// How a run compares with what is estimated of its route.
struct RunReport {
  Duration usual{};         // its time on a machine of usual speed
  Duration upper{};         // the upper quantile on this machine
  double factor = 1;        // of the machine during the run
  double trust = 1;         // in what the instance reports of its machine
  double share_within = 0;  // of the route's runs, within the upper quantile
  CostEstimator::RunKind kind = CostEstimator::RunKind::kNoObject;
  bool is_in_effect = false;  // whether such runs are placed by the estimate
  friend bool operator==(const RunReport&, const RunReport&) = default;
};

}  // namespace rwf
