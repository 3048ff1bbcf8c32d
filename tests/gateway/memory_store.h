#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// An in-memory store that completes calls from the loop and can be made
// unavailable.
class MemoryStore : public RevisionStore {
 public:
  explicit MemoryStore(EventLoop* loop) : loop_(loop) {}

  void Put(const std::string& key, const std::string& value) {
    items_[key] = {key, value, Next(), false};
    Notify(items_[key]);
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) == 0) return;
    Notify({key, "", Next(), true});
  }
  const StoreRevision& revision() const { return revision_; }
  bool Has(const std::string& key) const { return items_.contains(key); }
  // Returns an empty string if there is no such item.
  std::string Get(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? "" : it->second.value;
  }
  struct Copy {
    std::map<std::string, StoreItem> items;
    uint64_t number = 0;
  };
  Copy MakeCopy() const { return {items_, revision_.number}; }
  // Returns to an older copy in a new era, and ends all watches.
  void Restore(const Copy& copy) {
    items_ = copy.items;
    revision_ = {revision_.era + 1, copy.number};
    events_.clear();
    oldest_number_ = copy.number;
    for (auto& [key, it] : items_) it.revision.era = revision_.era;
    for (auto& it : std::exchange(watches_, {}))
      it.done(Fail(StoreErrc::kUnavailable, "connection closed"));
  }
  void SetDown(bool is_down) {
    is_down_ = is_down;
    if (!is_down) return;
    for (auto& it : std::exchange(watches_, {}))
      it.done(Fail(StoreErrc::kUnavailable, "away"));
  }

  void Range(const std::string&, const std::string&, Duration,
             Callback<ItemPage> done) override {
    ItemPage page;
    page.revision = revision_;
    for (const auto& [key, it] : items_) page.items.push_back(it);
    Complete<ItemPage>(std::move(done), std::move(page));
  }
  void Watch(const std::string&, const StoreRevision& revision, Duration wait,
             Callback<ChangeSet> done) override {
    if (is_down_) {
      Complete<ChangeSet>(std::move(done), ChangeSet{});
      return;
    }
    if (revision.era != revision_.era || revision.number < oldest_number_) {
      loop_->Post([done = std::move(done)] {
        done(Fail(StoreErrc::kHistoryGone, "history gone"));
      });
      return;
    }
    ChangeSet found;
    found.revision = revision_;
    for (const StoreItem& it : events_) {
      if (it.revision > revision) found.events.push_back(it);
    }
    if (!found.events.empty()) {
      Complete<ChangeSet>(std::move(done), std::move(found));
      return;
    }
    watches_.push_back({std::move(done), nullptr});
    const size_t id = ++next_watch_;
    watches_.back().id = id;
    watches_.back().timer = loop_->After(wait, [this, id] { ExpireWatch(id); });
  }
  void Write(const ItemWrite& write, Callback<StoreRevision> done) override {
    if (is_down_) {
      Complete<StoreRevision>(std::move(done), StoreRevision{revision_});
      return;
    }
    const auto it = items_.find(write.key);
    const StoreRevision present =
        it == items_.end() ? StoreRevision{} : it->second.revision;
    if (write.is_conditional && present != write.expected_revision) {
      loop_->Post([done = std::move(done)] {
        done(Fail(StoreErrc::kConflict, "another revision"));
      });
      return;
    }
    Put(write.key, write.value);
    Complete<StoreRevision>(std::move(done), StoreRevision{revision_});
  }
  void Grant(Duration ttl, Callback<GrantedLease> done) override {
    Complete<GrantedLease>(std::move(done), GrantedLease{7, ttl});
  }
  void KeepAlive(uint64_t, Callback<bool> done) override {
    Complete<bool>(std::move(done), true);
  }
  void Release(uint64_t, Callback<bool> done) override {
    Complete<bool>(std::move(done), true);
  }

 private:
  StoreRevision Next() {
    return revision_ = {revision_.era, revision_.number + 1};
  }
  struct PendingWatch {
    Callback<ChangeSet> done;
    std::unique_ptr<Timer> timer;
    size_t id = 0;
  };
  template <typename T>
  void Complete(Callback<T> done, T value) {
    loop_->Post(
        [done = std::move(done), value = std::move(value), is_down = is_down_] {
          if (is_down) {
            done(Fail(StoreErrc::kUnavailable, "away"));
          } else {
            done(value);
          }
        });
  }
  void ExpireWatch(size_t id) {
    for (size_t n = 0; n < watches_.size(); ++n) {
      if (watches_[n].id != id) continue;
      const PendingWatch it = std::move(watches_[n]);
      watches_.erase(watches_.begin() + static_cast<ptrdiff_t>(n));
      it.done(ChangeSet{{}, revision_, std::nullopt});
      return;
    }
  }
  void Notify(const StoreItem& change) {
    events_.push_back(change);
    for (const PendingWatch& it : std::exchange(watches_, {}))
      it.done(ChangeSet{{change}, revision_, std::nullopt});
  }

  EventLoop* loop_;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> events_;
  std::vector<PendingWatch> watches_;
  StoreRevision revision_{0, 1};
  uint64_t oldest_number_ = 0;
  size_t next_watch_ = 0;
  bool is_down_ = false;
};

}  // namespace rwf
