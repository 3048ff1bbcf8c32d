#include "steering/move_planner.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <string_view>

#include "base/hash.h"

namespace rwf {
namespace {

// Block hashes are reduced to hundredths of a percent.
constexpr uint64_t kHashRange = 10'000;

MoveDecision Hold(const Move& move, const char* reason) {
  return {MoveAction::kNone, move.step, reason};
}

}  // namespace

double MovedPercent(const Move& move, int64_t step) {
  const double share = static_cast<double>(step) * move.step_percent;
  return std::clamp(share, 0.0, std::clamp(move.percent, 0.0, 100.0));
}

int64_t FinalStep(const Move& move) {
  if (move.step_percent <= 0 || move.percent <= 0) return 0;
  return static_cast<int64_t>(
      std::ceil(move.percent / move.step_percent - 1e-9));
}

bool IsMoved(const Move& move, uint32_t block_address, uint8_t prefix_length) {
  char block[5];
  // Big-endian, so that every VM hashes the same bytes.
  for (int i = 0; i < 4; ++i) {
    block[i] = static_cast<char>(block_address >> (24 - 8 * i));
  }
  block[4] = static_cast<char>(prefix_length);
  const uint64_t hash =
      Hash64(std::string_view(block, sizeof(block)), Hash64(move.id));
  return static_cast<double>(hash % kHashRange) <
         MovedPercent(move, move.step) * (kHashRange / 100.0);
}

Duration EffectiveStepInterval(const Move& move, Duration lookup_ttl) {
  return std::max(move.step_interval, lookup_ttl + kMovePropagationTime);
}

MoveDecision PlanMove(const Move& move,
                      const std::optional<MoveMetrics>& metrics,
                      TimePoint last_step_at, Duration lookup_ttl,
                      TimePoint now) {
  if (move.state != MoveState::kRunning) return Hold(move, "move not running");
  const auto pause = [&](const char* reason) {
    return MoveDecision{MoveAction::kPause, move.step, reason};
  };
  if (!metrics || now - metrics->at > kMaxMoveMetricsAge) {
    return pause("target metrics are missing or out of date");
  }
  if (!std::isfinite(metrics->target_busy) ||
      !std::isfinite(metrics->source_load) ||
      !std::isfinite(metrics->failure_ratio) || metrics->target_busy < 0 ||
      metrics->source_load < 0) {
    return pause("target metrics are negative or not finite");
  }
  // Before this time, lookup responses of the previous step are still in use
  // and the metrics do not show the full effect of the current step.
  if (metrics->at < last_step_at + lookup_ttl + kMovePropagationTime) {
    return Hold(move, "the current step has not taken full effect");
  }
  const double limit = metrics->target_slots * move.cap_percent / 100;
  const bool overloaded = metrics->target_busy > limit;
  const bool failing = metrics->failure_ratio > kMoveMaxFailureRatio;
  if (overloaded || failing) {
    const char* reason =
        overloaded ? "the load of the target is over the cap"
                   : "the failure ratio of the target is over the limit";
    if (move.step <= 0) return Hold(move, reason);
    return {MoveAction::kStepBack, move.step - 1, reason};
  }
  if (move.step >= FinalStep(move)) return Hold(move, "complete");
  if (now - last_step_at < EffectiveStepInterval(move, lookup_ttl)) {
    return Hold(move, "the step interval has not passed");
  }
  const double added =
      (MovedPercent(move, move.step + 1) - MovedPercent(move, move.step)) / 100;
  if (metrics->target_busy + added * metrics->source_load > limit) {
    return Hold(move, "the next step would exceed the cap");
  }
  return {MoveAction::kNextStep, move.step + 1, "the target has capacity"};
}

}  // namespace rwf
