#include "rates/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rwf {
namespace {

constexpr Duration kMinSampleInterval = std::chrono::milliseconds(50);
constexpr Duration kPeakWindow = std::chrono::seconds(1);
constexpr double kFastTimeConstantSeconds = 0.2;
constexpr double kSlowTimeConstantSeconds = 2;
constexpr double kChangeSigmas = 3;

}  // namespace

void Demand::RecordLevel(int64_t n, TimePoint now) {
  last_used_at_ = now;
  peak_ = std::max(peak_, n);
}

void Demand::Sample(TimePoint now) {
  if (sampled_at_ == TimePoint::min()) {
    sampled_at_ = now;
    peak_window_start_ = now;
    return;
  }
  if (now - sampled_at_ < kMinSampleInterval) return;
  const double seconds = ToSeconds(now - sampled_at_);
  const double rate = static_cast<double>(pending_) / seconds;
  fast_average_ += (rate - fast_average_) *
                   (1 - std::exp(-seconds / kFastTimeConstantSeconds));
  slow_average_ += (rate - slow_average_) *
                   (1 - std::exp(-seconds / kSlowTimeConstantSeconds));
  pending_ = 0;
  sampled_at_ = now;
  if (now - peak_window_start_ >= kPeakWindow) {
    previous_peak_ = std::exchange(peak_, 0);
    peak_window_start_ = now;
  }
}

int64_t Demand::PerSecond(int64_t unit) const {
  // Standard deviation of an exponential average of Poisson arrivals.
  const double sigma = std::sqrt(slow_average_ * static_cast<double>(unit) /
                                 (2 * kFastTimeConstantSeconds));
  const bool changed =
      std::abs(fast_average_ - slow_average_) > kChangeSigmas * sigma;
  return static_cast<int64_t>(changed ? fast_average_ : slow_average_);
}

}  // namespace rwf
