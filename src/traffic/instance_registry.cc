#include "traffic/instance_registry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace rwf {
namespace {

double Decayed(double value, Duration age, Duration half_life) {
  if (age <= Duration::zero()) return value;
  return value * std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

}  // namespace

const char* AttemptOutcomeName(AttemptOutcome outcome) {
  static constexpr std::array<const char*, 9> kNames = {
      "succeeded", "connect-failed", "shed",      "declined", "misdirected",
      "broken",    "instance-error", "timed-out", "cancelled"};
  return kNames[static_cast<size_t>(outcome)];
}

std::string ProcessName(const std::string& instance, int64_t started_ms) {
  return instance + "@" + std::to_string(started_ms);
}

void InstanceState::OnSent(uint64_t attempt, uint64_t object, Duration expected,
                           TimePoint now) {
  attempts_[attempt] = {now, std::max(expected, kMinExpectedLatency), object,
                        std::exchange(planned_run_, {})};
}

void InstanceState::OnEnded(uint64_t attempt, AttemptOutcome outcome,
                            TimePoint now) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const Attempt ended = it->second;
  attempts_.erase(it);
  switch (outcome) {
    case AttemptOutcome::kSucceeded: {
      const double ratio =
          ToSeconds(now - ended.at) / ToSeconds(ended.expected);
      const double before = SlownessAt(now);
      slowness_ = std::max(1.0, before + 0.3 * (ratio - before));
      slowness_at_ = now;
      failures_in_row_ = 0;
      failure_ratio_ -= kFailureWeight * failure_ratio_;
      // An instance that fails every other request also succeeds in between, so
      // a single success does not reset the ejection time.
      if (failure_ratio_ < kHealthyFailureRatio)
        next_ejection_ = kInitialEjection;
      has_succeeded_ = true;
      if (ended.object != 0) MarkWarm(ended.object, now);
      return;
    }
    case AttemptOutcome::kShed:
      shed_until_ = now + kShedBackoff;
      // A rejection below capacity indicates a fault rather than overload.
      if (LoadAt(now) < static_cast<double>(info_.slots))
        CountFailure(now, /*ejects_at_once=*/false);
      return;
    case AttemptOutcome::kDeclined:
      shed_until_ = now + kShedBackoff;
      return;
    case AttemptOutcome::kMisdirected:
      is_replaced_ = true;
      return;
    case AttemptOutcome::kConnectFailed:
      CountFailure(now, /*ejects_at_once=*/true);
      return;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kInstanceError:
    case AttemptOutcome::kTimedOut:
      CountFailure(now, /*ejects_at_once=*/false);
      return;
    case AttemptOutcome::kCancelled:
      return;
  }
}

void InstanceState::CountFailure(TimePoint now, bool ejects_at_once) {
  ++failures_in_row_;
  failure_ratio_ += kFailureWeight * (1 - failure_ratio_);
  if (!ejects_at_once && failures_in_row_ < kFailuresToEject &&
      failure_ratio_ < kMaxFailureRatio)
    return;
  if (now < ejected_until_) {
    if (ejects_at_once) unreachable_until_ = ejected_until_;
    return;
  }
  ejected_until_ = now + next_ejection_;
  if (ejects_at_once) unreachable_until_ = ejected_until_;
  next_ejection_ = std::min(next_ejection_ * 2, kMaxEjection);
  // After an ejection, a single failure causes the next one.
  failures_in_row_ = kFailuresToEject - 1;
}

void InstanceState::MarkWarm(uint64_t object, TimePoint now) {
  warm_objects_[object] = now;
  if (warm_objects_.size() <= kMaxWarmObjects) return;
  const auto oldest = std::min_element(
      warm_objects_.begin(), warm_objects_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  warm_objects_.erase(oldest);
}

void InstanceState::OnReport(int64_t running, int64_t waiting, TimePoint now) {
  // Added as floating-point numbers, since the sum of the integers may
  // overflow.
  reported_others_ =
      std::max(0.0, static_cast<double>(running) +
                        static_cast<double>(waiting) - in_flight());
  has_reported_queue_ = waiting > 0;
  reported_at_ = now;
}

double InstanceState::LoadAt(TimePoint now) const {
  const double weight = ReportWeight(now);
  return in_flight() + weight * reported_others_ +
         (1 - weight) * assumed_others_;
}

double InstanceState::ReportWeight(TimePoint now) const {
  return Decayed(1, now - reported_at_, kReportHalfLife);
}

double InstanceState::SlownessAt(TimePoint now) const {
  double out =
      1 + Decayed(slowness_ - 1, now - slowness_at_, kSlownessHalfLife);
  for (const auto& [id, it] : attempts_) {
    out = std::max(out, ToSeconds(now - it.at) / ToSeconds(it.expected));
  }
  return out;
}

bool InstanceState::IsWarmFor(uint64_t object, TimePoint now) const {
  const auto it = warm_objects_.find(object);
  return it != warm_objects_.end() && now - it->second < kWarmRetention;
}

InstanceState* InstanceRegistry::Put(const InstanceInfo& info, TimePoint) {
  std::unique_ptr<InstanceState>& slot = by_id_[info.id];
  if (slot != nullptr && slot->info().started_ms == info.started_ms &&
      slot->info().service == info.service &&
      slot->info().address == info.address && slot->info().port == info.port) {
    slot->set_info(info);
    return slot.get();
  }
  const std::string before = slot == nullptr ? "" : slot->info().service;
  slot = std::make_unique<InstanceState>(info);
  if (!before.empty() && before != info.service) Reindex(before);
  Reindex(info.service);
  return slot.get();
}

void InstanceRegistry::Remove(const std::string& id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return;
  const std::string service = it->second->info().service;
  by_id_.erase(it);
  Reindex(service);
}

InstanceState* InstanceRegistry::Find(const std::string& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second.get();
}

const std::vector<InstanceState*>& InstanceRegistry::OfService(
    const std::string& service) const {
  static const std::vector<InstanceState*> kNone;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? kNone : it->second;
}

void InstanceRegistry::SetEvacuated(const std::string& zone, bool evacuated) {
  if (evacuated) {
    evacuated_zones_.insert(zone);
  } else {
    evacuated_zones_.erase(zone);
  }
}

void InstanceRegistry::SetZoneCold(const std::string& zone, TimePoint t) {
  for (const auto& [id, it] : by_id_) {
    if (it->info().zone == zone) it->SetColdUntil(t);
  }
}

void InstanceRegistry::Reindex(const std::string& service) {
  std::vector<InstanceState*>& list = by_service_[service];
  list.clear();
  for (const auto& [id, it] : by_id_) {
    if (it->info().service == service) list.push_back(it.get());
  }
}

}  // namespace rwf
