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
  // Takes one slot of the instance. Returns false and takes nothing if no slot
  // is free or the request must not be sent to the instance.
  virtual bool TryAcquire(size_t instance, TimePoint now) = 0;
};

// Owner of the budgets of the links between regions (ShareLedger).
class LinkBudget {
 public:
  virtual ~LinkBudget() = default;
  // True if the link to `region` (an index of Topology) has capacity for
  // another request.
  virtual bool HasCapacity(size_t region, TimePoint now) = 0;
};

// Load that an instance reports.
struct LoadReport {
  double in_flight = 0;  // requests of all VMs
  double capacity = 0;   // current slots
  TimePoint at{};        // time at which it was read
};

enum class CandidateState : uint8_t {
  kReady,
  kWarmingUp,  // limited by slow start
  kFailing,    // not ejected because of the cap: last resort
  kShedding,   // refused a request recently: last resort
  kEjected,
  kDraining,
  kNoLinkCapacity,
};
const char* CandidateStateName(CandidateState state);

// State of an instance as shown to operators.
struct Candidate {
  size_t instance = 0;
  std::string id;
  Tier tier = Tier::kOwnZone;
  CandidateState state = CandidateState::kReady;
  bool report_is_fresh = false;
  int64_t in_flight = 0;   // from this VM
  double score = 0;        // smaller is better
  Duration latency{};      // smoothed, including the network
  Duration retry_after{};  // until an ejection or shed backoff ends
};

// Selects the instance of one service that runs a request, and tracks the
// health of instances as observed by this VM. Every Select that returns an
// instance is followed by exactly one of OnSuccess, OnShed, OnFailure or
// OnCancelled.
class UpstreamSelector {
 public:
  static constexpr int kFailuresToEject = 3;
  static constexpr Duration kMinEjection = std::chrono::seconds(1);
  static constexpr Duration kMaxEjection = std::chrono::seconds(30);
  // Maximum fraction of a service's instances in one zone that is ejected at a
  // time. If more of them fail, the measurement, the request or a shared cause
  // is more likely at fault.
  static constexpr double kMaxEjectedFraction = 0.3;
  static constexpr Duration kSlowStartTime = std::chrono::seconds(10);
  static constexpr double kMinSlowStartFactor = 0.1;
  static constexpr Duration kMaxReportAge = std::chrono::seconds(3);
  // Without a fresh report, these fractions of the configured capacity are
  // assumed to exist and to be used by other VMs. If an instance without
  // reports counted as idle, it would attract all traffic.
  static constexpr double kAssumedCapacityFraction = 0.8;
  static constexpr double kAssumedBusyFraction = 0.5;
  // Maximum number of instances of a group that one selection scans after the
  // random pairs. Bounds the cost when thousands of instances have no free
  // slot; smaller groups are scanned completely.
  static constexpr size_t kMaxScan = 64;
  static constexpr int kRandomPairs = 3;
  // A request goes to another region only after it has waited for a slot for
  // one round trip to that region, at most kMaxSpillWait. It holds a remote
  // slot for a round trip longer than a local one; at 80% load, requests that
  // spilled at once filled the fleet for this reason alone.
  static constexpr Duration kMaxSpillWait = std::chrono::milliseconds(200);
  // Wait before a request goes to a failing or shedding instance.
  static constexpr Duration kLastResortWait = std::chrono::milliseconds(50);
  // Backoff after a shed request; doubles up to kMaxShedBackoff while the
  // instance keeps shedding.
  static constexpr Duration kMinShedBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxShedBackoff = std::chrono::seconds(2);

  struct Selection {
    size_t instance = 0;
    Tier tier = Tier::kOwnZone;
  };

  // `service` is an index into config.services. Instances known at construction
  // get no slow start.
  UpstreamSelector(const Config& config, size_t service,
                   const std::string& own_zone);

  // Adopts a newer configuration of the same service. Instances that stay, by
  // id, keep their state; new instances begin with a slow start. Instance
  // indices are those of the new configuration afterwards. Returns the new
  // index of each old one, or SIZE_MAX if the instance was removed.
  std::vector<size_t> Reconfigure(const Config& config, size_t service,
                                  TimePoint now);

  // Picks an instance and takes a slot of it, or returns nullopt if no
  // candidate has a free slot. Other regions, and then failing or shedding
  // instances of any tier, are used at once if no other candidate is left, and
  // otherwise only if the request has `waited` long enough for a slot. Failing
  // instances are tried after all tiers, because trying them within each tier
  // would send the overflow of a region to its failed zone. `avoid` is an
  // instance that an earlier attempt of the request used.
  std::optional<Selection> Select(SlotSource& slots, LinkBudget& links,
                                  std::optional<size_t> avoid, pcg32& rng,
                                  TimePoint now,
                                  Duration waited = Duration::max());
  // Shortest wait after which Select may find more candidates for a request
  // that found none.
  Duration MinSpillWait() const;

  // The instance responded after `latency`.
  void OnSuccess(size_t instance, Duration latency, TimePoint now);
  // The instance refused the request without running it. Not a failure.
  void OnShed(size_t instance, TimePoint now);
  // Connection refused or lost, malformed response, or timeout.
  void OnFailure(size_t instance, TimePoint now);
  // The request ended for a reason unrelated to the instance.
  void OnCancelled(size_t instance);
  // Records a load report of an instance. A report never overrides what this VM
  // observes itself.
  void OnReport(size_t instance, const LoadReport& report);
  // The instance restarted or its caches are cold; begins a slow start.
  void OnColdStart(size_t instance, TimePoint now);
  // A move shifted new clients to the zone; begins a slow start of all its
  // instances.
  void OnZoneColdStart(const std::string& zone, TimePoint now);

  // All instances with their states, in order of preference.
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
    int failures = 0;           // consecutive
    bool ejected = false;       // until backoff_until; otherwise only demoted
    TimePoint backoff_until{};  // end of an ejection or demotion
    Duration backoff{};         // of the last ejection or demotion
    TimePoint slow_start_end{};
    TimePoint shed_until{};
    Duration shed_backoff{};
    Duration latency{};  // smoothed; zero if unknown
    LoadReport report;
    bool has_report = false;
    double other_vms_in_flight = 0;  // according to the report
  };
  // Instances in one tier and region, without draining ones.
  struct Group {
    size_t region = 0;
    Tier tier = Tier::kOwnZone;
    Duration spill_wait{};
    std::vector<size_t> instances;
  };

  // Instances found by a scan that selected none.
  struct ScanResult {
    bool has_candidate = false;    // lacks only a free slot
    bool has_last_resort = false;  // failing or shedding
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
