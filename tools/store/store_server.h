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

// The HTTP interface of the store double. docs/INTERFACES.md describes it.
class StoreServer {
 public:
  static constexpr size_t kMaxValueBytes = 1 << 20;
  static constexpr Duration kMaxWatch = std::chrono::seconds(60);

  StoreServer(EventLoop* loop, const StoreOptions& options);
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;
  ~StoreServer();

  Result<uint16_t> Listen(const std::string& address, uint16_t port);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  // Calls allowed in a second; one second's worth may come at once.
  struct Budget {
    double rate;
    double level;
    TimePoint since{};

    bool Take(TimePoint now);
  };
  struct Fault {
    int64_t value = 0;
    TimePoint ends{};
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
  void AnswerStats(const Exchange& exchange);

  // Answers now, or later under the fault "slow".
  void Answer(const Exchange& exchange, int status, const Json& body);
  void AnswerWrite(const Exchange& exchange, int status, const Json& body);
  void AnswerWatch(std::list<Watch>::iterator it, bool is_changed);
  void WakeWatches(const std::string& key);
  void DropWatches();
  // The fault in force, or nullptr.
  Fault* FindFault(const std::string& name);
  // The time whose state reads show.
  TimePoint ReadTime();

  EventLoop* loop_;
  StoreOptions options_;
  KvStore store_;
  Budget writes_;
  Budget reads_;
  std::map<std::string, Fault> faults_;
  std::map<std::string, int64_t> counts_;
  std::list<Watch> watches_;
  std::map<uint64_t, std::unique_ptr<Timer>> delayed_;
  uint64_t next_delayed_ = 0;
  Json visible_vms_ = Json::array();
  HttpServer server_;
};

}  // namespace rwf
