#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "traffic/cost_estimator.h"
#include "traffic/machine_factor.h"

namespace rwf {

// One running upstream instance as service discovery describes it.
struct InstanceInfo {
  std::string id;
  std::string service;
  std::string address;  // IPv4
  uint16_t port = 0;
  std::string zone;
  std::string region;
  int64_t slots = 1;
  bool is_draining = false;
  int64_t started_ms = 0;  // Unix time of its start; 0 if not reported
  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

enum class AttemptOutcome : uint8_t {
  kSucceeded,
  kConnectFailed,  // no byte of the request was sent
  kShed,           // not run by the instance for lack of capacity
  kDeclined,       // not run, as the instance had announced
  kMisdirected,    // the address belongs to another instance
  kBroken,         // response lost, truncated or malformed
  kInstanceError,  // complete response with status 500 or above
  kTimedOut,
  kCancelled,  // cancelled by the caller or in favor of another attempt
};
const char* AttemptOutcomeName(AttemptOutcome outcome);

// Estimates the load, speed and health of one instance from this VM's own
// attempts and from the load that the instance reports.
class InstanceState {
 public:
  // Consecutive failures after which an instance is ejected.
  static constexpr int kFailuresToEject = 2;
  // Duration of the first ejection. Doubles with each further ejection.
  static constexpr Duration kInitialEjection = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxEjection = std::chrono::seconds(8);
  // Ratio of failed attempts above which an instance is ejected even though
  // some succeed, and the weight of one attempt in that ratio.
  static constexpr double kMaxFailureRatio = 0.35;
  static constexpr double kFailureWeight = 0.15;
  // Failure ratio below which the duration of ejections is reset.
  static constexpr double kHealthyFailureRatio = 0.1;
  // Half-life of the weight of a reported load.
  static constexpr Duration kReportHalfLife = std::chrono::milliseconds(700);
  // Time for which an instance counts as full after it sheds a request.
  static constexpr Duration kShedBackoff = std::chrono::milliseconds(150);
  // Half-life of the slowness estimate, which decays so that the instance is
  // tried again.
  static constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
  // Expected latency below which slowness is not judged: ordinary delays of
  // queue and network would look like a slow instance.
  static constexpr Duration kMinExpectedLatency =
      std::chrono::milliseconds(100);
  // Number of objects tracked as warm, and for how long. Instances cache a few
  // dozen objects.
  static constexpr size_t kMaxWarmObjects = 24;
  static constexpr Duration kWarmRetention = std::chrono::seconds(30);

  explicit InstanceState(InstanceInfo info) : info_(std::move(info)) {}

  const InstanceInfo& info() const { return info_; }
  void set_info(InstanceInfo info) { info_ = std::move(info); }

  void SetColdUntil(TimePoint t) { cold_until_ = std::max(cold_until_, t); }
  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }

  // What the VM knows of one of its own runs.
  struct OwnRun {
    RunCost cost;  // distribution null: unknown
    Duration
        wait{};  // expected before the run, on the network and in the queue
    double factor = 1;  // of the machine, as expected when it was sent
  };
  struct Attempt {
    TimePoint at{};
    Duration expected{};
    uint64_t object = 0;
    OwnRun run;
  };

  // Sets the cost of the run that the next OnSent() records.
  void PlanRun(const OwnRun& run) { planned_run_ = run; }
  // Records the start of an attempt that should take `expected`.
  void OnSent(uint64_t attempt, uint64_t object, Duration expected,
              TimePoint now);
  void OnEnded(uint64_t attempt, AttemptOutcome outcome, TimePoint now);
  // Records the number of requests that the instance runs and queues.
  void OnReport(int64_t running, int64_t waiting, TimePoint now);
  // The speed of the instance's machine as reported and as measured.
  MachineFactor* machine() { return &machine_; }
  const MachineFactor& machine() const { return machine_; }

