#include "traffic/empty_limits.h"

#include <algorithm>
#include <utility>

namespace rwf {

bool EmptyLimits::Contains(const std::string& name,
                           const std::string& keeper) const {
  const auto it = limits_.find(name);
  return it != limits_.end() && it->second.keeper == keeper;
}

bool EmptyLimits::TryTake(const std::string& name) {
  Limit& limit = limits_.at(name);
  if (limit.tokens > 0) {
    --limit.tokens;
    return true;
  }
  limit.refused = std::min(limit.refused + 1, kMaxWanted);
  return false;
}

void EmptyLimits::OnRefused(const std::string& name, const std::string& keeper,
                            Duration pause, TimePoint now) {
  const auto [it, is_new] = limits_.try_emplace(name);
  Limit& limit = it->second;
  // Refusals of requests that were sent before the limit was known to be empty.
  if (!is_new && limit.keeper == keeper) return;
  limit = Limit{};
  limit.keeper = keeper;
  limit.ask_at = now + std::clamp(pause, kMinPause, kMaxPause);
}

bool EmptyLimits::OnGranted(const std::string& name, uint64_t id,
                            uint32_t granted, Duration pause, TimePoint now) {
  const auto it = limits_.find(name);
  if (it == limits_.end()) return false;
  Limit& limit = it->second;
  if (limit.wanted == 0 || limit.request_id != id) return false;
  limit.tokens += granted;
  limit.tokens_end = now + kTokenLifetime;
  const bool is_enough = granted >= limit.wanted;
  limit.wanted = 0;
  limit.ask_at =
      now + (is_enough ? kMinPause : std::clamp(pause, kMinPause, kMaxPause));
  return true;
}

std::vector<EmptyLimits::Request> EmptyLimits::TakeRequests(TimePoint now) {
  std::vector<Request> out;
  std::vector<std::string> ended;
  for (auto& [name, it] : limits_) {
    if (it.wanted > 0) {
      if (now - it.requested_at >= kReplyTimeout) ended.push_back(name);
      continue;
    }
    if (now < it.ask_at) continue;
    if (it.refused == 0) {
      // The demand has ended, or the granted tokens suffice.
      if (it.tokens == 0) ended.push_back(name);
      continue;
    }
    it.wanted = std::exchange(it.refused, 0);
    it.requested_at = now;
    out.push_back({name, it.keeper, it.wanted});
  }
  for (const std::string& it : ended) limits_.erase(it);
  return out;
}

void EmptyLimits::OnSent(const std::string& name, uint64_t id) {
  const auto it = limits_.find(name);
  if (it != limits_.end()) it->second.request_id = id;
}

std::vector<EmptyLimits::Unused> EmptyLimits::TakeUnused(TimePoint now) {
  std::vector<Unused> out;
  for (auto& [name, it] : limits_) {
    if (it.tokens == 0 || now < it.tokens_end) continue;
    out.push_back({name, std::exchange(it.tokens, 0)});
  }
  return out;
}

}  // namespace rwf
