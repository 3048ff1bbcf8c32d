#pragma once

#include <cstdint>

#include "base/time.h"

namespace rwf {

// Estimates the recent demand for a resource in units per second. It steers how
// much is borrowed and lent; no limit depends on it.
class Demand {
 public:
  // Counts requested units, whether or not they were admitted.
  void Record(int64_t n, TimePoint now) {
    pending_ += n;
    last_used_at_ = now;
  }
  // For slots: records the number in use now.
  void RecordLevel(int64_t n, TimePoint now);

  // Adds the units recorded since the last sample to the estimate. Must be
  // called at least every 100 ms.
  void Sample(TimePoint now);

  // Returns the slow average, or the fast one if the two differ by more than
  // the noise of independent arrivals of `unit` each, so that the estimate
  // follows a change within a few tenths of a second.
  int64_t PerSecond(int64_t unit) const;

  // Highest level recorded within the last one to two seconds.
  int64_t PeakLevel() const {
    return peak_ > previous_peak_ ? peak_ : previous_peak_;
  }

  // True if nothing was recorded for kIdleTimeout.
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
