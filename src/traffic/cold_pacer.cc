#include "traffic/cold_pacer.h"

#include <algorithm>

namespace rwf {

bool ColdPacer::CanAcquire(const std::string& instance, double rate,
                           size_t sender_count, TimePoint now) const {
  if (rate <= 0) return true;
  const auto it = last_sent_.find(instance);
  if (it == last_sent_.end()) return true;
  const double seconds =
      static_cast<double>(std::max<size_t>(1, sender_count)) / rate;
  return now - it->second >= FromSeconds(seconds);
}

bool ColdPacer::TryAcquire(const std::string& instance, double rate,
                           size_t sender_count, TimePoint now) {
  if (!CanAcquire(instance, rate, sender_count, now)) return false;
  last_sent_[instance] = now;
  return true;
}

}  // namespace rwf
