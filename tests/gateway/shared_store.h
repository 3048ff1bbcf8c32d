#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// A store with a history and leases that several VMs use through connections of
// their own.
class SharedStore {
 public:
  struct Change {
    StoreItem item;
    TimePoint at{};
  };

  explicit SharedStore(EventLoop* loop) : loop_(loop) {}

  void Put(const std::string& key) {
    Put(key, std::to_string(revision.number + 1));
  }
  void Put(const std::string& key, const std::string& value,
           uint64_t lease = 0) {
    lease_of_[key] = lease;
    Add({key, value, Next(), false});
  }
  void Delete(const std::string& key) {
    if (items.contains(key)) Add({key, "", Next(), true});
  }
  void DiscardHistory() { oldest_revision = revision; }
  // Returns, in a new era, to the contents that the store had `age` ago. Leases
  // stay.
  void Restore(Duration age) {
    const TimePoint copied_at = EventLoop::Now() - age;
    std::map<std::string, StoreItem> copy;
    uint64_t number = 1;
    for (const Change& it : history) {
      if (it.at > copied_at) break;
      number = std::max(number, it.item.revision.number);
      if (it.item.is_deleted) {
        copy.erase(it.item.key);
      } else {
        copy[it.item.key] = it.item;
      }
    }
    revision = oldest_revision = {revision.era + 1, number};
    const std::map<std::string, StoreItem> lost = std::exchange(items, {});
    const auto first = static_cast<ptrdiff_t>(history.size());
    // What differs changes at the moment of the return.
    for (auto& [key, it] : copy) {
      it.revision.era = revision.era;
      items[key] = it;
      const auto found = lost.find(key);
      if (found == lost.end() || found->second.value != it.value)
        history.push_back({it, EventLoop::Now()});
    }
    for (const auto& [key, it] : lost) {
      if (!copy.contains(key))
        history.push_back({{key, "", revision, true}, EventLoop::Now()});
    }
    std::sort(history.begin() + first, history.end(),
              [](const Change& a, const Change& b) {
                return a.item.revision < b.item.revision;
              });
  }

  Result<StoreRevision> Write(const ItemWrite& write) {
    ExpireLeases();
    const auto it = items.find(write.key);
    const StoreRevision present =
        it == items.end() ? StoreRevision{} : it->second.revision;
    if (write.is_conditional && present != write.expected_revision)
      return Fail(StoreErrc::kConflict, "another revision");
    if (write.lease != 0 && !leases_.contains(write.lease))
      return Fail(StoreErrc::kNotHeld, "no such lease");
    Put(write.key, write.value, write.lease);
    return revision;
  }
  // Executes a write whose caller gets no response.
  void WriteLate(const ItemWrite& write, Duration delay) {
    timers_.push_back(loop_->After(
        delay, [this, write] { static_cast<void>(Write(write)); }));
  }
  GrantedLease Grant(Duration ttl) {
    leases_[++last_lease_] = {EventLoop::Now() + ttl, ttl};
    return {last_lease_, ttl};
  }
  Result<bool> KeepAlive(uint64_t lease) {
    ExpireLeases();
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return Fail(StoreErrc::kNotHeld, "no such lease");
    it->second.end = EventLoop::Now() + it->second.ttl;
    return true;
  }
  void Release(uint64_t lease) {
    if (leases_.erase(lease) == 0) return;
    for (const auto& [key, owner] : std::map(lease_of_)) {
      if (owner == lease) Delete(key);
    }
  }
  void ExpireLeases() {
    for (const auto& [lease, it] : std::map(leases_)) {
      if (it.end <= EventLoop::Now()) Release(lease);
    }
  }

  std::map<std::string, StoreItem> items;
  std::vector<Change> history;
  StoreRevision revision{0, 1};
  // Watches from an earlier revision fail.
  StoreRevision oldest_revision{0, 1};

 private:
  struct Lease {
    TimePoint end{};
    Duration ttl{};
  };
  StoreRevision Next() const { return {revision.era, revision.number + 1}; }
  void Add(const StoreItem& item) {
    revision = item.revision;
    if (item.is_deleted) {
      items.erase(item.key);
      lease_of_.erase(item.key);
    } else {
      items[item.key] = item;
    }
    history.push_back({item, EventLoop::Now()});
  }

  EventLoop* loop_;
  std::map<uint64_t, Lease> leases_;
  std::map<std::string, uint64_t> lease_of_;  // by key
  uint64_t last_lease_ = 0;
  std::vector<std::unique_ptr<Timer>> timers_;
};

