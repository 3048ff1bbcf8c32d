#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "base/json_reader.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "upstream/run_ledger.h"

namespace rwf {

// One entry of the instances file.
struct InstanceOptions {
  std::string id;
  std::string service;
  std::string address;
  uint16_t port = 0;
  int64_t slots = 0;
  int64_t connections = 0;
  double service_ms = 0;  // median

  double sigma = 0.3;  // of the logarithm of the service time
  uint64_t seed = 1;
  double cold_factor = 3;
  Duration warm_up_time = std::chrono::seconds(3);
  Duration load_lag = std::chrono::milliseconds(500);
};

// Simulates one instance of a service, with injectable faults.
class UpstreamInstance {
 public:
  // An instance loses its warm cache after this long without a request.
  static constexpr Duration kWarmRetention = std::chrono::seconds(30);
  static constexpr Duration kLoadSampleInterval =
      std::chrono::milliseconds(100);

  // `ledger` must outlive the instance.
  UpstreamInstance(EventLoop* loop, InstanceOptions options, RunLedger* ledger);
  UpstreamInstance(const UpstreamInstance&) = delete;
  UpstreamInstance& operator=(const UpstreamInstance&) = delete;
  ~UpstreamInstance();

  // Listens on the address and port of the options; returns the port.
  Result<uint16_t> Start();

  const InstanceOptions& options() const { return options_; }
  const std::map<std::string, int64_t>& counts() const { return counters_; }

  struct Fault {
    int64_t value = 0;
    std::string text;
    TimePoint expires_at{};
    Duration restart_delay{};
  };
  // Returns true if SetFault accepts `name`.
  static bool IsFault(const std::string& name);
  // "none" removes all faults; "crash" acts at once.
  void SetFault(const std::string& name, const Fault& fault);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  struct ActiveRun {
    Exchange exchange;
    size_t ledger_index = 0;
    bool holds_slot = true;
    std::unique_ptr<Timer> timer;
  };
  struct LoadSample {
    TimePoint sampled_at{};
    int64_t in_flight = 0;
  };

  void Handle(const Exchange& exchange);
  void HandleHealth(const Exchange& exchange);
  void HandleLoad(const Exchange& exchange);
  // Refuses a request before it starts to run.
  void Refuse(const Exchange& exchange, const char* counter);
  void StartRun(const Exchange& exchange);
  void FinishRun(uint64_t id);
  void SendResponse(const Exchange& exchange);
  void AbortRun(uint64_t id, RunState state);
  void Crash(Duration restart_delay);
  Duration DrawServiceTime();
  bool RandomChance(int64_t percent);
  Fault* FindActiveFault(const std::string& name);
  void SampleLoad();

  EventLoop* loop_;
  InstanceOptions options_;
  RunLedger* ledger_;
  std::mt19937_64 random_;
  std::map<std::string, Fault> faults_;
  std::map<std::string, int64_t> counters_;
  std::map<uint64_t, ActiveRun> active_runs_;
  uint64_t next_run_id_ = 0;
  int64_t in_flight_ = 0;
  TimePoint last_request_{};
  TimePoint warm_at_{};
  std::deque<LoadSample> samples_;
  std::unique_ptr<Timer> sample_timer_;
  std::unique_ptr<Timer> restart_timer_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace rwf
