#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "load/load_ledger.h"
#include "load/load_plan.h"
#include "load/lookup_cache.h"
#include "load/offered_rate.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace rwf {

struct LoadOptions {
  double load_fraction = 0.5;  // of each workspace's rate
  std::string hot_workspace;
  double hot_factor = 8;
  Duration hot_after{};
  uint64_t seed = 1;
  Duration timeout = std::chrono::seconds(3);
  // Sends requests directly to the upstreams, bypassing the system.
  bool is_direct = false;
  // Number of callers with one request at a time each. If 0, requests arrive at
  // the workspaces' rates.
  int64_t closed_loop_callers = 0;
  // If set, a request with this text in its body is sent periodically.
  std::string poison;
  Duration poison_after = std::chrono::seconds(5);
  int64_t clients_per_workspace = 32;
};

// Simulates the callers of all workspaces and records every request with its
// outcome in the ledger.
class LoadGenerator {
 public:
  static constexpr int kMaxAttempts = 3;
  // Time that a response may take beyond the deadline of its request.
  static constexpr Duration kResponseGracePeriod =
      std::chrono::milliseconds(300);
  static constexpr Duration kInProgressDelay = std::chrono::milliseconds(100);
  static constexpr Duration kPoisonInterval = std::chrono::seconds(1);

  // `plan` and `ledger` must outlive the generator.
  LoadGenerator(EventLoop* loop, const LoadPlan* plan,
                const LoadOptions& options, LoadLedger* ledger);
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;
  ~LoadGenerator();

  void Start();
  // Stops sending new requests; calls `on_done` when all open ones have ended.
  void Finish(std::function<void()> on_done);

  const LookupCache& lookups() const { return lookups_; }

 private:
  struct Caller {
    const LoadPlan::Workspace* workspace;
    OfferedRate offered;
    std::vector<std::string> client_addresses;
    TimePoint next_arrival{};
    double rate = 0;
    std::unique_ptr<Timer> timer;
  };
  struct Call {
    uint64_t id = 0;
    CallRecord record;
    Caller* caller = nullptr;
    const LoadPlan::Service* service = nullptr;
    const LoadPlan::Route* route = nullptr;
    HttpRequest request;
    TimePoint started{};
    TimePoint deadline{};
    std::string client_address;
    std::vector<EntryChoice> choices;
    size_t next_choice = 0;
    std::string idempotency_key;
    // True if an attempt may have started to run.
    bool may_have_run = false;
    bool is_within_rate = true;
    std::unique_ptr<Timer> retry_timer;
  };

  void ScheduleArrival(Caller* caller);
  void StartCall(Caller* caller, bool is_poison);
  void BuildRequest(Call* call);
  void SelectEntry(Call* call, const std::vector<EntryChoice>& choices);
  void SendAttempt(uint64_t id);
  void HandleOutcome(uint64_t id, const HttpOutcome& outcome);
  AttemptResult Classify(Call* call, const HttpOutcome& outcome);
  void ScheduleAttempt(Call* call, Duration retry_delay);
  void FinishCall(Call* call);
  template <typename T>
  const T& PickWeighted(const std::vector<T>& all);

  EventLoop* loop_;
  const LoadPlan* plan_;
  LoadOptions options_;
  LoadLedger* ledger_;
  HttpClient client_;
  LookupCache lookups_;
  std::mt19937_64 random_;
  std::string run_id_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::map<uint64_t, std::unique_ptr<Call>> calls_;
  uint64_t next_call_ = 0;
  bool is_finishing_ = false;
  std::function<void()> on_done_;
  std::unique_ptr<Timer> poison_timer_;
  std::unique_ptr<Timer> hot_timer_;
};

}  // namespace rwf
