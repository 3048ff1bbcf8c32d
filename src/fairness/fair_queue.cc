#include "fairness/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace rwf {
namespace {

// Period over which the recent rate of Pop is averaged.
constexpr Duration kRateWindow = std::chrono::milliseconds(500);

// Shorter periods are not enough to estimate a rate.
constexpr Duration kMinRateSample = std::chrono::milliseconds(50);

}  // namespace

FairQueue::FairQueue(int64_t queue_per_workspace)
    : limit_(queue_per_workspace) {}

void FairQueue::SetWeight(uint32_t workspace, int64_t weight) {
  flows_[workspace].weight = std::max<int64_t>(weight, 1);
}

void FairQueue::SetLimit(int64_t queue_per_workspace) {
  limit_ = queue_per_workspace;
}

size_t FairQueue::SizeOf(uint32_t workspace) const {
  const auto it = flows_.find(workspace);
  return it == flows_.end() ? 0 : it->second.ids.size();
}

TimePoint FairQueue::NextDeadline() const {
  return by_deadline_.empty() ? TimePoint::max() : by_deadline_.begin()->first;
}

Duration FairQueue::EstimatedWait(uint32_t workspace, TimePoint now) const {
  if (entries_.empty()) return Duration::zero();
  // Uses the rate of the current window once it is long enough, so that the
  // estimate follows a queue that slows down.
  double rate = served_per_second_;
  const Duration elapsed = now - window_start_;
  if (elapsed >= kRateWindow || (rate == 0 && elapsed >= kMinRateSample)) {
    rate = static_cast<double>(served_in_window_ + 1) / ToSeconds(elapsed);
  }
  if (rate <= 0) return Duration::zero();
  // Until the turn of this entry, each other workspace is served at most its
  // weight per round, and no more entries than it has queued.
  const auto self = flows_.find(workspace);
  const int64_t weight = self == flows_.end() ? 1 : self->second.weight;
  const auto own_queued =
      static_cast<int64_t>(self == flows_.end() ? 0 : self->second.ids.size());
  const int64_t rounds = own_queued / weight + 1;
  int64_t queued_before = own_queued;
  for (const auto& [id, flow] : flows_) {
    if (id == workspace) continue;
    queued_before +=
        std::min(static_cast<int64_t>(flow.ids.size()), rounds * flow.weight);
  }
  return FromSeconds(static_cast<double>(queued_before + 1) / rate);
}

PushResult FairQueue::Push(uint64_t id, uint32_t workspace, TimePoint deadline,
                           TimePoint now) {
  Flow& flow = flows_[workspace];
  if (static_cast<int64_t>(flow.ids.size()) >= limit_) return PushResult::kFull;
  if (deadline <= now || now + EstimatedWait(workspace, now) > deadline) {
    return PushResult::kWaitExceedsDeadline;
  }
  const bool inserted = entries_.emplace(id, Entry{workspace, deadline}).second;
  assert(inserted);
  if (!inserted) return PushResult::kFull;
  if (entries_.size() == 1) {
    window_start_ = now;
    served_in_window_ = 0;
  }
  by_deadline_.emplace(deadline, id);
  flow.ids.push_back(id);
  if (!flow.is_active) {
    flow.is_active = true;
    flow.deficit = 0;
    active_workspaces_.push_back(workspace);
  }
  return PushResult::kQueued;
}

void FairQueue::Erase(uint64_t id) {
  const auto it = entries_.find(id);
  assert(it != entries_.end());
  const auto [first, last] = by_deadline_.equal_range(it->second.deadline);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second != id) continue;
    by_deadline_.erase(entry);
    break;
  }
  entries_.erase(it);
}

bool FairQueue::Remove(uint64_t id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  std::erase(flows_[it->second.workspace].ids, id);
  Erase(id);
  return true;
}

std::vector<uint64_t> FairQueue::Expire(TimePoint now) {
  std::vector<uint64_t> out;
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    out.push_back(by_deadline_.begin()->second);
    Remove(out.back());
  }
  return out;
}

void FairQueue::CountServed(TimePoint now) {
  ++served_in_window_;
  const Duration elapsed = now - window_start_;
  if (elapsed < kRateWindow) return;
  served_per_second_ =
      static_cast<double>(served_in_window_) / ToSeconds(elapsed);
  window_start_ = now;
  served_in_window_ = 0;
}

std::optional<uint64_t> FairQueue::Pop(TimePoint now) {
  while (!active_workspaces_.empty()) {
    const uint32_t workspace = active_workspaces_.front();
    Flow& flow = flows_[workspace];
    // First entry that can still run. Entries past their deadline stay for
    // Expire.
    const auto it = std::find_if(
        flow.ids.begin(), flow.ids.end(),
        [&](uint64_t id) { return entries_.at(id).deadline > now; });
    if (it == flow.ids.end()) {
      active_workspaces_.pop_front();
      flow.is_active = false;
      continue;
    }
    if (flow.deficit <= 0) flow.deficit += flow.weight;
    const uint64_t id = *it;
    flow.ids.erase(it);
    Erase(id);
    --flow.deficit;
    if (flow.ids.empty()) {
      active_workspaces_.pop_front();
      flow.is_active = false;
      flow.deficit = 0;
    } else if (flow.deficit <= 0) {
      active_workspaces_.pop_front();
      active_workspaces_.push_back(workspace);
    }
    CountServed(now);
    return id;
  }
  return std::nullopt;
}

}  // namespace rwf
