#include "traffic/remaining_work.h"

#include <algorithm>
#include <cmath>

namespace rwf {
namespace {

// Deviation of the number of requests below which it counts as known.
constexpr double kMinDeviation = 0.3;

}  // namespace

double RemainingWork::OutlivedRatio(const InstanceState& it, TimePoint now) {
  double elapsed = 0;
  double expected = 0;
  double runs = 0;
  for (const auto& [id, attempt] : it.attempts()) {
    const InstanceState::OwnRun& run = attempt.run;
    if (run.cost.distribution == nullptr) continue;
    elapsed += std::max(0.0, ToSeconds(now - attempt.at - run.wait));
    expected += run.cost.mean() * run.factor;
    runs += 1;
  }
  if (runs == 0) return 1;
  return std::max(1.0, elapsed / (kOutlivedRuns * expected * (1 + 1 / runs)));
}

void RemainingWork::CollectOwnRuns(const InstanceState& it, double speed,
                                   TimePoint now) {
  own_.clear();
  for (const auto& [id, attempt] : it.attempts()) {
    const InstanceState::OwnRun& run = attempt.run;
    OwnRun out;
    out.elapsed = ToSeconds(now - attempt.at - run.wait);
    if (run.cost.distribution == nullptr) {
      out.whole = fallback_run_ * speed;
      out.remaining = std::max(out.whole - out.elapsed,
                               out.elapsed * RunDistribution::kOutlivedRatio);
    } else {
      // Elapsed time counts at the mean speed since the start.
      const double past = run.cost.ratio * (run.factor + speed) / 2;
      out.whole = run.cost.mean() * speed;
      out.remaining =
          run.cost.distribution->Remaining(std::max(0.0, out.elapsed) / past) *
          run.cost.ratio * speed;
    }
    own_.push_back(out);
  }
  std::sort(own_.begin(), own_.end(), [](const OwnRun& a, const OwnRun& b) {
    return a.elapsed > b.elapsed;
  });
}

double RemainingWork::WaitWithOthers(size_t n, size_t slots, double speed) {
  const size_t all = own_.size() + n;
  if (all < slots) return 0;
  // The requests that wait are taken to be this VM's and others' in proportion,
  // and this VM's last ones.
  const size_t waiting = all - slots;
  const size_t own_waiting =
      std::min(own_.size(),
               (waiting * own_.size() + all / 2) / std::max<size_t>(1, all));
  const size_t others_waiting = std::min(n, waiting - own_waiting);
  const size_t own_running = own_.size() - own_waiting;
  const size_t others_running = n - others_waiting;
  double queued = static_cast<double>(others_waiting) * others_.mean() * speed;
  for (size_t i = own_running; i < own_.size(); ++i) queued += own_[i].whole;
  free_in_.clear();
  for (size_t i = 0; i < own_running; ++i)
    free_in_.push_back(own_[i].remaining);
  // The rests of others' runs are spread evenly around their mean.
  for (size_t i = 1; i <= others_running; ++i) {
    free_in_.push_back(2 * others_.residual() * speed * static_cast<double>(i) /
                       static_cast<double>(others_running + 1));
  }
  std::sort(free_in_.begin(), free_in_.end());
  // Queued work fills the slots that become free first, up to an equal time.
  double level = free_in_.front();
  double filled = 1;
  for (size_t i = 1; i < free_in_.size(); ++i, ++filled) {
    const double step = (free_in_[i] - level) * filled;
    if (step >= queued) break;
    queued -= step;
    level = free_in_[i];
  }
  return level + queued / filled;
}

RemainingWork::Wait RemainingWork::WaitAt(const InstanceState& it, double speed,
                                          TimePoint now) {
  const auto slots = static_cast<size_t>(std::max<int64_t>(1, it.info().slots));
  const double others = std::clamp(it.LoadAt(now) - it.in_flight(), 0.0,
                                   4 * static_cast<double>(slots));
  // The number of others is uncertain as far as it is not from a report; three
  // points stand for its distribution.
  const double deviation = std::sqrt(others * (1 - it.ReportWeight(now)));
  const double most = others + deviation;
  if (static_cast<double>(it.in_flight()) + std::ceil(most) <
      static_cast<double>(slots))
    return {};
  CollectOwnRuns(it, speed, now);
  const auto wait = [&](double n) {
    const double whole = std::floor(n);
    const double low = WaitWithOthers(static_cast<size_t>(whole), slots, speed);
    if (n <= whole) return low;
    const double high =
        WaitWithOthers(static_cast<size_t>(whole) + 1, slots, speed);
    return low + (n - whole) * (high - low);
  };
  const double expected = wait(others);
  if (deviation < kMinDeviation) return {expected, 0};
  const double mean =
      (wait(std::max(0.0, others - deviation)) + 2 * expected + wait(most)) / 4;
  return {expected, std::max(0.0, mean - expected)};
}

}  // namespace rwf
