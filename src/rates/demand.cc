#include "rates/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rwf {
namespace {

constexpr Duration kMinSample = std::chrono::milliseconds(50);
constexpr Duration kPeakWindow = std::chrono::seconds(1);
constexpr double kFastSeconds = 0.2;
constexpr double kSlowSeconds = 2;
constexpr double kNoiseFactor = 3;

}  // namespace

void Demand::NoteLevel(int64_t n, TimePoint now) {
  last_use_ = now;
  peak_ = std::max(peak_, n);
}

void Demand::Sample(TimePoint now) {
  if (sampled_ == TimePoint::min()) {
    sampled_ = now;
    peak_since_ = now;
    return;
  }
  if (now - sampled_ < kMinSample) return;
  const double seconds = ToSeconds(now - sampled_);
  const double rate = static_cast<double>(pending_) / seconds;
  fast_ += (rate - fast_) * (1 - std::exp(-seconds / kFastSeconds));
  slow_ += (rate - slow_) * (1 - std::exp(-seconds / kSlowSeconds));
  pending_ = 0;
  sampled_ = now;
  if (now - peak_since_ >= kPeakWindow) {
    last_peak_ = std::exchange(peak_, 0);
    peak_since_ = now;
  }
}

int64_t Demand::PerSecond(int64_t unit) const {
  // Standard deviation of an exponential average of Poisson arrivals.
  const double noise =
      std::sqrt(slow_ * static_cast<double>(unit) / (2 * kFastSeconds));
  const bool changed = std::abs(fast_ - slow_) > kNoiseFactor * noise;
  return static_cast<int64_t>(changed ? fast_ : slow_);
}

}  // namespace rwf
