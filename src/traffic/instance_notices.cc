#include "traffic/instance_notices.h"

#include <algorithm>

namespace rwf {

InstanceNotices::InstanceNotices() {
  FleetLimiter::Policy policy;
  policy.has_free_admission = false;
  policy.counts_first_report = true;
  policy.omits_idle = true;
  policy.min_demand_change = kMinDemandChange;
  policy.demand_window = kDemandWindow;
  limiter_.SetPolicy(policy);
}

bool InstanceNotices::Update(const std::string& id, int64_t started_ms,
                             const InstanceNotice& notice, TimePoint heard_at,
                             TimePoint now) {
  const auto found = states_.find(id);
  if (found == states_.end() && notice == InstanceNotice{}) return false;
  State& state = states_[id];
  if (started_ms < state.started_ms) return false;
  if (started_ms > state.started_ms) {
    limiter_.RemoveLimit(id);
    state = State{};
    state.started_ms = started_ms;
  }
  // A process that leaves does not come back, however old the notice is.
  const bool is_leaving = state.notice.is_leaving || notice.is_leaving;
  const bool is_leaving_news = is_leaving != state.notice.is_leaving;
  state.notice.is_leaving = is_leaving;
  if (heard_at < state.heard_at) return is_leaving_news;
  state.heard_at = heard_at;
  if (notice.rate_limit == state.notice.rate_limit) return is_leaving_news;
  state.notice.rate_limit = notice.rate_limit;
  if (notice.rate_limit) {
    const double rate = std::max(kMinRate, *notice.rate_limit);
    limiter_.SetLimit(id, rate, rate * ToSeconds(kBurst), now);
  } else {
    limiter_.RemoveLimit(id);
  }
  return true;
}

bool InstanceNotices::OnResponse(const InstanceInfo& instance,
                                 const InstanceNotice& notice, TimePoint now) {
  const bool is_news =
      Update(instance.id, instance.started_ms, notice, now, now);
  const auto it = states_.find(instance.id);
  if (it == states_.end()) return false;
  State& state = it->second;
  if (state.started_ms != instance.started_ms) return false;
  state.is_changed = state.is_changed || is_news;
  if (!notice.wait) {
    // A response to an earlier request does not end a wait.
    if (now >= state.wait_until) state.needs_test = false;
    return is_news;
  }
  const TimePoint until = now + *notice.wait;
  const bool is_longer = until > state.wait_until;
  const bool was_waiting = now < state.wait_until;
  if (is_longer) state.wait_until = until;
  state.needs_test = true;
  return is_news || (is_longer && !was_waiting);
}

bool InstanceNotices::OnShared(const SharedNotice& shared, TimePoint now) {
  return Update(shared.instance, shared.started_ms, shared.notice,
                now - std::max(shared.age, Duration::zero()), now);
}

std::vector<SharedNotice> InstanceNotices::Share(bool all, TimePoint now) {
  std::vector<SharedNotice> out;
  for (auto& [id, it] : states_) {
    if (!all && !it.is_changed) continue;
    // A notice for one new peer is still news to the others.
    if (!all) it.is_changed = false;
    out.push_back({id, it.started_ms, it.notice, now - it.heard_at});
  }
  return out;
}

const InstanceNotices::State* InstanceNotices::Find(
    const InstanceInfo& instance) const {
  const auto it = states_.find(instance.id);
  const bool is_known =
      it != states_.end() && it->second.started_ms == instance.started_ms;
  return is_known ? &it->second : nullptr;
}

std::optional<double> InstanceNotices::RateLimit(
    const InstanceInfo& instance) const {
  const State* state = Find(instance);
  return state == nullptr ? std::nullopt : state->notice.rate_limit;
}

InstanceAvailability InstanceNotices::AvailabilityOf(
    const InstanceInfo& instance, TimePoint now) {
  const State* state = Find(instance);
  if (state == nullptr) return InstanceAvailability::kOpen;
  if (state->notice.is_leaving) return InstanceAvailability::kLeaving;
  const bool is_tested =
      state->needs_test && now - state->tested_at < kTestTimeout;
  if (now < state->wait_until || is_tested)
    return InstanceAvailability::kWaiting;
  return limiter_.HasToken(instance.id, now) ? InstanceAvailability::kOpen
                                             : InstanceAvailability::kLimited;
}

bool InstanceNotices::IsLeaving(const InstanceInfo& instance) const {
  const State* state = Find(instance);
  return state != nullptr && state->notice.is_leaving;
}

Duration InstanceNotices::TimeUntilOpen(const InstanceInfo& instance,
                                        TimePoint now) {
  const State* state = Find(instance);
  if (state == nullptr) return Duration::zero();
  if (state->notice.is_leaving) return Duration::max();
  Duration out = std::max(Duration::zero(), state->wait_until - now);
  if (state->needs_test)
    out = std::max(out, state->tested_at + kTestTimeout - now);
  return std::max(out, limiter_.TimeUntilToken(instance.id, now));
}

void InstanceNotices::OnSent(const InstanceInfo& instance, TimePoint now) {
  if (Find(instance) == nullptr) return;
  states_[instance.id].tested_at = now;
  limiter_.TryAdmit(instance.id, now);
}

void InstanceNotices::OnDeclined(const InstanceInfo& instance, TimePoint now) {
  if (Find(instance) != nullptr) limiter_.OnDeclined(instance.id, now);
}

void InstanceNotices::Forget(const std::string& instance) {
  states_.erase(instance);
  limiter_.RemoveLimit(instance);
}

bool InstanceNotices::IsExpired(const State& state, TimePoint now) {
  if (now < state.wait_until) return false;
  const Duration retention =
      state.notice.is_leaving ? kLeavingRetention : kRetention;
  return now - state.heard_at > retention;
}

void InstanceNotices::RemoveExpired(TimePoint now) {
  std::erase_if(states_, [&](const auto& it) {
    const bool is_expired = IsExpired(it.second, now);
    if (is_expired) limiter_.RemoveLimit(it.first);
    return is_expired;
  });
}

size_t InstanceNotices::limited() const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& it) { return it.second.notice.rate_limit.has_value(); }));
}

size_t InstanceNotices::leaving() const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& it) { return it.second.notice.is_leaving; }));
}

size_t InstanceNotices::waiting(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [&](const auto& it) { return now < it.second.wait_until; }));
}

}  // namespace rwf
