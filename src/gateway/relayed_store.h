#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"
#include "wire/messages_generated.h"

namespace rwf {

// The store as a VM sees it that hears of changes from another VM where it can.
// Asks the store itself when there is no such VM, when that does not answer in
// time, or when what it knows has become old. All other calls go to the store.
class RelayedStore : public RevisionStore {
 public:
  // How long the other VM may hold a request, and what is added for the way.
  static constexpr Duration kRelayWait = std::chrono::milliseconds(500);
  static constexpr Duration kRelayTimeoutMargin =
      std::chrono::milliseconds(250);
  // Knowledge older than this may hide a change from callers for too long: with
  // the wait and the margin before the store is asked, a VM stays within 2.3 s
  // of it. The shortest time in which a configuration has to be in force is
  // 2.5 s.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);
  // Wait of a VM that others ask, so that what it knows stays young.
  static constexpr Duration kWaitAsRelay = std::chrono::milliseconds(1000);
  // Wait of a call that is made because the other VM did not answer.
  static constexpr Duration kFallbackWait = std::chrono::milliseconds(20);

  // A VM whose own calls failed this recently does not offer to be asked.
  static constexpr Duration kStoreFailureHoldoff = std::chrono::seconds(5);

  struct Callbacks {
    // The VM to ask, or nothing.
    std::function<std::string()> relay;
    // Whether other VMs ask this one.
    std::function<bool()> is_relay;
    // Sends to a VM; false if there is no link.
    std::function<bool(const std::string& vm, const wire::ChangesRequestT&)>
        send;
    // Reads a clock that goes on while the VM is suspended.
    std::function<TimePoint()> boot_now;
  };
  struct Counters {
    uint64_t relayed = 0;  // answers of other VMs that were used
    uint64_t fallbacks =
        0;  // requests to them that had to be made to the store
  };

  RelayedStore(EventLoop* loop, RevisionStore* store, Callbacks callbacks);
  RelayedStore(const RelayedStore&) = delete;
  RelayedStore& operator=(const RelayedStore&) = delete;

  void OnReply(const std::string& vm, const wire::ChangesReplyT& reply);
  const Counters& counters() const { return counters_; }
  // Whether the store answers this VM's own calls.
  bool IsStoreReliable(TimePoint boot_now) const {
    return !has_failed_ || boot_now - failed_at_ > kStoreFailureHoldoff;
  }

  void Range(const std::string& prefix, const std::string& after,
             Duration timeout, Callback<ItemPage> done) override;
  void Watch(const std::string& prefix, uint64_t revision, Duration wait,
             Callback<ChangeSet> done) override;
  void Write(const ItemWrite& write, Callback<uint64_t> done) override;
  void Grant(Duration ttl, Callback<GrantedLease> done) override;
  void KeepAlive(uint64_t lease, Callback<bool> done) override;
  void Release(uint64_t lease, Callback<bool> done) override;

 private:
  struct Pending {
    uint64_t id = 0;
    std::string vm;
    std::string prefix;
    uint64_t revision = 0;
    TimePoint requested_at{};  // boot time
    Callback<ChangeSet> done;
  };
  void WatchStore(const std::string& prefix, uint64_t revision, Duration wait,
                  TimePoint requested_at, Callback<ChangeSet> done);
  void FallBackToStore();
  // Passes the answer of the store on, after noting whether there was one.
  template <typename T>
  Callback<T> RecordingFailures(Callback<T> done);

  EventLoop* loop_;
  RevisionStore* store_;
  Callbacks callbacks_;
  Counters counters_;
  uint64_t next_id_ = 1;
  bool has_failed_ = false;
  TimePoint failed_at_{};  // boot time
  std::unique_ptr<Pending> pending_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
