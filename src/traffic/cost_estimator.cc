#include "traffic/cost_estimator.h"

#include <algorithm>
#include <cmath>

namespace rwf {
namespace {

// Inexact times count up to this weight of a distribution.
constexpr double kMaxInexactWeight = 20;
// Bounds of the ratio of one run to the mean of its kind.
constexpr double kMaxRunRatio = 50;

RunDistribution PriorOf(CostEstimator::RunKind kind, Duration objective) {
  return RunDistribution(
      ToSeconds(objective) *
      CostEstimator::kPriorRatios[static_cast<size_t>(kind)]);
}

}  // namespace

double CostEstimator::ObjectRatio::DecayAt(TimePoint now) const {
  const Duration age = std::max(Duration::zero(), now - at);
  return std::exp2(-ToSeconds(age) / ToSeconds(kObjectHalfLife));
}

double CostEstimator::ObjectRatio::RatioAt(TimePoint now) const {
  const double decay = DecayAt(now);
  return std::exp(decay * log_sum / (decay * weight + kObjectPriorWeight));
}

CostEstimator::Route::Route(Duration objective)
    : raw{PriorOf(RunKind::kWarm, objective),
          PriorOf(RunKind::kCold, objective),
          PriorOf(RunKind::kNoObject, objective)},
      by_kind(raw) {}

bool CostEstimator::Route::HasUneven(
    const std::array<RunDistribution, 3>& kinds) {
  return std::any_of(kinds.begin(), kinds.end(), [](const RunDistribution& it) {
    return it.weight() >= kMinUnevenWeight && it.spread() >= kUnevenSpread;
  });
}

double CostEstimator::Route::RatioOf(uint64_t object, TimePoint now) const {
  if (object == 0 || !tells_objects_apart) return 1;
  const auto it = objects.find(object);
  return it == objects.end() ? 1 : it->second.RatioAt(now);
}

CostEstimator::Route& CostEstimator::Find(const std::string& service,
                                          const std::string& route,
                                          Duration objective) {
  const auto it = routes_.find({service, route});
  if (it != routes_.end()) return it->second;
  if (routes_.size() >= kMaxRoutes)
    return routes_.try_emplace({"", ""}, objective).first->second;
  return routes_.try_emplace({service, route}, objective).first->second;
}

CostEstimator::RouteCosts CostEstimator::Estimate(const std::string& service,
                                                  const std::string& route,
                                                  Duration objective,
                                                  uint64_t object,
                                                  TimePoint now) {
  const Route& found = Find(service, route, objective);
  const double ratio = found.RatioOf(object, now);
  RouteCosts out;
  for (size_t n = 0; n < out.by_kind.size(); ++n)
    out.by_kind[n] = {&found.by_kind[n], ratio};
  out.is_uneven = Route::HasUneven(found.by_kind);
  return out;
}

CostEstimator::RunKind CostEstimator::Record(const std::string& service,
                                             const std::string& route,
                                             Duration objective,
                                             ServiceTimeModel::Warmth warmth,
                                             uint64_t object, double seconds,
                                             bool is_exact, TimePoint now) {
  Route& found = Find(service, route, objective);
  const double ratio = found.RatioOf(object, now);
  const auto mean = [&](RunKind kind) {
    return ratio * found.by_kind[static_cast<size_t>(kind)].mean();
  };
  RunKind kind = RunKind::kNoObject;
  if (warmth != ServiceTimeModel::Warmth::kNoObject) {
    const bool is_warm =
        warmth == ServiceTimeModel::Warmth::kWarm ||
        seconds < (mean(RunKind::kWarm) + mean(RunKind::kCold)) / 2;
    kind = is_warm ? RunKind::kWarm : RunKind::kCold;
  }
  RunDistribution& it = found.by_kind[static_cast<size_t>(kind)];
  if (!is_exact && it.weight() >= kMaxInexactWeight) return kind;
  seconds = std::clamp(seconds, RunDistribution::kMinSeconds,
                       it.mean() * kMaxRunRatio);
  const bool is_within = seconds <= ratio * it.upper();
  found.share_within += kShareGain * ((is_within ? 1 : 0) - found.share_within);
  if (object != 0) RecordObject(&found, object, seconds / it.median(), now);
  found.raw[static_cast<size_t>(kind)].Record(seconds, now);
  // What was recorded before objects were told apart would count as unevenness
  // that they do not explain.
  if (object != 0 && !found.tells_objects_apart &&
      Route::HasUneven(found.raw)) {
    found.tells_objects_apart = true;
    for (size_t n = 0; n < found.raw.size(); ++n)
      found.by_kind[n] = RunDistribution(found.raw[n].median());
  }
  it.Record(seconds / ratio, now);
  services_.try_emplace(service, ToSeconds(objective))
      .first->second.Record(seconds, now);
  return kind;
}

void CostEstimator::Forget(const std::string& service, const std::string& route,
                           Duration objective, uint64_t object) {
  Route& found = Find(service, route, objective);
  found.objects.erase(object);
  for (const RunKind kind :
       {RunKind::kWarm, RunKind::kCold, RunKind::kNoObject}) {
    if ((kind == RunKind::kNoObject) != (object == 0)) continue;
    const auto n = static_cast<size_t>(kind);
    found.raw[n] = found.by_kind[n] = PriorOf(kind, objective);
  }
}

void CostEstimator::RecordObject(Route* route, uint64_t object, double ratio,
                                 TimePoint now) {
  auto& objects = route->objects;
  if (objects.size() >= kMaxObjects && !objects.contains(object)) {
    objects.erase(std::min_element(objects.begin(), objects.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.at < b.second.at;
                                   }));
  }
  ObjectRatio& it = objects[object];
  if (it.weight >= kMaxObjectWeight) {
    const double kept = 1 - 1 / kMaxObjectWeight;
    it.weight *= kept;
    it.log_sum *= kept;
  }
  const double decay = it.weight > 0 ? it.DecayAt(now) : 1;
  it.weight = decay * it.weight + 1;
  it.log_sum = decay * it.log_sum + std::log(ratio);
  it.at = now;
}

const RunDistribution& CostEstimator::OfService(const std::string& service,
                                                Duration objective) {
  return services_.try_emplace(service, ToSeconds(objective)).first->second;
}

double CostEstimator::ShareWithinUpper(const std::string& service,
                                       const std::string& route) const {
  const auto it = routes_.find({service, route});
  return it == routes_.end() ? RunDistribution::kUpperQuantile
                             : it->second.share_within;
}

}  // namespace rwf
