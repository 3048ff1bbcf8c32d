#include "replica/call_budget.h"

#include <algorithm>

namespace rwf {

bool CallBudget::TryTake(TimePoint now) {
  if (now > last_refill_) {
    tokens_ = std::min(
        kBurst, tokens_ + ToSeconds(now - last_refill_) * kCallsPerSecond);
    last_refill_ = now;
  }
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  ++taken_;
  return true;
}

Duration Backoff::Next(Random& random) {
  const Duration delay = delay_;
  delay_ = std::min(max_delay_, delay_ * 2);
  return delay / 2 + Duration(random() % (delay.count() / 2));
}

}  // namespace rwf
