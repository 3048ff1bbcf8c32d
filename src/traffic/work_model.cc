#include "traffic/work_model.h"

#include <algorithm>

namespace rwf {

WorkModel::Times WorkModel::Expected(const std::string& route,
                                     Duration objective) const {
  const auto it = times_.find(route);
  if (it != times_.end()) return it->second;
  return {FromSeconds(ToSeconds(objective) * kFirstCold),
          FromSeconds(ToSeconds(objective) * kFirstWarm), false};
}

void WorkModel::OnAnswer(const std::string& route, Duration objective,
                         Belief belief, Duration took) {
  Times times = Expected(route, objective);
  const bool is_warm =
      belief == Belief::kWarm || took < (times.warm + times.cold) / 2;
  Duration& it = is_warm ? times.warm : times.cold;
  // Slow instances stretch single answers; one answer counts at most twice the
  // present belief.
  const Duration seen = std::clamp(took, Duration::zero(), it * 2);
  it += FromSeconds(kGain * (ToSeconds(seen) - ToSeconds(it)));
  times.warm = std::min(times.warm, times.cold);
  times.is_learned = true;
  times_[route] = times;
}

}  // namespace rwf
