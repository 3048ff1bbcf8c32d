#include "traffic/run_distribution.h"

#include <algorithm>
#include <cmath>

namespace rwf {
namespace {

// Weight of the next run at which all weights are scaled down.
constexpr double kMaxIncrement = 1e12;
// Weight, in runs, of the assumption on the rest of a run that has outlived all
// others.
constexpr double kOutlivedWeight = 0.5;

double LowerBound(double bucket) {
  return RunDistribution::kMinSeconds *
         std::exp2(bucket / RunDistribution::kBucketsPerDoubling);
}

const std::array<double, RunDistribution::kBuckets>& Centers() {
  static const auto kCenters = [] {
    std::array<double, RunDistribution::kBuckets> out{};
    for (size_t n = 0; n < out.size(); ++n)
      out[n] = LowerBound(static_cast<double>(n) + 0.5);
    return out;
  }();
  return kCenters;
}

// Returns the first bucket whose center is above `seconds`, or kBuckets.
size_t FirstAbove(double seconds) {
  const auto& centers = Centers();
  return static_cast<size_t>(
      std::upper_bound(centers.begin(), centers.end(), seconds) -
      centers.begin());
}

}  // namespace

RunDistribution::RunDistribution(double prior_seconds) {
  for (int n = 0; n < static_cast<int>(kPriorWeight); ++n) Add(prior_seconds);
  Summarize();
}

void RunDistribution::Record(double seconds, TimePoint now) {
  const Duration age =
      recorded_at_ == TimePoint{} ? Duration::zero() : now - recorded_at_;
  recorded_at_ = now;
  increment_ *=
      (1 + kGain) *
      std::exp2(std::clamp(ToSeconds(age) / ToSeconds(kHalfLife), 0.0, 20.0));
  if (increment_ > kMaxIncrement) {
    for (double& it : weights_) it /= increment_;
    prior_weight_ /= increment_;
    increment_ = 1;
  }
  Add(seconds);
  Summarize();
}

void RunDistribution::Add(double seconds) {
  const double position =
      std::log2(std::max(seconds, kMinSeconds) / kMinSeconds) *
      kBucketsPerDoubling;
  const auto bucket =
      std::min(kBuckets - 1, static_cast<size_t>(std::max(0.0, position)));
  weights_[bucket] += increment_;
}

void RunDistribution::Summarize() {
  const auto& centers = Centers();
  double squares = 0;
  for (size_t n = kBuckets; n-- > 0;) {
    tail_weight_[n] = tail_weight_[n + 1] + weights_[n];
    tail_seconds_[n] = tail_seconds_[n + 1] + weights_[n] * centers[n];
    squares += weights_[n] * centers[n] * centers[n];
  }
  mean_ = tail_seconds_[0] / tail_weight_[0];
  residual_ = squares / (2 * tail_seconds_[0]);
  median_ = Quantile(0.5);
  upper_ = Quantile(kUpperQuantile);
  spread_ = Quantile(kSpreadQuantile);
}

double RunDistribution::Quantile(double q) const {
  const double beyond = (1 - q) * tail_weight_[0];
  // The last bucket in which more than `beyond` is still to come.
  size_t n = kBuckets - 1;
  while (n > 0 && tail_weight_[n] < beyond) --n;
  const double within =
      weights_[n] > 0 ? (tail_weight_[n] - beyond) / weights_[n] : 0;
  return LowerBound(static_cast<double>(n) + std::clamp(within, 0.0, 1.0));
}

double RunDistribution::Remaining(double elapsed) const {
  const size_t n = elapsed <= 0 ? 0 : FirstAbove(elapsed);
  const double assumed =
      increment_ * kOutlivedWeight * std::clamp(elapsed / mean_, 0.0, 1.0);
  const double weight = tail_weight_[n] + assumed;
  const double rest = tail_seconds_[n] - elapsed * tail_weight_[n] +
                      assumed * elapsed * kOutlivedRatio;
  return std::max(0.0, rest / weight);
}

}  // namespace rwf
