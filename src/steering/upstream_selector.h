#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "steering/topology.h"

namespace rwf {

// Owner of the slots of a service's instances (ShareLedger).
class SlotSource {
 public:
  virtual ~SlotSource() = default;
  // Takes one slot of the instance. False if none is free or the request may
  // not go there for another reason; nothing is taken then.
  virtual bool TryAcquire(size_t instance, TimePoint now) = 0;
};

// Owner of the budgets of the links between regions (ShareLedger).
class LinkBudget {
 public:
  virtual ~LinkBudget() = default;
  // True if the link to `region` (index of Topology) has room for another
  // request.
  virtual bool HasCapacity(size_t region, TimePoint now) = 0;
};

// What an instance said about its load.
struct LoadReport {
  double in_flight = 0;  // requests of all VMs
  double capacity = 0;   // slots that it says it has now
  TimePoint at{};        // when it was read
};

enum class CandidateState : uint8_t {
  kReady,
  kWarmingUp,  // limited by slow start
  kFailing,    // failing, not ejected because of the cap: last resort
  kShedding,   // refused work a moment ago: last resort
  kEjected,
  kDraining,
  kNoLinkCapacity,
};
const char* CandidateStateName(CandidateState state);

// One line of an explanation for operators.
struct Candidate {
  size_t instance = 0;
  std::string id;
  Tier tier = Tier::kOwnZone;
  CandidateState state = CandidateState::kReady;
  bool report_is_fresh = false;
  int64_t in_flight = 0;   // from this VM
  double score = 0;        // smaller is better
  Duration latency{};      // smoothed, including the network
  Duration retry_after{};  // until an ejection or shed pause ends
};

// Chooses the instance of one service that runs a request, and judges instances
// by what this VM sees of them. Every Select that returns an instance is
// followed by exactly one of OnSuccess, OnShed, OnFailure or OnCancelled.
class UpstreamSelector {
 public:
  static constexpr int kFailuresToEject = 3;
  static constexpr Duration kMinEjection = std::chrono::seconds(1);
  static constexpr Duration kMaxEjection = std::chrono::seconds(30);
  // Largest part of a service's instances in one zone that is ejected at a
  // time. More failures than that rather point at the measurement, the request
  // or a shared cause.
  static constexpr double kMaxEjectedFraction = 0.3;
  static constexpr Duration kSlowStartTime = std::chrono::seconds(10);
  static constexpr double kMinSlowStartFactor = 0.1;
  static constexpr Duration kMaxReportAge = std::chrono::seconds(3);
  // Parts of the configured capacity assumed to exist, and to be in use by
  // other VMs, without a fresh report. A silent instance that looked empty
  // would draw all traffic.
  static constexpr double kAssumedCapacityFraction = 0.8;
  static constexpr double kAssumedBusyFraction = 0.5;
  // Instances that one decision looks at in a group of equally near ones, after
  // the random pairs. Bounds the cost when thousands have no free slot; smaller
  // groups are searched whole.
  static constexpr size_t kMaxScan = 64;
  static constexpr int kRandomPairs = 3;
  // A request goes to another region only after it has waited for a slot as
  // long as the round trip takes, at most kMaxSpillWait. Sent at once, it holds
  // a remote slot for that much longer: at 80% load this alone filled the
  // fleet.
  static constexpr Duration kMaxSpillWait = std::chrono::milliseconds(200);
  // The same for failing and shedding instances.
  static constexpr Duration kLastResortWait = std::chrono::milliseconds(50);
  // Pause after a shed; doubles up to kMaxShedBackoff while sheds follow.
  static constexpr Duration kMinShedBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxShedBackoff = std::chrono::seconds(2);

  struct Selection {
    size_t instance = 0;
    Tier tier = Tier::kOwnZone;
  };

  // `service` is an index into config.services. Instances known at construction
  // start warm.
  UpstreamSelector(const Config& config, size_t service,
                   const std::string& own_zone);

  // Takes over a newer configuration of the same service. Evidence about
  // instances that stay is kept (by id); new instances start cold. Instance
  // indices are those of the new configuration from now on, and `new_index`
  // gives the new index of each old one, or SIZE_MAX if it is gone.
  std::vector<size_t> Reconfigure(const Config& config, size_t service,
                                  TimePoint now);

