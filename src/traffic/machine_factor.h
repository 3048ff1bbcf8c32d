#pragma once

#include <array>
#include <cstddef>

#include "base/time.h"

namespace rwf {

// Follows how long work takes on the machine of one instance, as a ratio of the
// usual time, and how far measured runs agree with what the instance reports.
class MachineFactor {
 public:
  // The reported factor changes many times a second, so an older report gives
  // way to the mean of the machine, which itself returns to 1.
  static constexpr Duration kHalfLife = std::chrono::milliseconds(300);
  static constexpr Duration kMeanHalfLife = std::chrono::seconds(2);
  static constexpr Duration kMeanRetention = std::chrono::seconds(1);
  // Variance of single runs against which a factor is weighed in the trust, and
  // the distance of a factor from 1 below which a run says nothing about it (as
  // logarithms). One run tells much of a factor of 8 and little of one of 1.5.
  static constexpr double kTrustNoise = 4;
  static constexpr double kMinJudgedLog = 0.22;
  // Half-life of the slowness that reports do not explain. Runs count up to
  // this weight, against the assumption of a usual instance with the other
  // weight, in runs.
  static constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
  static constexpr double kMaxSlownessWeight = 6;
  static constexpr double kUsualWeight = 2;

  void OnReport(double factor, TimePoint now);
  // Records a run that took `ratio` times the usual time of its route. If the
  // time may contain unknown waiting (`is_exact` false), the run only counts as
  // far as it was shorter than expected.
  void OnRun(double ratio, bool is_exact, TimePoint started_at, TimePoint now);

  bool is_reported() const { return count_ > 0; }
  // Returns the expected factor, weighted by the trust in reports.
  double At(TimePoint now) const;
  // Returns the mean factor since `t`, weighted by the trust in reports.
  double MeanSince(TimePoint t, TimePoint now) const;
  // Returns the slowness that reports do not explain, at least 1.
  double UnexplainedAt(TimePoint now) const;
  double trust() const { return trust_; }

 private:
  struct Report {
    TimePoint at{};
    double log_factor = 0;
  };
  double LogAt(TimePoint now) const;
  double UnexplainedLog(TimePoint now) const;
  double MeanLogAt(TimePoint now) const;
  double MeanLogSince(TimePoint t, TimePoint now) const;

  // The last reports, a ring.
  std::array<Report, 16> reports_{};
  size_t count_ = 0;  // of all reports
  Report last_;
  double mean_log_ = 0;
  double trust_ = 1;
  double unexplained_sum_ = 0;  // of logarithms
  double unexplained_weight_ = 0;
  TimePoint unexplained_at_{};
};

}  // namespace rwf
