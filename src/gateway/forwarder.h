#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/metrics.h"
#include "gateway/backend_picker.h"
#include "gateway/crash_watch.h"
#include "gateway/deadline_reader.h"
#include "gateway/event_log.h"
#include "gateway/front_server.h"
#include "gateway/header_names.h"
#include "gateway/instance_prober.h"
#include "gateway/limit_refusal_log.h"
#include "gateway/notice_decoder.h"
#include "gateway/shortage_control.h"
#include "gateway/upstream_pool.h"
#include "traffic/attempt_budget.h"
#include "traffic/catalog.h"
#include "traffic/entry_vm_selector.h"
#include "traffic/instance_registry.h"
#include "traffic/key_freshness.h"
#include "traffic/placement.h"
#include "traffic/workspace_limiter.h"

namespace rwf {

// Returns the time of a clock that keeps running while the VM is suspended
// (CLOCK_BOOTTIME).
TimePoint BootTimeNow();

// Components that the forwarder works with. They are owned by the gateway and
// outlive the forwarder.
struct ForwarderDependencies {
  EventLoop* loop = nullptr;
  const HeaderNames* header_names = nullptr;
  const NoticeDecoder* notice_decoder = nullptr;
  InstanceRegistry* registry = nullptr;
  InstanceNotices* notices = nullptr;
  Placement* placement = nullptr;
  WorkspaceLimiter* limiter = nullptr;
  AttemptBudget* budget = nullptr;
  UpstreamPool* pool = nullptr;
  BufferAccount* buffers = nullptr;  // null: buffered bytes are not counted
  KeyFreshness* freshness = nullptr;
  CrashWatch* crashes = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  FrontServer* front = nullptr;
  // Returns the number of VMs in this region, including this one, that send
  // requests to the region's cold instances.
  std::function<size_t()> local_vm_count;
};

// Handles each request from arrival to response: route lookup, key check, rate
// limit, placement, upstream attempts and the response to the caller.
class Forwarder {
 public:
  // A hedge attempt is sent once the first attempt has taken this many times
  // its expected latency, or the upper quantile where that is estimated, but
  // not before kMinHedgeDelay.
  static constexpr double kHedgeDelayFactor = 2.2;
  static constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(350);
  // Hedge attempts stop once this fraction of the retry budget is used; the
  // rest is reserved for retries of failed attempts.
  static constexpr double kMaxHedgeBudgetFraction = 0.5;
  // A caller retries its first refusal at once, and the retry counts as a new
  // request. Above this fraction of the retry budget, further attempts are
  // reserved for requests that a refusal would lose: retries by callers and
  // requests that may have run.
  static constexpr double kMaxNonRetryBudgetFraction = 0.5;
  // Maximum number of attempts of one request that fail to connect. Such
  // attempts cost the instances nothing.
  static constexpr int kMaxConnectFailures = 4;
  // Averaging window of the request rate: a few times the TTL of the look-up
  // results that callers cache.
  static constexpr Duration kArrivalWindow = std::chrono::seconds(3);
  // CPU seconds per request, including reports and logs (see docs/CAPACITY.md).
  static constexpr double kCpuSecondsPerRequest = 0.00076;
  // Bytes that a request is assumed to use on a link until responses have been
  // seen; bytes used in addition to the bodies; weight of one response in the
  // moving average.
  static constexpr double kInitialBytesPerRequest = 10'000;
  static constexpr double kHeaderBytes = 800;
  static constexpr double kMeanBytesGain = 0.01;

  explicit Forwarder(ForwarderDependencies deps);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  ~Forwarder();

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  const std::shared_ptr<const Catalog>& catalog() const { return catalog_; }

  void Handle(ExchangeId id, ReceivedMessage request);
  // Returns whether the request may run beside others of its connection: only
  // its route tells whether it is idempotent.
  bool MayPipeline(const ReceivedMessage& request) const;
  void OnCallerDisconnected(ExchangeId id);
  // Continues or refuses a request that waited for a decision on the limit of
  // its workspace.
  void OnLimitDecided(const WorkspaceLimiter::Decision& decision);
  // Refuses all further requests with a status that tells callers the request
  // did not run.
  void StopAdmitting();
  // From now on, refuses requests that may last beyond this time.
  // Requests that wait for capacity are refused at once.
  void SetStopTime(TimePoint stop_at);
  // Lets requests wait for capacity where that pays. Off by default.
  void SetWaitsForCapacity(bool waits) { waits_for_capacity_ = waits; }
  // Mean rate of caller requests per second.
  double RequestsPerSecond(TimePoint now) const {
    return arrivals_.PerSecond(now);
  }
  // Mean cost of one request to this VM.
  RequestCost MeanCost() const {
    return {mean_bytes_per_request_, kCpuSecondsPerRequest};
  }
  // Number of requests that have not been responded to.
  size_t active_requests() const { return exchanges_.size(); }

