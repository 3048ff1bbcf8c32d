#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/metrics.h"
#include "gateway/backend_picker.h"
#include "gateway/crash_watch.h"
#include "gateway/dialect.h"
#include "gateway/event_log.h"
#include "gateway/front_server.h"
#include "gateway/upstream_pool.h"
#include "traffic/attempt_budget.h"
#include "traffic/catalog.h"
#include "traffic/entry_vm_selector.h"
#include "traffic/fleet_limiter.h"
#include "traffic/instance_registry.h"
#include "traffic/key_freshness.h"
#include "traffic/placement.h"

namespace rwf {

// Time of a clock that goes on while the VM is suspended.
TimePoint BootTimeNow();

// Everything that decides on requests. Owned by the gateway; all parts outlive
// the forwarder.
struct ForwarderParts {
  EventLoop* loop = nullptr;
  const Dialect* dialect = nullptr;
  InstanceRegistry* board = nullptr;
  Placement* placement = nullptr;
  FleetLimiter* limiter = nullptr;
  AttemptBudget* budget = nullptr;
  UpstreamPool* pool = nullptr;
  KeyFreshness* freshness = nullptr;
  CrashWatch* crashes = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  FrontServer* front = nullptr;
  // VMs of this region that may use its cold instances, this one included.
  std::function<size_t()> home_users;
};

// Takes each request from its arrival to its answer: route, key, limit, place,
// attempts, answer.
class Forwarder {
 public:
  // Used for requests that name no deadline.
  static constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
  // An own answer is sent this long before the caller gives up.
  static constexpr Duration kDeadlineMargin = std::chrono::milliseconds(40);
  // A second attempt is sent beside a slow one once it has taken this many
  // times as long as expected, but not before kLeastHedgeDelay.
  static constexpr double kHedgeFactor = 2.2;
  static constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(350);
  // Second attempts beside slow ones use at most this part of the budget; the
  // rest is for attempts that have failed.
  static constexpr double kHedgeBudgetShare = 0.5;
  // Requests refused for the first time come back at once and count as new
  // ones; above this part of the budget, further attempts are left to those
  // that have come back and would be lost.
  static constexpr double kFirstRefusalBudgetShare = 0.5;
  // Attempts that found no listener cost the instances nothing; so many are
  // made for one request.
  static constexpr int kMaxConnectFailures = 4;
  // Window of the mean number of requests a second: a few times as long as
  // callers keep the answer of a look-up.
  static constexpr Duration kArrivalWindow = std::chrono::seconds(3);
  // Processor seconds of one request, reports and logs included: 46.5 s for
  // 61,000 requests of tmu-points-grown scale-1 (docs/CAPACITY.md).
  static constexpr double kCpuPerRequest = 0.00076;
  // Bytes that a request takes on a link until answers were seen, and besides
  // the body of its answer; weight of one answer in the mean.
  static constexpr double kFirstBytes = 10'000;
  static constexpr double kHeadBytes = 800;
  static constexpr double kBytesGain = 0.01;

  explicit Forwarder(ForwarderParts parts);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  ~Forwarder();

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  const std::shared_ptr<const Catalog>& catalog() const { return catalog_; }

  void Handle(CallerId caller, ReceivedMessage request);
  void OnCallerLeft(CallerId caller);
  // From now on requests are refused as not run.
  void StopTaking() { is_stopping_ = true; }
  // Requests of callers a second.
  double RequestsPerSecond(TimePoint now) const {
    return arrivals_.PerSecond(now);
  }
  // What one request costs this VM on average.
  RequestCost MeanCost() const { return {mean_bytes_, kCpuPerRequest}; }
  // Requests that wait for an instance.
  size_t open() const { return exchanges_.size(); }

 private:
  struct Attempt {
    uint64_t id = 0;
    UpstreamPool::SendId send = 0;
    std::string instance;
    TimePoint at{};
    Duration expected{};
    Duration waiting{};  // expected in the queue and on the network
    bool is_warm = false;
    size_t rank = 0;
    bool is_away = false;
  };
  struct Exchange {
    CallerId caller = 0;
    ReceivedMessage request;
    std::string request_id;
    std::shared_ptr<const Catalog> catalog;
    const TrafficRoute* route = nullptr;
    const TrafficWorkspace* workspace = nullptr;
    PlacementRequest place;
    // Names requests that do the same.
    Digest fingerprint{};
    TimePoint arrived{};
    TimePoint gives_up{};
    int sends = 0;  // that may have reached an instance
    int connect_failures = 0;
    bool may_have_run = false;
    bool has_left = false;
    std::vector<Attempt> attempts;
    Attempt last;  // the attempt that ended last
    std::unique_ptr<Timer> deadline_timer;
    std::unique_ptr<Timer> hedge_timer;
  };
  using ExchangePtr = std::unique_ptr<Exchange>;

  struct Refusal {
    int status = 503;
    const char* code = "";
    Duration retry_after{};
  };

  // Steps of a request before its first attempt; each may end it.
  bool FindRoute(Exchange* it);
  bool CheckKey(Exchange* it, TimePoint now);
  bool CheckLimit(Exchange* it, TimePoint now);
  void Prepare(Exchange* it, TimePoint now);
  // Refuses a request that has crashed the instances that ran it.
  bool CheckCrashes(Exchange* it, TimePoint now);

  // Places and sends once more. False if there is no place for it.
  bool TrySend(Exchange* it, Duration* retry_after, const char** reason);
  std::string RequestBytes(const Exchange& it, const std::string& instance,
                           Duration left) const;
  void OnResult(CallerId caller, uint64_t attempt, const SendResult& result);
  void NoteReport(const std::string& instance, const ReceivedMessage& answer,
                  TimePoint now);
  void AfterFailure(Exchange* it, AttemptOutcome end, const SendResult& result);
  void OnDeadline(CallerId caller);
  void OnHedge(CallerId caller);
  void ArmHedge(Exchange* it, const PlacementChoice& choice);

  void Answer(Exchange* it, const ReceivedMessage& answer,
              const std::string& instance);
  void Refuse(Exchange* it, const Refusal& refusal);
  void End(Exchange* it, const char* result, int status,
           const std::string& instance);
  // An attempt ended without an answer of its instance that is passed on.
  void EndAttempt(const Exchange& it, const Attempt& attempt,
                  AttemptOutcome end, TimePoint now);
  void CancelAttempts(Exchange* it);
  double ColdRate(const Exchange& it) const;
  // Takes one further attempt from the budget that all VMs share.
  bool TakeFromBudget(const Exchange& it, TimePoint now);

  ForwarderParts parts_;
  std::shared_ptr<const Catalog> catalog_;
  BackendPicker picker_;
  // Longest deadline of each route's callers.
  std::map<std::string, int64_t> longest_deadline_ms_;
  RateMeter arrivals_{kArrivalWindow};
  double mean_bytes_ = kFirstBytes;
  bool is_stopping_ = false;
  uint64_t next_attempt_ = 1;
  std::unordered_map<CallerId, ExchangePtr> exchanges_;
};

}  // namespace rwf