  int in_flight() const { return static_cast<int>(attempts_.size()); }
  // The VM's own attempts that run or wait, by their id.
  const std::unordered_map<uint64_t, Attempt>& attempts() const {
    return attempts_;
  }
  // Returns the requests of all VMs that run or wait at the instance. Requests
  // of other VMs are taken from the last report, which is gradually replaced by
  // the assumed number as it ages.
  double LoadAt(TimePoint now) const;
  // Returns the weight of the last report in the estimate of other VMs'
  // requests. It decays from 1 to 0.
  double ReportWeight(TimePoint now) const;
  bool has_report() const { return reported_at_ != TimePoint{}; }
  // Whether the last report told of requests that wait.
  bool has_reported_queue() const { return has_reported_queue_; }
  // Requests of other VMs at the instance as of the last report.
  double reported_others() const { return reported_others_; }
  // Sets the number of requests of other VMs that is assumed in the absence of
  // a report.
  void set_assumed_others(double n) { assumed_others_ = n; }
  // Returns the ratio of actual to expected request times, at least 1.
  double SlownessAt(TimePoint now) const;
  bool IsEjected(TimePoint now) const { return now < ejected_until_; }
  // Ejected because connections failed, not for bad responses.
  bool IsUnreachable(TimePoint now) const { return now < unreachable_until_; }
  // True if another instance responded at its address. The instance has then
  // ended, even if service discovery still lists it.
  bool is_replaced() const { return is_replaced_; }
  bool IsFull(TimePoint now) const { return now < shed_until_; }
  bool IsWarmFor(uint64_t object, TimePoint now) const;
  double failure_ratio() const { return failure_ratio_; }
  bool has_succeeded() const { return has_succeeded_; }

 private:
  void CountFailure(TimePoint now, bool ejects_at_once);
  void MarkWarm(uint64_t object, TimePoint now);

  InstanceInfo info_;
  TimePoint cold_until_{};
  TimePoint ejected_until_{};
  TimePoint unreachable_until_{};
  TimePoint shed_until_{};
  std::unordered_map<uint64_t, Attempt> attempts_;
  OwnRun planned_run_;
  std::unordered_map<uint64_t, TimePoint> warm_objects_;
  double assumed_others_ = 0;
  double reported_others_ = 0;
  bool has_reported_queue_ = false;
  TimePoint reported_at_{};
  MachineFactor machine_;
  double slowness_ = 1;
  TimePoint slowness_at_{};
  double failure_ratio_ = 0;
  int failures_in_row_ = 0;
  Duration next_ejection_ = kInitialEjection;
  bool has_succeeded_ = false;
  bool is_replaced_ = false;
};

// Identifies one process of an instance on all VMs. A process may start under
// the id of an earlier one.
std::string ProcessName(const std::string& instance, int64_t started_ms);

// Holds the instances of all services and the zones that are evacuated.
class InstanceRegistry {
 public:
  // Adds the instance or updates its description. A later start under the same
  // id begins with new estimates.
  InstanceState* Put(const InstanceInfo& info, TimePoint now);
  void Remove(const std::string& id);
  InstanceState* Find(const std::string& id);
  // Returns the instances of a service, ordered by id.
  const std::vector<InstanceState*>& OfService(
      const std::string& service) const;
  size_t size() const { return by_id_.size(); }

  void SetEvacuated(const std::string& zone, bool evacuated);
  bool IsEvacuated(const std::string& zone) const {
    return evacuated_zones_.contains(zone);
  }
  // Marks every instance of the zone as cold until `t`.
  void SetZoneCold(const std::string& zone, TimePoint t);

  const std::map<std::string, std::unique_ptr<InstanceState>>& all() const {
    return by_id_;
  }

 private:
  void Reindex(const std::string& service);

  std::map<std::string, std::unique_ptr<InstanceState>> by_id_;
  std::map<std::string, std::vector<InstanceState*>> by_service_;
  std::set<std::string> evacuated_zones_;
};

}  // namespace rwf
