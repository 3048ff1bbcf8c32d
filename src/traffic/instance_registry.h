#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

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
  int64_t started_ms = 0;  // Unix time of its start; 0 when it does not say
  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

enum class AttemptOutcome : uint8_t {
  kSucceeded,
  kConnectFailed,  // no byte of the request was sent
  kShed,           // the instance did not run it for lack of room
  kMisdirected,    // another instance has the address
  kBroken,         // lost, truncated or malformed after it was sent
  kInstanceError,  // a complete answer with status 500 or above
  kTimedOut,
  kCancelled,  // given up by the caller or in favour of another attempt
};
const char* AttemptOutcomeName(AttemptOutcome outcome);

// What this VM believes of one instance: its load, speed and health, from its
// own attempts and from the load that the instance reports.
class InstanceState {
 public:
  // Failures in a row before an instance is left out.
  static constexpr int kFailuresToEject = 2;
  // First time out of use; doubles with each further ejection.
  static constexpr Duration kInitialEjection = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxEjection = std::chrono::seconds(8);
  // Share of failed attempts above which an instance is left out although some
  // succeed, and the weight of one attempt in that share.
  static constexpr double kMaxFailureRatio = 0.35;
  static constexpr double kFailureWeight = 0.15;
  // Share of failures below which earlier ejections are forgotten.
  static constexpr double kHealthyFailureRatio = 0.1;
  // A reported load loses half its weight in this time.
  static constexpr Duration kReportHalfLife = std::chrono::milliseconds(700);
  // After a rejection for lack of room the instance counts as full this long.
  static constexpr Duration kShedBackoff = std::chrono::milliseconds(150);
  // Belief in slowness halves in this time, so that the instance is tried
  // again.
  static constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
  // Objects remembered as warm, and for how long; instances keep a few dozen.
  static constexpr size_t kMaxWarmObjects = 24;
  static constexpr Duration kWarmRetention = std::chrono::seconds(30);

  explicit InstanceState(InstanceInfo info) : info_(std::move(info)) {}

  const InstanceInfo& info() const { return info_; }
  void set_info(InstanceInfo info) { info_ = std::move(info); }

  void SetColdUntil(TimePoint t) { cold_until_ = std::max(cold_until_, t); }
  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }

  // An attempt began; `expected` is the time that it should take.
  void OnSent(uint64_t attempt, uint64_t object, Duration expected,
              TimePoint now);
  void OnEnded(uint64_t attempt, AttemptOutcome outcome, TimePoint now);
  // The instance told how many requests it runs and holds in its queue.
  void OnReport(int64_t running, int64_t waiting, TimePoint now);

  int in_flight() const { return static_cast<int>(attempts_.size()); }
  // Requests running or waiting there, from all VMs: own ones, and those of
  // others by the last report, which gives way to the assumed number as it
  // ages.
  double LoadAt(TimePoint now) const;
  // Weight of the last report in the estimate of other VMs' requests, from 1
  // when it came to 0.
  double ReportWeight(TimePoint now) const;
  // Requests of other VMs there as of the last report.
  double reported_others() const { return reported_others_; }
  // Requests that other VMs probably have in flight there where no report
  // tells.
  void set_assumed_others(double n) { assumed_others_ = n; }
  // How many times longer than expected its requests take, at least 1.
  double SlownessAt(TimePoint now) const;
  bool IsEjected(TimePoint now) const { return now < ejected_until_; }
  // Left out because nothing listened there, not for bad answers.
  bool IsUnreachable(TimePoint now) const { return now < unreachable_until_; }
  // Another instance answered at its address: it has ended, whatever its entry
  // says.
  bool is_replaced() const { return is_replaced_; }
  bool IsFull(TimePoint now) const { return now < shed_until_; }
  bool IsWarmFor(uint64_t object, TimePoint now) const;
  double failure_ratio() const { return failure_ratio_; }
  // True once an attempt there has succeeded.
  bool has_succeeded() const { return has_succeeded_; }

 private:
  struct Attempt {
    TimePoint at{};
    Duration expected{};
    uint64_t object = 0;
  };
  void CountFailure(TimePoint now, bool ejects_at_once);
  void MarkWarm(uint64_t object, TimePoint now);

  InstanceInfo info_;
  TimePoint cold_until_{};
  TimePoint ejected_until_{};
  TimePoint unreachable_until_{};
  TimePoint shed_until_{};
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::unordered_map<uint64_t, TimePoint> warm_objects_;
  double assumed_others_ = 0;
  double reported_others_ = 0;  // requests of other VMs at the last report
  TimePoint reported_at_{};
  double slowness_ = 1;
  TimePoint slowness_at_{};
  double failure_ratio_ = 0;
  int failures_in_row_ = 0;
  Duration next_ejection_ = kInitialEjection;
  bool has_succeeded_ = false;
  bool is_replaced_ = false;
};

// All instances of all services, and the zones that are evacuated.
class InstanceRegistry {
 public:
  // Adds the instance or replaces what is known of it. A later start under the
  // same id begins with no beliefs.
  InstanceState* Put(const InstanceInfo& info, TimePoint now);
  void Remove(const std::string& id);
  InstanceState* Find(const std::string& id);
  // Instances of a service, ordered by id.
  const std::vector<InstanceState*>& OfService(
      const std::string& service) const;
  size_t size() const { return by_id_.size(); }

  void SetEvacuated(const std::string& zone, bool evacuated);
  bool IsEvacuated(const std::string& zone) const {
    return evacuated_zones_.contains(zone);
  }
  // Every instance of the zone counts as cold until `t`.
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
