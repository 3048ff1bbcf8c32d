#include "gateway/relayed_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rwf {

RelayedStore::RelayedStore(EventLoop* loop, RevisionStore* store,
                           Callbacks callbacks)
    : loop_(loop), store_(store), callbacks_(std::move(callbacks)) {}

void RelayedStore::Watch(const std::string& prefix,
                         const StoreRevision& revision, Duration wait,
                         Callback<ChangeSet> done) {
  const TimePoint now = callbacks_.boot_now();
  const std::string relay = callbacks_.relay();
  if (relay.empty()) {
    const Duration own_wait =
        callbacks_.is_relay() ? std::min(wait, kWaitAsRelay) : wait;
    WatchStore(prefix, revision, own_wait, now, std::move(done));
    return;
  }
  if (revision < latest_read_revision_) {
    WatchStore(prefix, revision, kFallbackWait, now, std::move(done));
    return;
  }
  wire::ChangesRequestT request;
  request.id = next_id_++;
  request.era = revision.era;
  request.revision = revision.number;
  request.wait_ms = static_cast<uint32_t>(ToMillis(kRelayWait));
  if (!callbacks_.send(relay, request)) {
    ++counters_.fallbacks;
    WatchStore(prefix, revision, kFallbackWait, now, std::move(done));
    return;
  }
  pending_ = std::make_unique<Pending>(
      Pending{request.id, relay, prefix, revision, now, std::move(done)});
  timer_ = loop_->After(kRelayWait + kRelayTimeoutMargin,
                        [this] { FallBackToStore(); });
}

void RelayedStore::FallBackToStore() {
  timer_.reset();
  ++counters_.fallbacks;
  const std::unique_ptr<Pending> it = std::move(pending_);
  WatchStore(it->prefix, it->revision, kFallbackWait, it->requested_at,
             std::move(it->done));
}

void RelayedStore::OnReply(const std::string& vm,
                           const wire::ChangesReplyT& reply) {
  // A late reply is ignored: its request has already been sent to the store.
  if (pending_ == nullptr || pending_->id != reply.id || pending_->vm != vm)
    return;
  const Duration age = std::chrono::microseconds(reply.age_us);
  const uint64_t own_era = pending_->revision.era;
  const uint64_t era = reply.era.value_or(own_era);
  if (reply.is_store_lost || age > kMaxAge || era < own_era) {
    FallBackToStore();
    return;
  }
  timer_.reset();
  ++counters_.relayed;
  const std::unique_ptr<Pending> it = std::move(pending_);
  if (era != own_era) {
    it->done(Fail(StoreErrc::kHistoryGone,
                  fmt::format("{} has loaded era {} of the store, not {}", vm,
                              era, own_era)));
    return;
  }
  if (reply.is_history_gone) {
    it->done(Fail(StoreErrc::kHistoryGone,
                  vm + " no longer keeps the requested changes of the store"));
    return;
  }
  ChangeSet out;
  for (const auto& change : reply.changes) {
    out.events.push_back({change->key,
                          change->value,
                          {era, change->revision},
                          change->is_deleted});
  }
  // The other VM may be behind what this VM has loaded itself, and without
  // events its revision may have moved by changes that cancelled each other
  // out.
  out.revision =
      out.events.empty()
          ? it->revision
          : std::max(StoreRevision{era, reply.revision}, it->revision);
  out.has_gap = reply.has_gap;
  // The other VM received the request after it was made here, so this errs
  // towards an older time.
  out.current_after = std::chrono::microseconds(reply.held_us) - age;
  it->done(std::move(out));
}

void RelayedStore::WatchStore(const std::string& prefix,
                              const StoreRevision& revision, Duration wait,
                              TimePoint requested_at,
                              Callback<ChangeSet> done) {
  const TimePoint started_at = callbacks_.boot_now();
  Callback<ChangeSet> done_with_age = [this, wait, requested_at, started_at,
                                       done = std::move(done)](
                                          Result<ChangeSet> changes) {
    if (changes && !changes->current_after) {
      const bool waited_in_full =
          changes->events.empty() && callbacks_.boot_now() - started_at >= wait;
      changes->current_after = started_at - requested_at +
                               (waited_in_full ? wait : Duration::zero());
    }
    done(std::move(changes));
  };
  store_->Watch(prefix, revision, wait,
                RecordingFailures(std::move(done_with_age)));
}

template <typename T>
RevisionStore::Callback<T> RelayedStore::RecordingFailures(Callback<T> done) {
  return [this, done = std::move(done)](Result<T> result) {
    if (!result && result.error().code != StoreErrc::kHistoryGone &&
        result.error().code != StoreErrc::kConflict &&
        result.error().code != StoreErrc::kNotHeld) {
      has_failed_ = true;
      failed_at_ = callbacks_.boot_now();
    }
    done(std::move(result));
  };
}

void RelayedStore::Range(const std::string& prefix, const std::string& after,
                         Duration timeout, Callback<ItemPage> done) {
  store_->Range(prefix, after, timeout,
                RecordingFailures<ItemPage>(
                    [this, done = std::move(done)](Result<ItemPage> page) {
                      if (page) {
                        if (latest_read_revision_.era != page->revision.era)
                          latest_read_revision_ = {page->revision.era, 0};
                        for (const StoreItem& it : page->items)
                          latest_read_revision_ =
                              std::max(latest_read_revision_, it.revision);
                      }
                      done(std::move(page));
                    }));
}

void RelayedStore::Write(const ItemWrite& write, Callback<StoreRevision> done) {
  store_->Write(write, RecordingFailures(std::move(done)));
}

void RelayedStore::Grant(Duration ttl, Callback<GrantedLease> done) {
  store_->Grant(ttl, RecordingFailures(std::move(done)));
}

void RelayedStore::KeepAlive(uint64_t lease, Callback<bool> done) {
  store_->KeepAlive(lease, RecordingFailures(std::move(done)));
}

void RelayedStore::Release(uint64_t lease, Callback<bool> done) {
  store_->Release(lease, RecordingFailures(std::move(done)));
}

}  // namespace rwf