 private:
  struct Attempt {
    uint64_t id = 0;
    UpstreamPool::SendId send_id = 0;
    std::string instance;
    int64_t instance_started_ms = 0;
    TimePoint started_at{};
    Duration expected_run_time{};
    Duration expected_wait{};  // in the queue and on the network
    bool is_warm = false;
    bool is_trial = false;
    size_t rank = 0;
    bool is_remote = false;
  };
  struct Exchange {
    ExchangeId id = 0;
    ReceivedMessage request;
    std::unique_ptr<BufferAccount::Holder> request_holder;
    std::string request_id;
    std::shared_ptr<const Catalog> catalog;
    const TrafficRoute* route = nullptr;
    const TrafficWorkspace* workspace = nullptr;
    // Set while the limit of the workspace is undecided.
    WorkspaceLimiter::Ticket limit_ticket = 0;
    bool is_admitted = false;  // under that limit
    bool is_logged = true;     // by itself, not as one of a count
    PlacementRequest placement_request;
    // Equal for requests that do the same.
    Digest fingerprint{};
    TimePoint arrived_at{};
    TimePoint deadline{};
    int send_count = 0;  // attempts that may have reached an instance
    int connect_failures = 0;
    bool may_have_run = false;
    bool caller_disconnected = false;
    bool may_wait = false;  // no instance had capacity in the last TrySend()
    std::vector<Attempt> attempts;
    Attempt last_attempt;  // the most recently finished attempt
    std::unique_ptr<Timer> deadline_timer;
    std::unique_ptr<Timer> hedge_timer;
    std::string WorkspaceName() const {
      return workspace == nullptr ? "" : workspace->name;
    }
  };
  using ExchangePtr = std::unique_ptr<Exchange>;

  struct Refusal {
    int status = 503;
    const char* code = "";
    Duration retry_after{};
  };

  // Steps before the first attempt. Those that return false have refused the
  // request, or keep it waiting.
  bool FindRoute(Exchange* it);
  bool CheckKey(Exchange* it, TimePoint now);
  bool CheckRateLimit(Exchange* it, TimePoint now);
  void RefuseOverLimit(Exchange* it, Duration retry_after);
  // Sends the first attempt of a request that may run.
  void Start(Exchange* it, TimePoint now);
  void Prepare(Exchange* it, TimePoint now);
  // Refuses a request that is suspected of crashing instances.
  bool CheckCrashSuspicion(Exchange* it, TimePoint now);

  // Chooses an instance and sends an attempt to it. Returns false if no
  // instance can take the request.
  bool TrySend(Exchange* it, Duration* retry_after, const char** reason);
  // Lets a request that TrySend() found no capacity for wait, if that pays.
  bool Wait(Exchange* it, Duration* retry_after);
  bool StartWaiting(ExchangeId id);
  void RefuseWaiting(ExchangeId id, Duration retry_after);
  std::string RequestHead(const Exchange& it, const std::string& instance,
                          Duration left) const;
  static ServiceTimeModel::Warmth WarmthOf(const Exchange& it,
                                           const Attempt& attempt);
  void OnResult(ExchangeId id, uint64_t attempt_id, const SendResult& result);
  void RecordLoadReport(const std::string& instance,
                        const ReceivedMessage& response, TimePoint now);
  // Records what the instance said of itself. Returns false if it said nothing
  // that limits what it is sent.
  bool RecordNotice(const Exchange& it, const Attempt& attempt,
                    const ReceivedMessage& response, TimePoint now);
  void RetryOrFail(Exchange* it, AttemptOutcome outcome,
                   const SendResult& result);
  void OnDeadline(ExchangeId id);
  void OnHedgeTimer(ExchangeId id);
  void ScheduleHedge(Exchange* it, const PlacementChoice& choice);

  void Respond(Exchange* it, const ReceivedMessage& response,
               const std::string& instance);
  void Refuse(Exchange* it, const Refusal& refusal);
  void FinishExchange(Exchange* it, const char* result, int status,
                      const std::string& instance);
  // Records the outcome of an attempt for its instance and for crash detection.
  void FinishAttempt(const Exchange& it, const Attempt& attempt,
                     AttemptOutcome outcome, bool connection_lost,
                     TimePoint now);
  // Cancels all attempts for the reason given, which is logged.
  void CancelAttempts(Exchange* it, AttemptOutcome outcome, const char* reason,
                      TimePoint now);
  double ColdRate(const Exchange& it) const;
  // Takes one further attempt from the retry budget.
  bool TakeRetryBudget(const Exchange& it, TimePoint now);

  ForwarderDependencies deps_;
  InstanceProber prober_;
  ShortageControl shortage_;
  std::shared_ptr<const Catalog> catalog_;
  BackendPicker backend_picker_;
  DeadlineReader deadlines_;
  RateMeter arrivals_{kArrivalWindow};
  double mean_bytes_per_request_ = kInitialBytesPerRequest;
  bool is_stopping_ = false;
  bool waits_for_capacity_ = false;
  TimePoint stop_at_ = TimePoint::max();
  uint64_t next_attempt_id_ = 1;
  WorkspaceLimiter::Ticket next_limit_ticket_ = 1;
  LimitRefusalLog limit_refusals_;
  std::unordered_map<ExchangeId, ExchangePtr> exchanges_;
  std::unordered_map<WorkspaceLimiter::Ticket, ExchangeId> limit_tickets_;
};

}  // namespace rwf