  // Picks an instance and takes a slot of it; none if no candidate has a free
  // slot. Other regions, and then failing or shedding instances of any tier,
  // are used at once if no other candidate is left, and otherwise for a request
  // that has `waited` long enough for a slot. Last resort inside each tier
  // would give the overflow of a region to its lost zone. `avoid` is an
  // instance that an earlier attempt of the request used.
  std::optional<Selection> Select(SlotSource& slots, LinkBudget& links,
                                  std::optional<size_t> avoid, pcg32& rng,
                                  TimePoint now,
                                  Duration waited = Duration::max());
  // Shortest wait after which Select may have more candidates for a request
  // that found none.
  Duration MinSpillWait() const;

  // The response came after `latency`.
  void OnSuccess(size_t instance, Duration latency, TimePoint now);
  // The instance refused as not run. Not a failure.
  void OnShed(size_t instance, TimePoint now);
  // Connection refused or broken, malformed response, time-out.
  void OnFailure(size_t instance, TimePoint now);
  // The request ended for reasons that say nothing about the instance.
  void OnCancelled(size_t instance);
  // Load report of an instance. Never overrides what this VM sees itself.
  void OnReport(size_t instance, const LoadReport& report);
  // The instance restarted or its caches are cold: slow start begins.
  void OnColdStart(size_t instance, TimePoint now);
  // The same for all instances in a zone that a move brought new clients to.
  void OnZoneColdStart(const std::string& zone, TimePoint now);

  // All instances, those that would be preferred first, with reasons.
  std::vector<Candidate> Explain(LinkBudget& links, TimePoint now) const;

  size_t size() const { return instances_.size(); }
  int64_t in_flight(size_t instance) const;
  bool IsEjected(size_t instance, TimePoint now) const;

 private:
  struct Instance {
    std::string id;
    size_t zone = 0;
    int64_t slots = 0;
    bool draining = false;
    int64_t in_flight = 0;
    int failures = 0;            // consecutive
    bool ejected = false;        // until backoff_until; else only demoted
    TimePoint backoff_until{};   // end of an ejection or demotion
    Duration backoff{};          // of the last one
    TimePoint slow_start_end{};  // end of slow start
    TimePoint shed_until{};
    Duration shed_backoff{};
    Duration latency{};  // smoothed, zero while unknown
    LoadReport report;
    bool has_report = false;
    double other_vms_in_flight = 0;  // of other VMs, by the report
  };
  // Instances that are equally near. Draining ones are left out.
  struct Group {
    size_t region = 0;
    Tier tier = Tier::kOwnZone;
    Duration spill_wait{};
    std::vector<size_t> instances;
  };

  // What a search without result came across.
  struct ScanResult {
    bool has_candidate = false;    // one that only lacks a slot at the moment
    bool has_last_resort = false;  // one that is failing or shedding
  };

  void BuildGroups(const Config& config, size_t service);
  CandidateState StateOf(const Instance& instance, TimePoint now) const;
  bool IsLastResort(const Instance& instance, TimePoint now) const;
  bool HasFreshReport(const Instance& instance, TimePoint now) const;
  double SlowStartFactor(const Instance& instance, TimePoint now) const;
  bool IsLimitedBySlowStart(const Instance& instance, TimePoint now) const;
  double Score(const Instance& instance, TimePoint now) const;
  bool IsBetter(size_t a, size_t b, TimePoint now) const;
  bool IsPreferable(size_t instance, std::optional<size_t> avoid,
                    TimePoint now) const;
  size_t PickFromGroup(const Group& group, SlotSource& slots,
                       std::optional<size_t> avoid, pcg32& rng, TimePoint now,
                       ScanResult* scan) const;
  size_t PickLastResort(const Group& group, SlotSource& slots,
                        std::optional<size_t> avoid, pcg32& rng,
                        TimePoint now) const;
  bool CanEject(size_t zone, TimePoint now) const;
  void EndRequest(Instance* instance);

  std::string own_zone_;
  Topology topology_;
  std::vector<Instance> instances_;
  std::vector<Group> groups_;  // nearest first
};

}  // namespace rwf
