#include "traffic/service_time_model.h"

#include <algorithm>

namespace rwf {

ServiceTimeModel::Times ServiceTimeModel::Expected(const std::string& route,
                                                   Duration objective) const {
  const auto it = times_.find(route);
  if (it != times_.end()) return it->second;
  return {FromSeconds(ToSeconds(objective) * kInitialColdRatio),
          FromSeconds(ToSeconds(objective) * kInitialWarmRatio), false};
}

void ServiceTimeModel::OnResponse(const std::string& route, Duration objective,
                                  Warmth warmth, Duration took) {
  Times times = Expected(route, objective);
  const bool is_warm =
      warmth == Warmth::kWarm || took < (times.warm + times.cold) / 2;
  Duration& it = is_warm ? times.warm : times.cold;
  // A slow instance delays single responses, so one response counts as at most
  // twice the current estimate.
  const Duration sample = std::clamp(took, Duration::zero(), it * 2);
  it += FromSeconds(kGain * (ToSeconds(sample) - ToSeconds(it)));
  times.warm = std::min(times.warm, times.cold);
  times.is_learned = true;
  times_[route] = times;
}

}  // namespace rwf
