#include "traffic/machine_factor.h"

#include <algorithm>
#include <cmath>

namespace rwf {
namespace {

double Decay(Duration age, Duration half_life) {
  if (age <= Duration::zero()) return 1;
  return std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

// Bounds of the ratio of one run to the usual time.
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 100;
// Longest run relative to the present slowness, as a logarithm.
constexpr double kMaxSlownessStep = 1;

}  // namespace

void MachineFactor::OnReport(double factor, TimePoint now) {
  const double log_factor = std::log(factor);
  const double before = count_ == 0 ? log_factor : MeanLogAt(now);
  const double weight = 1 - Decay(now - last_.at, kMeanHalfLife);
  mean_log_ = before + weight * (log_factor - before);
  last_ = {now, log_factor};
  reports_[count_++ % reports_.size()] = last_;
}

void MachineFactor::OnRun(double ratio, bool is_exact, TimePoint started_at,
                          TimePoint now) {
  const double log_ratio = std::log(std::clamp(ratio, kMinRatio, kMaxRatio));
  const double log_factor = is_reported() ? MeanLogSince(started_at, now) : 0;
  // Unknown waiting only adds to a time, so a shorter one is evidence anyway.
  if (!is_exact && log_ratio >= trust_ * log_factor + UnexplainedLog(now))
    return;
  if (std::abs(log_factor) >= kMinJudgedLog) {
    // A single run differs for other reasons too, so neither direction is cut
    // off at once; that would pull the trust away from both ends.
    const double explained = std::clamp(log_ratio / log_factor, -0.5, 1.5);
    const double square = log_factor * log_factor;
    const double gain = square / (square + kTrustNoise);
    trust_ = std::clamp(trust_ + gain * (explained - trust_), 0.0, 1.0);
  }
  // A long run counts less than a short one, since more than the instance may
  // cause it.
  const double sample =
      std::min(log_ratio - trust_ * log_factor,
               std::max(0.0, UnexplainedLog(now)) + kMaxSlownessStep);
  const double kept = Decay(now - unexplained_at_, kSlownessHalfLife) *
                      (1 - 1 / kMaxSlownessWeight);
  unexplained_sum_ = kept * unexplained_sum_ + sample;
  unexplained_weight_ = kept * unexplained_weight_ + 1;
  unexplained_at_ = now;
}

double MachineFactor::MeanLogAt(TimePoint now) const {
  return mean_log_ * Decay(now - last_.at, kMeanRetention);
}

double MachineFactor::LogAt(TimePoint now) const {
  const double mean = MeanLogAt(now);
  return mean + (last_.log_factor - mean) * Decay(now - last_.at, kHalfLife);
}

double MachineFactor::MeanLogSince(TimePoint t, TimePoint now) const {
  double sum = 0;
  size_t n = 0;
  for (size_t i = 0; i < std::min(count_, reports_.size()); ++i) {
    if (reports_[i].at < t) continue;
    sum += reports_[i].log_factor;
    ++n;
  }
  return n > 0 ? sum / static_cast<double>(n) : LogAt(now);
}

double MachineFactor::At(TimePoint now) const {
  return is_reported() ? std::exp(trust_ * LogAt(now)) : 1;
}

double MachineFactor::MeanSince(TimePoint t, TimePoint now) const {
  return is_reported() ? std::exp(trust_ * MeanLogSince(t, now)) : 1;
}

double MachineFactor::UnexplainedLog(TimePoint now) const {
  const double decay = Decay(now - unexplained_at_, kSlownessHalfLife);
  return decay * unexplained_sum_ /
         (decay * unexplained_weight_ + kUsualWeight);
}

double MachineFactor::UnexplainedAt(TimePoint now) const {
  // Bounded here and not in OnRun(), where it would turn noise into slowness.
  return std::exp(std::max(0.0, UnexplainedLog(now)));
}

}  // namespace rwf
