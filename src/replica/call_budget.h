#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace rwf {

// Random number generator of the state machines. The caller seeds it, so that
// runs are reproducible.
using Random = std::mt19937_64;

// Token bucket that limits the store calls of one VM to kCallsPerSecond with
// bursts of up to kBurst. Shared by all state machines of the VM that call the
// store.
class CallBudget {
 public:
  static constexpr double kCallsPerSecond = 2;
  // Covers the calls of one configuration change without waiting.
  static constexpr double kBurst = 8;

  // Takes one token. Returns false if none is available.
  bool TryTake(TimePoint now);
  // Total number of calls granted.
  uint64_t taken() const { return taken_; }

 private:
  double tokens_ = kBurst;
  TimePoint last_refill_{};
  uint64_t taken_ = 0;
};

// Exponential backoff with jitter, from kInitialDelay to `max_delay`.
class Backoff {
 public:
  static constexpr Duration kInitialDelay = std::chrono::milliseconds(500);

  explicit Backoff(Duration max_delay) : max_delay_(max_delay) {}

  // Returns the delay before the next attempt, between half of the current
  // delay and all of it, and doubles the current delay.
  Duration Next(Random& random);
  void Reset() { delay_ = kInitialDelay; }

 private:
  Duration max_delay_;
  Duration delay_ = kInitialDelay;
};

}  // namespace rwf
