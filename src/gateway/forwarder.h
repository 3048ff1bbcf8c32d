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
#include "gateway/event_log.h"
#include "gateway/front_server.h"
#include "gateway/header_names.h"
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
struct ForwarderDependencies {
  EventLoop* loop = nullptr;
  const HeaderNames* header_names = nullptr;
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
  std::function<size_t()> local_vm_count;
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
  // times as long as expected, but not before kMinHedgeDelay.
  static constexpr double kHedgeDelayFactor = 2.2;
  static constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(350);
  // Second attempts beside slow ones use at most this part of the budget; the
  // rest is for attempts that have failed.
  static constexpr double kMaxHedgeBudgetFraction = 0.5;
  // Requests refused for the first time come back at once and count as new
  // ones; above this part of the budget, further attempts are left to those
  // that have come back and would be lost.
  static constexpr double kMaxNonRetryBudgetFraction = 0.5;
  // Attempts that found no listener cost the instances nothing; so many are
  // made for one request.
  static constexpr int kMaxConnectFailures = 4;
  // Window of the mean number of requests a second: a few times as long as
  // callers keep the answer of a look-up.
  static constexpr Duration kArrivalWindow = std::chrono::seconds(3);
  // Processor seconds of one request, reports and logs included: 46.5 s for
  // 61,000 requests of tmu-points-grown scale-1 (docs/CAPACITY.md).
  static constexpr double kCpuSecondsPerRequest = 0.00076;
  // Bytes that a request takes on a link until answers were seen, and besides
  // the body of its answer; weight of one answer in the mean.
  static constexpr double kInitialBytesPerRequest = 10'000;
  static constexpr double kHeaderBytes = 800;
  static constexpr double kMeanBytesGain = 0.01;

  explicit Forwarder(ForwarderDependencies deps);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  ~Forwarder();

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  const std::shared_ptr<const Catalog>& catalog() const { return catalog_; }

  void Handle(CallerId caller, ReceivedMessage request);
  void OnCallerDisconnected(CallerId caller);
  // From now on requests are refused as not run.
  void StopAdmitting() { is_stopping_ = true; }
  // Requests of callers a second.
  double RequestsPerSecond(TimePoint now) const {
    return arrivals_.PerSecond(now);
  }
  // What one request costs this VM on average.
  RequestCost MeanCost() const {
    return {mean_bytes_per_request_, kCpuSecondsPerRequest};
  }
  // Requests that wait for an instance.
  size_t active_requests() const { return exchanges_.size(); }

 private:
  struct Attempt {
    uint64_t id = 0;
    UpstreamPool::SendId send_id = 0;
    std::string instance;
    TimePoint started_at{};
    Duration expected_run_time{};
    Duration expected_wait{};  // expected in the queue and on the network
    bool is_warm = false;
    size_t rank = 0;
    bool is_remote = false;
  };
  struct Exchange {
    CallerId caller = 0;
    ReceivedMessage request;
    std::string request_id;
    std::shared_ptr<const Catalog> catalog;
    const TrafficRoute* route = nullptr;
    const TrafficWorkspace* workspace = nullptr;
    PlacementRequest placement_request;
    // Names requests that do the same.
    Digest fingerprint{};
    TimePoint arrived_at{};
    TimePoint deadline{};
    int send_count = 0;  // that may have reached an instance
    int connect_failures = 0;
    bool may_have_run = false;
    bool caller_disconnected = false;
    std::vector<Attempt> attempts;
    Attempt last_attempt;  // the attempt that ended last
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
  bool CheckRateLimit(Exchange* it, TimePoint now);
  void Prepare(Exchange* it, TimePoint now);
  // Refuses a request that has crashed the instances that ran it.
  bool CheckCrashSuspicion(Exchange* it, TimePoint now);

  // Places and sends once more. False if there is no place for it.
  bool TrySend(Exchange* it, Duration* retry_after, const char** reason);
  std::string RequestBytes(const Exchange& it, const std::string& instance,
                           Duration left) const;
  void OnResult(CallerId caller, uint64_t attempt, const SendResult& result);
  void RecordLoadReport(const std::string& instance,
                        const ReceivedMessage& response, TimePoint now);
  void RetryOrFail(Exchange* it, AttemptOutcome outcome,
                   const SendResult& result);
  void OnDeadline(CallerId caller);
  void OnHedgeTimer(CallerId caller);
  void ScheduleHedge(Exchange* it, const PlacementChoice& choice);

  void Respond(Exchange* it, const ReceivedMessage& response,
               const std::string& instance);
  void Refuse(Exchange* it, const Refusal& refusal);
  void FinishExchange(Exchange* it, const char* result, int status,
                      const std::string& instance);
  // An attempt ended without an answer of its instance that is passed on.
  void FinishAttempt(const Exchange& it, const Attempt& attempt,
                     AttemptOutcome outcome, TimePoint now);
  void CancelAttempts(Exchange* it);
  double ColdRate(const Exchange& it) const;
  // Takes one further attempt from the budget that all VMs share.
  bool TakeRetryBudget(const Exchange& it, TimePoint now);

  ForwarderDependencies deps_;
  std::shared_ptr<const Catalog> catalog_;
  BackendPicker backend_picker_;
  // Longest deadline of each route's callers.
  std::map<std::string, int64_t> max_deadline_ms_;
  RateMeter arrivals_{kArrivalWindow};
  double mean_bytes_per_request_ = kInitialBytesPerRequest;
  bool is_stopping_ = false;
  uint64_t next_attempt_id_ = 1;
  std::unordered_map<CallerId, ExchangePtr> exchanges_;
};

}  // namespace rwf