// The calls of one VM. They take a random time, and fail while it is cut off.
class StoreConnection : public RevisionStore {
 public:
  static constexpr size_t kPageItems = 4;
  static constexpr uint64_t kMaxDelayMs = 15;
  static constexpr Duration kPollInterval = std::chrono::milliseconds(5);
  static constexpr Duration kWriteTimeout = std::chrono::seconds(1);

  StoreConnection(EventLoop* loop, SharedStore* store, uint64_t seed)
      : loop_(loop), store_(store), rng_(seed) {}

  void Range(const std::string&, const std::string& after, Duration,
             Callback<ItemPage> done) override {
    Delay([this, after, done = std::move(done)] {
      ItemPage page;
      page.revision = store_->revision;
      auto it = store_->items.upper_bound(after);
      for (; it != store_->items.end() && page.items.size() < kPageItems; ++it)
        page.items.push_back(it->second);
      page.has_more = it != store_->items.end();
      Answer(done, Result<ItemPage>(std::move(page)));
    });
  }
  void Watch(const std::string&, const StoreRevision& revision, Duration wait,
             Callback<ChangeSet> done) override {
    Poll(revision, EventLoop::Now() + wait, std::move(done));
  }
  void Write(const ItemWrite& write, Callback<StoreRevision> done) override {
    if (late_write_delay > Duration::zero()) {
      store_->WriteLate(write,
                        std::exchange(late_write_delay, Duration::zero()));
      After(kWriteTimeout, [done = std::move(done)] {
        done(Fail(StoreErrc::kUnknownOutcome, "no response"));
      });
      return;
    }
    Call<StoreRevision>(std::move(done),
                        [this, write] { return store_->Write(write); });
  }
  void Grant(Duration ttl, Callback<GrantedLease> done) override {
    Call<GrantedLease>(std::move(done),
                       [this, ttl] { return store_->Grant(ttl); });
  }
  void KeepAlive(uint64_t lease, Callback<bool> done) override {
    Call<bool>(std::move(done),
               [this, lease] { return store_->KeepAlive(lease); });
  }
  void Release(uint64_t lease, Callback<bool> done) override {
    Call<bool>(std::move(done), [this, lease] {
      store_->Release(lease);
      return Result<bool>(true);
    });
  }

  bool is_cut = false;
  // The next write is executed after this time and not answered.
  Duration late_write_delay{};

 private:
  void After(Duration delay, std::function<void()> action) {
    timers_.push_back(loop_->After(delay, std::move(action)));
  }
  void Delay(std::function<void()> action) {
    After(std::chrono::milliseconds(rng_() % kMaxDelayMs), std::move(action));
  }
  template <typename T>
  void Answer(Callback<T> done, Result<T> result) {
    Delay([this, done = std::move(done), result = std::move(result)] {
      if (is_cut) {
        done(Fail(StoreErrc::kUnavailable, "cut off"));
      } else {
        done(result);
      }
    });
  }
  // A call that is cut off on its way is not executed.
  template <typename T>
  void Call(Callback<T> done, std::function<Result<T>()> execute) {
    Delay([this, done = std::move(done), execute = std::move(execute)] {
      if (is_cut) {
        Answer<T>(done, Fail(StoreErrc::kUnavailable, "cut off"));
      } else {
        Answer<T>(done, execute());
      }
    });
  }
  void Poll(const StoreRevision& revision, TimePoint end,
            Callback<ChangeSet> done) {
    if (is_cut) {
      Answer<ChangeSet>(done, Fail(StoreErrc::kUnavailable, "cut off"));
      return;
    }
    if (revision.era != store_->revision.era ||
        revision < store_->oldest_revision) {
      Answer<ChangeSet>(done, Fail(StoreErrc::kHistoryGone, "discarded"));
      return;
    }
    ChangeSet changes;
    changes.revision = store_->revision;
    const auto first = std::upper_bound(
        store_->history.begin(), store_->history.end(), revision,
        [](const StoreRevision& n, const SharedStore::Change& it) {
          return n < it.item.revision;
        });
    for (auto it = first; it != store_->history.end(); ++it)
      changes.events.push_back(it->item);
    if (!changes.events.empty() || EventLoop::Now() >= end) {
      Answer<ChangeSet>(done, std::move(changes));
      return;
    }
    After(kPollInterval, [this, revision, end, done = std::move(done)] {
      Poll(revision, end, done);
    });
  }

  EventLoop* loop_;
  SharedStore* store_;
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace rwf
