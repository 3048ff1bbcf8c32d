#include "replica/call_budget.h"

#include <algorithm>

namespace rwf {

bool CallBudget::TryTake(TimePoint now) {
  if (now > last_) {
    tokens_ =
        std::min(kBurst, tokens_ + ToSeconds(now - last_) * kCallsPerSecond);
    last_ = now;
  }
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  ++taken_;
  return true;
}

Duration Backoff::Next(Random& random) {
  const Duration step = step_;
  step_ = std::min(longest_, step_ * 2);
  return step / 2 + Duration(random() % (step.count() / 2));
}

}  // namespace rwf
