#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/digest.h"
#include "net/event_loop.h"
#include "replica/revision_store.h"
#include "wire/messages_generated.h"

namespace rwf {

// A store whose watches are served by another VM where possible. Watches the
// store itself if there is no such VM, if that VM does not reply in time, or if
// its state is too old. All other calls go to the store.
class RelayedStore : public RevisionStore {
 public:
  // How long the other VM may hold a request, and the time added for the
  // network.
  static constexpr Duration kRelayWait = std::chrono::milliseconds(500);
  static constexpr Duration kRelayTimeoutMargin =
      std::chrono::milliseconds(250);
  // State older than this is not used, since it may hide a change from callers
  // for too long. With the wait and the margin before the store is asked, a VM
  // is at most 2.3 s behind the store. The shortest time in which a
  // configuration must take effect is 2.5 s.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);
  // Wait time of a VM that relays changes, short enough to keep its state
  // recent.
  static constexpr Duration kWaitAsRelay = std::chrono::milliseconds(1000);
  // Wait time of a call to the store after the other VM did not reply.
  static constexpr Duration kFallbackWait = std::chrono::milliseconds(20);

  // A VM does not offer to relay changes for this long after a call of its own
  // has failed.
  static constexpr Duration kStoreFailureHoldoff = std::chrono::seconds(5);

  struct Callbacks {
    // Returns the VM that relays changes, or an empty string.
    std::function<std::string()> relay;
    // Whether this VM relays changes to other VMs.
    std::function<bool()> is_relay;
    // Sends a request to a VM. Returns false if there is no link.
    std::function<bool(const std::string& vm, const wire::ChangesRequestT&)>
        send;
    // Returns the time of a clock that keeps running while the VM is suspended.
    std::function<TimePoint()> boot_now;
  };
  struct Counters {
    uint64_t relayed = 0;    // replies of other VMs that were used
    uint64_t fallbacks = 0;  // requests sent to the store instead
  };

  RelayedStore(EventLoop* loop, RevisionStore* store, Callbacks callbacks);
  RelayedStore(const RelayedStore&) = delete;
  RelayedStore& operator=(const RelayedStore&) = delete;

  void OnReply(const std::string& vm, const wire::ChangesReplyT& reply);
  const Counters& counters() const { return counters_; }
  // Whether the store has answered the recent calls of this VM.
  bool IsStoreReliable(TimePoint boot_now) const {
    return !has_failed_ || boot_now - failed_at_ > kStoreFailureHoldoff;
  }

  void Range(const std::string& prefix, const std::string& after,
             Duration timeout, Callback<ItemPage> done) override;
  void Watch(const std::string& prefix, const StoreRevision& revision,
             Duration wait, Callback<ChangeSet> done) override;
  void Write(const ItemWrite& write, Callback<StoreRevision> done) override;
  void Grant(Duration ttl, Callback<GrantedLease> done) override;
  void KeepAlive(uint64_t lease, Callback<bool> done) override;
  void Release(uint64_t lease, Callback<bool> done) override;

 private:
  struct Pending {
    uint64_t id = 0;
    std::string vm;
    std::string prefix;
    StoreRevision revision;
    TimePoint requested_at{};  // boot time
    Callback<ChangeSet> done;
  };
  void WatchStore(const std::string& prefix, const StoreRevision& revision,
                  Duration wait, TimePoint requested_at,
                  Callback<ChangeSet> done);
  void FallBackToStore();
  // Wraps `done` to record whether the store answered.
  template <typename T>
  Callback<T> RecordingFailures(Callback<T> done);

  EventLoop* loop_;
  RevisionStore* store_;
  Callbacks callbacks_;
  Counters counters_;
  // Random at the start: a relay VM may still reply to a request of the former
  // process of this VM.
  uint64_t next_id_ = RandomU64();
  bool has_failed_ = false;
  TimePoint failed_at_{};  // boot time
  // Latest revision of an item read from the store. The pages of a load are not
  // a snapshot, so an item may be newer than the revision from which is
  // watched, and a relay VM may know nothing of its removal.
  StoreRevision latest_read_revision_;
  std::unique_ptr<Pending> pending_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
