#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/json_reader.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "store/kv_store.h"

namespace rwf {

struct StoreOptions {
  double writes_per_second = 300;
  double reads_per_second = 2000;
  Duration vms_lag = std::chrono::seconds(2);
};

// HTTP interface of the store double, as described in docs/INTERFACES.md.
class StoreServer {
 public:
  static constexpr size_t kMaxValueBytes = 1 << 20;
  static constexpr Duration kMaxWatchTimeout = std::chrono::seconds(60);

  StoreServer(EventLoop* loop, const StoreOptions& options);
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;
  ~StoreServer();

  Result<uint16_t> Listen(const std::string& address, uint16_t port);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  // Allows `rate` calls per second, with a burst of one second's worth.
  struct TokenBucket {
    double rate;
    double tokens;
    TimePoint updated_at{};

    bool TryAcquire(TimePoint now);
  };
  struct Fault {
    int64_t value = 0;
    TimePoint expires_at{};
  };
  struct Watch {
    Exchange exchange;
    std::string key;
    int64_t version;
    std::unique_ptr<Timer> timeout;
  };

  void Handle(const Exchange& exchange);
  void HandleGet(const Exchange& exchange, const std::string& key);
  void HandlePut(const Exchange& exchange, const std::string& key);
  void HandleList(const Exchange& exchange);
  void HandleLease(const Exchange& exchange, const std::string& name);
  void HandleVms(const Exchange& exchange);
  void SetVms(const Exchange& exchange);
  void SetFault(const Exchange& exchange);
  void HandleStats(const Exchange& exchange);

  // Responds now, or after the delay of the fault "slow".
  void SendResponse(const Exchange& exchange, int status, const Json& body);
  void SendWriteResponse(const Exchange& exchange, int status,
                         const Json& body);
  void CompleteWatch(std::list<Watch>::iterator it, bool is_changed);
  void NotifyWatches(const std::string& key);
  void AbortWatches();
  // Returns the active fault, or nullptr.
  Fault* FindActiveFault(const std::string& name);
  // Returns the time as of which reads are served.
  TimePoint ReadTimestamp();

  EventLoop* loop_;
  StoreOptions options_;
  KvStore store_;
  TokenBucket writes_;
  TokenBucket reads_;
  std::map<std::string, Fault> faults_;
  std::map<std::string, int64_t> counters_;
  std::list<Watch> watches_;
  std::map<uint64_t, std::unique_ptr<Timer>> delayed_timers_;
  uint64_t next_timer_id_ = 0;
  Json visible_vms_ = Json::array();
  HttpServer server_;
};

}  // namespace rwf
