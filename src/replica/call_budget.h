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
  TimePoint last_{};
  uint64_t taken_ = 0;
};

// Jittered exponential backoff from kFirst to `longest`.
class Backoff {
 public:
  static constexpr Duration kFirst = std::chrono::milliseconds(500);

  explicit Backoff(Duration longest) : longest_(longest) {}

  // The time to wait after one more failure: between half and all of the step.
  Duration Next(Random& random);
  void Reset() { step_ = kFirst; }

 private:
  Duration longest_;
  Duration step_ = kFirst;
};

}  // namespace rwf
