#include "gateway/change_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rwf {
namespace {

uint64_t ToMicros(Duration d) {
  return static_cast<uint64_t>(std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(d).count()));
}

}  // namespace

void ChangeRelay::Follow(StoreWatch* watch,
                         const std::function<TimePoint()>& boot_now) {
  watch->signal_change.connect(
      [this, boot_now](const StoreItem& it) { OnChange(it, boot_now()); });
  watch->signal_new_era.connect(
      [this, boot_now](const StoreRevision&, const StoreRevision& first) {
        OnNewEra(first.era, boot_now());
      });
  watch->signal_gap.connect([this](const StoreRevision& it) { OnGap(it); });
  watch->signal_loaded.connect([this, watch] { OnLoaded(watch->revision()); });
  watch->signal_confirmed.connect([this, watch, boot_now](TimePoint t) {
    OnConfirmed(watch->revision(), t, boot_now());
  });
  watch->signal_connection.connect(
      [this, boot_now](bool connected, const std::string&) {
        if (!connected) OnLost(boot_now());
      });
}

void ChangeRelay::OnNewEra(uint64_t era, TimePoint now) {
  OnLost(now);
  changes_.clear();
  revision_of_.clear();
  gaps_.clear();
  revision_ = watched_revision_ = oldest_revision_ = {era, 0};
}

void ChangeRelay::OnLoaded(const StoreRevision& revision) {
  is_confirming_load_ = true;
  OnGap(revision);
}

void ChangeRelay::OnGap(const StoreRevision& revision) {
  if (revision <= revision_) return;
  gaps_.push_back({watched_revision_, revision});
  if (gaps_.size() <= kMaxGaps) return;
  gaps_[1].after = gaps_[0].after;
  gaps_.erase(gaps_.begin());
}

void ChangeRelay::OnChange(const StoreItem& change, TimePoint now) {
  const auto known = revision_of_.find(change.key);
  if (known != revision_of_.end()) {
    std::vector<Change>& list = changes_[known->second];
    std::erase_if(list,
                  [&](const Change& it) { return it.item.key == change.key; });
    if (list.empty()) changes_.erase(known->second);
  }
  revision_of_[change.key] = change.revision;
  changes_[change.revision].push_back({change, now});
}

void ChangeRelay::OnConfirmed(const StoreRevision& revision,
                              TimePoint confirmed_at, TimePoint now) {
  revision_ = std::max(revision_, revision);
  if (!std::exchange(is_confirming_load_, false)) watched_revision_ = revision_;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  is_store_connected_ = true;
  std::vector<PendingRequest> pending = std::move(pending_);
  pending_.clear();
  for (const PendingRequest& it : pending) {
    if (IsHistoryGone(it) || HasChanges(it)) {
      Reply(it, now);
    } else {
      pending_.push_back(it);
    }
  }
}

void ChangeRelay::OnLost(TimePoint now) {
  is_store_connected_ = false;
  const std::vector<PendingRequest> pending = std::move(pending_);
  pending_.clear();
  for (const PendingRequest& it : pending) Reply(it, now);
}

void ChangeRelay::OnRequest(const std::string& vm,
                            const wire::ChangesRequestT& request,
                            TimePoint now) {
  const StoreRevision revision{request.era.value_or(revision_.era),
                               request.revision};
  const PendingRequest it{vm, request.id, revision, now,
                          now + std::chrono::milliseconds(request.wait_ms)};
  if (!is_store_connected_ || IsHistoryGone(it) || HasChanges(it)) {
    Reply(it, now);
    return;
  }
  // Each VM waits for one reply at a time.
  std::erase_if(pending_, [&](const PendingRequest& previous) {
    return previous.vm == vm;
  });
  pending_.push_back(it);
}

void ChangeRelay::Tick(TimePoint now) {
  std::vector<PendingRequest> pending = std::move(pending_);
  pending_.clear();
  for (const PendingRequest& it : pending) {
    if (now >= it.expires_at) {
      Reply(it, now);
    } else {
      pending_.push_back(it);
    }
  }
  while (!changes_.empty()) {
    const auto first = changes_.begin();
    const bool is_expired = std::all_of(
        first->second.begin(), first->second.end(),
        [&](const Change& it) { return now - it.received_at > kRetention; });
    if (!is_expired) return;
    for (const Change& it : first->second) revision_of_.erase(it.item.key);
    oldest_revision_ = std::max(oldest_revision_, first->first);
    changes_.erase(first);
  }
}

bool ChangeRelay::IsHistoryGone(const PendingRequest& it) const {
  return it.revision.era != revision_.era || it.revision < oldest_revision_ ||
         std::any_of(gaps_.begin(), gaps_.end(), [&](const Gap& gap) {
           return it.revision > gap.after && it.revision < gap.before;
         });
}

bool ChangeRelay::HasGapSince(const StoreRevision& revision) const {
  return std::any_of(gaps_.begin(), gaps_.end(),
                     [&](const Gap& gap) { return gap.before > revision; });
}

bool ChangeRelay::HasChanges(const PendingRequest& it) const {
  return changes_.upper_bound(it.revision) != changes_.end();
}

void ChangeRelay::Reply(const PendingRequest& it, TimePoint now) {
  wire::ChangesReplyT reply;
  reply.id = it.id;
  reply.era = revision_.era;
  reply.revision = revision_.number;
  reply.is_store_lost = !is_store_connected_;
  reply.is_history_gone = IsHistoryGone(it);
  reply.has_gap = HasGapSince(it.revision);
  reply.held_us = ToMicros(now - it.requested_at);
  reply.age_us = ToMicros(now - confirmed_at_);
  if (is_store_connected_ && !reply.is_history_gone) {
    for (auto entry = changes_.upper_bound(it.revision);
         entry != changes_.end(); ++entry) {
      for (const Change& change : entry->second) {
        auto out = std::make_unique<wire::StoreChangeT>();
        out->key = change.item.key;
        out->value = change.item.value;
        out->revision = change.item.revision.number;
        out->is_deleted = change.item.is_deleted;
        reply.changes.push_back(std::move(out));
      }
    }
  }
  signal_reply.emit(it.vm, reply);
}

}  // namespace rwf
