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

void ChangeRelay::OnLoaded(uint64_t revision) {
  // Only the first reading comes without the changes that led to it.
  if (revision_ == 0) oldest_ = revision;
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

void ChangeRelay::OnConfirmed(uint64_t revision, TimePoint known_at,
                              TimePoint now) {
  revision_ = std::max(revision_, revision);
  known_at_ = std::max(known_at_, known_at);
  has_store_ = true;
  std::vector<Waiting> waiting = std::move(waiting_);
  waiting_.clear();
  for (const Waiting& it : waiting) {
    if (HasNews(it)) {
      Reply(it, now);
    } else {
      waiting_.push_back(it);
    }
  }
}

void ChangeRelay::OnLost(TimePoint now) {
  has_store_ = false;
  const std::vector<Waiting> waiting = std::move(waiting_);
  waiting_.clear();
  for (const Waiting& it : waiting) Reply(it, now);
}

void ChangeRelay::OnRequest(const std::string& vm,
                            const wire::ChangesRequestT& request,
                            TimePoint now) {
  const Waiting it{vm, request.id, request.revision, now,
                   now + std::chrono::milliseconds(request.wait_ms)};
  if (!has_store_ || it.revision < oldest_ || HasNews(it)) {
    Reply(it, now);
    return;
  }
  // A VM waits for one answer at a time.
  std::erase_if(waiting_, [&](const Waiting& old) { return old.vm == vm; });
  waiting_.push_back(it);
}

void ChangeRelay::Tick(TimePoint now) {
  std::vector<Waiting> waiting = std::move(waiting_);
  waiting_.clear();
  for (const Waiting& it : waiting) {
    if (now >= it.until) {
      Reply(it, now);
    } else {
      waiting_.push_back(it);
    }
  }
  while (!changes_.empty()) {
    const auto first = changes_.begin();
    const bool is_old = std::all_of(
        first->second.begin(), first->second.end(),
        [&](const Change& it) { return now - it.heard_at > kKeep; });
    if (!is_old) return;
    for (const Change& it : first->second) revision_of_.erase(it.item.key);
    oldest_ = std::max(oldest_, first->first);
    changes_.erase(first);
  }
}

bool ChangeRelay::HasNews(const Waiting& it) const {
  return changes_.upper_bound(it.revision) != changes_.end();
}

void ChangeRelay::Reply(const Waiting& it, TimePoint now) {
  wire::ChangesReplyT reply;
  reply.id = it.id;
  reply.revision = revision_;
  reply.is_store_lost = !has_store_;
  reply.is_history_gone = it.revision < oldest_;
  reply.held_us = ToMicros(now - it.asked_at);
  reply.age_us = ToMicros(now - known_at_);
  if (has_store_ && !reply.is_history_gone) {
    for (auto at = changes_.upper_bound(it.revision); at != changes_.end();
         ++at) {
      for (const Change& change : at->second) {
        auto out = std::make_unique<wire::StoreChangeT>();
        out->key = change.item.key;
        out->value = change.item.value;
        out->revision = change.item.revision;
        out->is_deleted = change.item.is_deleted;
        reply.changes.push_back(std::move(out));
      }
    }
  }
  signal_reply.emit(it.vm, reply);
}

}  // namespace rwf
