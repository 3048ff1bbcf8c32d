#include "gateway/store_watch.h"

#include <algorithm>
#include <vector>

namespace rwf {

StoreWatch::StoreWatch(EventLoop* loop, RevisionStore* store,
                       std::function<TimePoint()> boot_now)
    : loop_(loop), store_(store), boot_now_(std::move(boot_now)) {}

void StoreWatch::Start() {
  loading_.clear();
  load_revision_ = 0;
  Load("");
}

void StoreWatch::Load(const std::string& after) {
  asked_at_ = boot_now_();
  if (after.empty()) load_asked_at_ = asked_at_;
  const bool is_probe = failures_ % kProbesPerLoad != 0;
  store_->Range("", after, is_probe ? kProbeTimeout : kLoadTimeout,
                [this](Result<ItemPage> page) { OnPage(std::move(page)); });
}

void StoreWatch::OnPage(Result<ItemPage> page) {
  if (!page) {
    Fail(page.error());
    return;
  }
  NoteAnswer();
  // Pages are no snapshot: changes after the first one are watched for.
  if (load_revision_ == 0) load_revision_ = page->revision;
  for (const StoreItem& it : page->items) {
    loading_[it.key] = it.revision;
    Deliver(it);
  }
  if (page->has_more && !page->items.empty()) {
    Load(page->items.back().key);
    return;
  }
  FinishLoad();
}

void StoreWatch::FinishLoad() {
  std::vector<std::string> gone;
  for (const auto& [key, revision] : known_) {
    // A key that was written while pages were read may be on a later page only.
    if (!loading_.contains(key) && revision <= load_revision_)
      gone.push_back(key);
  }
  for (const std::string& key : gone) {
    known_.erase(key);
    signal_change.emit({key, "", load_revision_, true});
    signal_removed.emit(key);
  }
  loading_.clear();
  revision_ = load_revision_;
  needs_load_ = false;
  is_loaded_ = true;
  signal_confirmed.emit(load_asked_at_);
  signal_loaded.emit();
  Watch();
}

void StoreWatch::Watch() {
  asked_at_ = boot_now_();
  store_->Watch("", revision_, kWait, [this](Result<ChangeSet> changes) {
    OnChanges(std::move(changes));
  });
}

void StoreWatch::OnChanges(Result<ChangeSet> changes) {
  if (!changes) {
    if (changes.error().code == StoreErrc::kHistoryGone) {
      NoteAnswer();
      needs_load_ = true;
      Start();
      return;
    }
    Fail(changes.error());
    return;
  }
  NoteAnswer();
  for (const StoreItem& it : changes->events) Deliver(it);
  // Every change is an event here, so a revision that moves without events
  // means that some were missed.
  if (changes->events.empty() && changes->revision > revision_) {
    needs_load_ = true;
    Start();
    return;
  }
  revision_ = std::max(revision_, changes->revision);
  const TimePoint now = boot_now_();
  const bool is_empty = changes->events.empty();
  const bool waited_in_full = is_empty && now - asked_at_ >= kWait;
  const Duration current_after = changes->current_after.value_or(
      waited_in_full ? kWait : Duration::zero());
  signal_confirmed.emit(asked_at_ + current_after);
  if (is_empty && now - asked_at_ >= kGather) {
    Watch();
  } else {
    retry_timer_ = loop_->After(kGather, [this] { Watch(); });
  }
}

void StoreWatch::Deliver(const StoreItem& item) {
  const auto it = known_.find(item.key);
  if (it != known_.end() && item.revision <= it->second) return;
  signal_change.emit(item);
  if (item.is_deleted) {
    if (it == known_.end()) return;
    known_.erase(it);
    signal_removed.emit(item.key);
    return;
  }
  known_[item.key] = item.revision;
  signal_item.emit(item);
}

void StoreWatch::NoteAnswer() {
  last_answer_ = EventLoop::Now();
  backoff_ = kFirstBackoff;
  if (failures_ > 0 && last_answer_ - failing_since_ > kOutage) {
    outage_begin_ = failing_since_;
    outage_end_ = last_answer_;
  }
  failures_ = 0;
  if (is_connected_) return;
  is_connected_ = true;
  has_told_ = true;
  signal_connection.emit(true, "");
}

void StoreWatch::Fail(const Error& error) {
  last_failure_ = EventLoop::Now();
  if (++failures_ == 1) failing_since_ = last_failure_;
  // What was missed meanwhile is read as a whole, and a range is answered at
  // once where a watch would wait.
  needs_load_ = true;
  if (is_connected_ || !has_told_) {
    is_connected_ = false;
    has_told_ = true;
    signal_connection.emit(false, error.message);
  }
  RetryLater();
}

void StoreWatch::RetryLater() {
  retry_timer_ = loop_->After(backoff_, [this] {
    if (needs_load_) {
      Start();
    } else {
      Watch();
    }
  });
  backoff_ = std::min(backoff_ * 2, kLongestBackoff);
}

}  // namespace rwf
