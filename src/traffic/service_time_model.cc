#include "traffic/service_time_model.h"

#include <algorithm>

namespace rwf {
namespace {

// Keeps the estimate of a route whose first response is instant able to grow.
constexpr Duration kMinTimeWithoutObject = std::chrono::milliseconds(1);

}  // namespace

ServiceTimeModel::Times ServiceTimeModel::Expected(const std::string& route,
                                                   Duration objective,
                                                   bool has_object) const {
  if (has_object) {
    const auto it = times_.find(route);
    if (it != times_.end()) return it->second;
  } else {
    const auto it = times_without_object_.find(route);
    if (it != times_without_object_.end()) return it->second;
  }
  return {FromSeconds(ToSeconds(objective) * kInitialColdRatio),
          FromSeconds(ToSeconds(objective) * kInitialWarmRatio), false, 0};
}

void ServiceTimeModel::OnResponseWithoutObject(const std::string& route,
                                               Duration took) {
  Times& times = times_without_object_[route];
  if (times.measured_runs++ == 0) {
    times.cold = std::max(took, kMinTimeWithoutObject);
  } else {
    const Duration sample =
        std::clamp(took, kMinTimeWithoutObject, times.cold * 2);
    times.cold += FromSeconds(kGain * ToSeconds(sample - times.cold));
  }
  times.warm = times.cold;
  times.is_learned = true;
}

void ServiceTimeModel::OnResponse(const std::string& route, Duration objective,
                                  Warmth warmth, Duration took) {
  if (warmth == Warmth::kNoObject) {
    OnResponseWithoutObject(route, took);
    return;
  }
  Times times = Expected(route, objective, /*has_object=*/true);
  const bool is_warm =
      warmth == Warmth::kWarm || took < (times.warm + times.cold) / 2;
  Duration& it = is_warm ? times.warm : times.cold;
  // A slow instance delays single responses, so one response counts as at most
  // twice the current estimate.
  const Duration sample = std::clamp(took, Duration::zero(), it * 2);
  it += FromSeconds(kGain * (ToSeconds(sample) - ToSeconds(it)));
  times.warm = std::min(times.warm, times.cold);
  times.is_learned = true;
  ++times.measured_runs;
  times_[route] = times;
}

void ServiceTimeModel::Forget(const std::string& route, bool has_object) {
  (has_object ? times_ : times_without_object_).erase(route);
}

}  // namespace rwf
