#include "gateway/store_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace rwf {

StoreWatch::StoreWatch(EventLoop* loop, RevisionStore* store,
                       std::function<TimePoint()> boot_now)
    : loop_(loop), store_(store), boot_now_(std::move(boot_now)) {}

void StoreWatch::Start() {
  loading_keys_.clear();
  load_revision_.reset();
  Load("");
}

void StoreWatch::Load(const std::string& after) {
  requested_at_ = boot_now_();
  if (after.empty()) load_requested_at_ = requested_at_;
  const bool is_probe = failures_ % kAttemptsPerFullTimeout != 0;
  store_->Range("", after, is_probe ? kProbeTimeout : kLoadTimeout,
                [this](Result<ItemPage> page) { OnPage(std::move(page)); });
}

void StoreWatch::OnPage(Result<ItemPage> page) {
  if (!page) {
    HandleFailure(page.error());
    return;
  }
  RecordSuccess();
  const uint64_t era = page->revision.era;
  if (era_ && era != *era_) BeginEra(page->revision);
  era_ = era;
  if (load_revision_ && era != load_revision_->era) {
    Reload("the store began a new era during the load");
    return;
  }
  // The pages are not a snapshot: changes after the first page are left to the
  // watch.
  if (!load_revision_) load_revision_ = page->revision;
  for (const StoreItem& it : page->items) {
    loading_keys_.insert(it.key);
    Deliver(it);
  }
  if (page->has_more && !page->items.empty()) {
    Load(page->items.back().key);
    return;
  }
  FinishLoad();
}

void StoreWatch::BeginEra(const StoreRevision& first) {
  for (auto& [key, it] : known_keys_) it.is_of_former_era = true;
  era_begin_ = first;
  signal_new_era.emit(revision_, first);
}

void StoreWatch::Reload(const std::string& reason) {
  needs_load_ = true;
  signal_reload.emit(reason);
  Start();
}

void StoreWatch::FinishLoad() {
  std::vector<std::string> removed;
  for (const auto& [key, it] : known_keys_) {
    // A key that was written during the load may be missing from the pages.
    const bool may_be_later =
        !it.is_of_former_era && it.revision > *load_revision_;
    if (!loading_keys_.contains(key) && !may_be_later) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    known_keys_.erase(key);
    signal_change.emit({key, "", *load_revision_, true});
    signal_removed.emit(key);
  }
  loading_keys_.clear();
  revision_ = *load_revision_;
  needs_load_ = false;
  is_loaded_ = true;
  ++loads_;
  signal_loaded.emit();
  signal_confirmed.emit(load_requested_at_);
  Watch();
}

void StoreWatch::Watch() {
  requested_at_ = boot_now_();
  store_->Watch("", revision_, kWatchWait, [this](Result<ChangeSet> changes) {
    OnChanges(std::move(changes));
  });
}

void StoreWatch::OnChanges(Result<ChangeSet> changes) {
  if (!changes) {
    if (changes.error().code == StoreErrc::kHistoryGone) {
      RecordSuccess();
      Reload(changes.error().message);
      return;
    }
    HandleFailure(changes.error());
    return;
  }
  RecordSuccess();
  for (const StoreItem& it : changes->events) Deliver(it);
  // The watch covers all keys, so a higher revision without events means that
  // changes were missed.
  if (changes->events.empty() && changes->revision > revision_) {
    Reload(fmt::format("revision {} of the store without changes since {}",
                       changes->revision.number, revision_.number));
    return;
  }
  if (changes->has_gap && changes->revision > revision_)
    signal_gap.emit(changes->revision);
  revision_ = std::max(revision_, changes->revision);
  const TimePoint now = boot_now_();
  const bool is_empty = changes->events.empty();
  const bool waited_in_full = is_empty && now - requested_at_ >= kWatchWait;
  const Duration current_after = changes->current_after.value_or(
      waited_in_full ? kWatchWait : Duration::zero());
  signal_confirmed.emit(requested_at_ + current_after);
  if (is_empty && now - requested_at_ >= kBatchDelay) {
    Watch();
  } else {
    retry_timer_ = loop_->After(kBatchDelay, [this] { Watch(); });
  }
}

void StoreWatch::Deliver(const StoreItem& item) {
  const auto it = known_keys_.find(item.key);
  const bool is_known = it != known_keys_.end();
  const bool is_of_former_era = is_known && it->second.is_of_former_era;
  if (is_known && !is_of_former_era && item.revision <= it->second.revision)
    return;
  signal_change.emit(item);
  if (item.is_deleted) {
    if (!is_known) return;
    known_keys_.erase(it);
    signal_removed.emit(item.key);
    return;
  }
  const KnownKey present{item.revision, Hash64(item.value), false};
  // A value that the store still holds in a new era is not a new write: times
  // in it count from the write.
  const bool is_still_held =
      is_of_former_era && it->second.value_hash == present.value_hash;
  known_keys_[item.key] = present;
  if (!is_still_held) signal_item.emit(item);
}

void StoreWatch::RecordSuccess() {
  last_success_ = EventLoop::Now();
  backoff_ = kInitialBackoff;
  if (failures_ > 0 && last_success_ - failing_since_ > kMinOutage) {
    outage_begin_ = failing_since_;
    outage_end_ = last_success_;
  }
  failures_ = 0;
  if (is_connected_) return;
  is_connected_ = true;
  has_signaled_connection_ = true;
  signal_connection.emit(true, "");
}

void StoreWatch::HandleFailure(const Error& error) {
  last_failure_ = EventLoop::Now();
  if (++failures_ == 1) failing_since_ = last_failure_;
  // Missed changes are recovered by a full load; also, a range call is answered
  // at once where a watch would wait.
  needs_load_ = true;
  if (is_connected_ || !has_signaled_connection_) {
    is_connected_ = false;
    has_signaled_connection_ = true;
    signal_connection.emit(false, error.message);
  }
  ScheduleRetry();
}

void StoreWatch::ScheduleRetry() {
  retry_timer_ = loop_->After(backoff_, [this] {
    if (needs_load_) {
      Start();
    } else {
      Watch();
    }
  });
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

}  // namespace rwf
