#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/metrics.h"
#include "entry/refusal.h"
#include "entry/service_state.h"
#include "entry/serving_view.h"
#include "entry/settings.h"
#include "keys/withdrawal_set.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "once/claim_client.h"
#include "once/crash_guard.h"
#include "rates/share_ledger.h"

namespace rwf {

// Forwards callers' requests to upstreams: checks the key, claims the run of
// non-idempotent requests, applies the rate, queues for a slot, sends, retries
// and returns the response.
class Proxy {
 public:
  // Maximum wait for tokens that peers may lend.
  static constexpr Duration kMaxRateWait = std::chrono::milliseconds(150);
  // Maximum number of requests of one workspace that wait for tokens.
  static constexpr size_t kMaxRateWaiters = 1024;

  // All pointers outlive the proxy.
  struct Dependencies {
    EventLoop* loop;
    const Settings* settings;
    HttpClient* upstream_client;
    ShareLedger* ledger;
    WithdrawalSet* withdrawals;
    ClaimClient* claim_client;
    CrashGuard* crash_guard;
    Metrics* metrics;
    // Time since this VM or a peer was last in contact with the store.
    std::function<Duration(TimePoint)> store_contact_age;
    // Send the pending messages of the ledger, the claim client and the crash
    // guard to peers.
    std::function<void()> flush_ledger;
    std::function<void()> flush_claims;
    std::function<void(const std::vector<wire::CrashSuspicionT>&)>
        flood_suspicions;
  };

  Proxy(Dependencies deps, uint64_t incarnation, uint64_t seed);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  ~Proxy();

  void SetView(std::shared_ptr<const ServingView> view, TimePoint now);
  void Handle(std::shared_ptr<HttpExchange> exchange);

  // Passes an instance's load report to the selector of its service.
  void OnLoadReport(const std::string& service, const std::string& upstream,
                    const LoadReport& report);
  // Resumes requests whose claim was decided by the claim client.
  void OnClaimDecisions(const std::vector<ClaimDecision>& decisions);
  // Handles expired deadlines, waits and slots. Called every 10 ms.
  void Tick(TimePoint now);
  // Loans may have arrived: retries waiting requests.
  void OnLedgerChanged(TimePoint now);

  // Number of requests without a response.
  size_t open_requests() const { return requests_.size(); }
  size_t queued_requests() const;
  ServiceState* FindService(const std::string& name);
  const std::map<std::string, std::unique_ptr<ServiceState>>& services() const {
    return services_;
  }

 private:
  enum class Stage { kClaim, kRate, kQueue, kSent };

  struct Request {
    uint64_t id = 0;
    std::shared_ptr<HttpExchange> exchange;
    ServiceState* service = nullptr;
    Route route;
    uint32_t workspace = ServiceState::kOpenWorkspace;
    std::string workspace_name;
    Digest key_digest;
    TimePoint arrived_at;
    TimePoint deadline;
    Stage stage = Stage::kRate;
    TimePoint queued_at;
    ResourceHandle rate_resource;
    TimePoint rate_wait_deadline;
    bool has_claim = false;  // granted; must be finished
    uint64_t claim_request_id = 0;
    Digest fingerprint;
    int attempts = 0;
    std::optional<size_t> avoided_instance;
    std::optional<HeldSlot> slot;
    TimePoint sent_at;
    HttpClient::CallId call_id = 0;
    // True if an attempt was sent and it is not known whether it ran.
    bool may_have_run = false;
  };
  struct RateQueue {
    std::deque<uint64_t> request_ids;
  };

  // Steps of a request, in this order. Each continues with the next one, leaves
  // the request waiting, or finishes it.
  void Admit(std::shared_ptr<HttpExchange> exchange);
  bool ReadDeadline(Request* request);
  bool Authenticate(Request* request);
  void StartClaim(Request* request);
  void StartRateAdmission(Request* request);
  void Enqueue(Request* request);
  void Send(Request* request);

  void ApplyClaim(Request* request, const ClaimDecision& decision);
  void HandleOutcome(uint64_t id, const HttpOutcome& outcome);
  void HandleFailedAttempt(Request* request, AttemptFailure failure);
  void HandleResponse(Request* request, const HttpResponse& response);
  void ProbeForCrash(const std::string& upstream, const HttpTarget& target,
                     const Digest& fingerprint);
  void ReleaseSlot(Request* request);

  void Refuse(Request* request, Refusal refusal, const std::string& message);
  // Finishes the claim, counts the request and sends the response. `stored` is
  // the outcome kept for replays; null if the request did not complete.
  void FinishRequest(Request* request, const HttpResponse& response,
                     const std::string& result,
                     const wire::StoredOutcomeT* stored);
  void HandleCallerLeft(uint64_t id);

  void RetryRateAdmissions(TimePoint now);
  void Dispatch(ServiceState* service, TimePoint now);
  void CancelExpiredSlots(TimePoint now);
  Request* FindRequest(uint64_t id);

  Dependencies deps_;
  std::string request_id_prefix_;
  pcg32 rng_;
  std::shared_ptr<const ServingView> view_;
  std::map<std::string, std::unique_ptr<ServiceState>> services_;
  std::unordered_map<uint64_t, std::unique_ptr<Request>> requests_;
  // Request ids by claim request id and by slot token id.
  std::unordered_map<uint64_t, uint64_t> requests_by_claim_;
  std::unordered_map<uint64_t, uint64_t> requests_by_slot_;
  std::map<ResourceHandle, RateQueue> rate_queues_;
  uint64_t last_request_id_ = 0;
  bool is_dispatching_ = false;
};

}  // namespace rwf
