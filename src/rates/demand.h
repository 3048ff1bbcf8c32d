#pragma once

#include <cstdint>

#include "base/time.h"

namespace rwf {

// Estimate of recent use of a resource in units a second. It only steers how
// much is borrowed and lent; no bound depends on it.
class Demand {
 public:
  // Counts units asked for, whether or not they were had.
  void Note(int64_t n, TimePoint now) {
    pending_ += n;
    last_use_ = now;
  }
  // For slots: the level of use at this moment.
  void NoteLevel(int64_t n, TimePoint now);

  // Folds what was noted into the estimate. Call it at least every 100 ms.
  void Sample(TimePoint now);

  // A slow average, or a fast one where the two differ by more than the noise
  // of independent arrivals of `unit` each: it follows a change within a few
  // tenths of a second.
  int64_t PerSecond(int64_t unit) const;

  // The highest level noted in the last second or two.
  int64_t PeakLevel() const { return peak_ > last_peak_ ? peak_ : last_peak_; }

  // True if nothing was noted for kIdleAfter.
  bool IsIdle(TimePoint now) const { return now - last_use_ > kIdleAfter; }

 private:
  static constexpr Duration kIdleAfter = std::chrono::seconds(2);

  int64_t pending_ = 0;
  double fast_ = 0;
  double slow_ = 0;
  TimePoint sampled_ = TimePoint::min();
  TimePoint last_use_ = TimePoint::min() + std::chrono::hours(1000);
  int64_t peak_ = 0;
  int64_t last_peak_ = 0;
  TimePoint peak_since_ = TimePoint::min();
};

}  // namespace rwf
