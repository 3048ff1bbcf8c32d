#pragma once

#include <cstdint>

#include "base/time.h"

namespace rwf {

// Estimate of recent use of a resource in units a second. It only steers how
// much is borrowed and lent; no bound depends on it.
class Demand {
 public:
  // Counts units asked for, whether or not they were had.
  void Record(int64_t n, TimePoint now) {
    pending_ += n;
    last_used_at_ = now;
  }
  // For slots: the level of use at this moment.
  void RecordLevel(int64_t n, TimePoint now);

  // Folds what was noted into the estimate. Call it at least every 100 ms.
  void Sample(TimePoint now);

  // A slow average, or a fast one where the two differ by more than the noise
  // of independent arrivals of `unit` each: it follows a change within a few
  // tenths of a second.
  int64_t PerSecond(int64_t unit) const;

  // The highest level noted in the last second or two.
  int64_t PeakLevel() const {
    return peak_ > previous_peak_ ? peak_ : previous_peak_;
  }

  // True if nothing was noted for kIdleTimeout.
  bool IsIdle(TimePoint now) const {
    return now - last_used_at_ > kIdleTimeout;
  }

 private:
  static constexpr Duration kIdleTimeout = std::chrono::seconds(2);

  int64_t pending_ = 0;
  double fast_average_ = 0;
  double slow_average_ = 0;
  TimePoint sampled_at_ = TimePoint::min();
  TimePoint last_used_at_ = TimePoint::min() + std::chrono::hours(1000);
  int64_t peak_ = 0;
  int64_t previous_peak_ = 0;
  TimePoint peak_window_start_ = TimePoint::min();
};

}  // namespace rwf
