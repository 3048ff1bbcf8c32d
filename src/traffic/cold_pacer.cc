#include "traffic/cold_pacer.h"

#include <algorithm>

namespace rwf {

bool ColdPacer::CanTake(const std::string& instance, double rate, size_t users,
                        TimePoint now) const {
  if (rate <= 0) return true;
  const auto it = last_.find(instance);
  if (it == last_.end()) return true;
  const double seconds = static_cast<double>(std::max<size_t>(1, users)) / rate;
  return now - it->second >= FromSeconds(seconds);
}

bool ColdPacer::TryTake(const std::string& instance, double rate, size_t users,
                        TimePoint now) {
  if (!CanTake(instance, rate, users, now)) return false;
  last_[instance] = now;
  return true;
}

}  // namespace rwf
