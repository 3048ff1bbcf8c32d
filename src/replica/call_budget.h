#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace rwf {

// Random numbers of the state machines. Seeded by the caller, so that a history
// can be repeated.
using Random = std::mt19937_64;

// Limits the store calls of one VM: kCallsPerSecond on average, at most kBurst
// at once. Shared by all state machines of the VM that call the store.
class CallBudget {
 public:
  static constexpr double kCallsPerSecond = 2;
  // Enough for the calls of one operator's change without waiting.
  static constexpr double kBurst = 8;

  // Takes one call if there is one.
  bool TryTake(TimePoint now);
  // Calls taken so far.
  uint64_t taken() const { return taken_; }

 private:
  double tokens_ = kBurst;
  TimePoint last_refill_{};
  uint64_t taken_ = 0;
};

// Jittered exponential backoff from kInitialDelay to `longest`.
class Backoff {
 public:
  static constexpr Duration kInitialDelay = std::chrono::milliseconds(500);

  explicit Backoff(Duration max_delay) : max_delay_(max_delay) {}

  // The time to wait after one more failure: between half and all of the step.
  Duration Next(Random& random);
  void Reset() { delay_ = kInitialDelay; }

 private:
  Duration max_delay_;
  Duration delay_ = kInitialDelay;
};

}  // namespace rwf
