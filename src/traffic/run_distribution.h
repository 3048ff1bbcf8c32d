#pragma once

#include <array>
#include <cstddef>

#include "base/time.h"

namespace rwf {

// Distribution of run times in seconds, as a histogram with buckets of equal
// ratio. Old runs lose weight with each further run and with time.
class RunDistribution {
 public:
  static constexpr size_t kBuckets = 64;
  static constexpr size_t kBucketsPerDoubling = 4;
  static constexpr double kMinSeconds = 0.001;  // lower bound of the first
  // Weight of the prior, in runs.
  static constexpr double kPriorWeight = 2;
  // Weight of a run among all, once many have been recorded, and the time after
  // which a run has half of its weight.
  static constexpr double kGain = 0.002;
  static constexpr Duration kHalfLife = std::chrono::seconds(20);
  // Quantile by which runs count as long, and the one by which the spread of
  // run times is judged. The latter is beyond the former since a route of which
  // 3% run long must count as uneven, but must not delay each hedge.
  static constexpr double kUpperQuantile = 0.95;
  static constexpr double kSpreadQuantile = 0.98;
  // Expected rest of a run that has outlived all others, relative to the time
  // that it has lasted.
  static constexpr double kOutlivedRatio = 0.5;

  explicit RunDistribution(double prior_seconds);

  void Record(double seconds, TimePoint now);

  double mean() const { return mean_; }
  double median() const { return median_; }
  double upper() const { return upper_; }
  // Number of runs that the distribution is based on, after decay.
  double weight() const { return tail_weight_[0] / increment_; }
  // The same without the prior.
  double measured_weight() const {
    return (tail_weight_[0] - prior_weight_) / increment_;
  }
  // Ratio of the spread quantile to the median.
  double spread() const { return spread_ / median_; }
  // Returns the expected rest of a run that has lasted `elapsed` seconds.
  double Remaining(double elapsed) const;
  // Returns the expected rest of a run that is seen at a random time.
  double residual() const { return residual_; }

 private:
  void Add(double seconds);
  void Summarize();
  double Quantile(double q) const;

  std::array<double, kBuckets> weights_{};
  // Sums over a bucket and all later ones.
  std::array<double, kBuckets + 1> tail_weight_{};
  std::array<double, kBuckets + 1> tail_seconds_{};
  double increment_ = 1;                // weight of the next run
  double prior_weight_ = kPriorWeight;  // in the unit of `increment_`
  TimePoint recorded_at_{};
  double mean_ = 0;
  double median_ = 0;
  double upper_ = 0;
  double spread_ = 0;
  double residual_ = 0;
};

}  // namespace rwf
