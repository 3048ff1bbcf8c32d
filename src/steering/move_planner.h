#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/config.h"

namespace rwf {

// Load and health of the target zone of a move, as seen by the proposing VM.
struct MoveMetrics {
  TimePoint at{};           // measurement time of the oldest part
  double target_busy = 0;   // busy slots of the service in the zone `to`
  double target_slots = 0;  // slots of the service in the zone `to`
  // Busy slots caused by all clients of the zone `from`, wherever they are
  // served.
  double source_load = 0;
  double failure_ratio = 0;  // failed or shed fraction of the target's requests

  friend bool operator==(const MoveMetrics&, const MoveMetrics&) = default;
};

enum class MoveAction { kNone, kNextStep, kStepBack, kPause };

// Action for a move. `reason` is a constant text for logs and operators.
struct MoveDecision {
  MoveAction action = MoveAction::kNone;
  int64_t step = 0;  // step after the action
  const char* reason = "";
};

// Fraction of failed or shed requests at the target above which a move steps
// back.
inline constexpr double kMoveMaxFailureRatio = 0.02;
// A move pauses if its metrics are older than this.
inline constexpr Duration kMaxMoveMetricsAge = std::chrono::seconds(3);
// Time for a new configuration generation to reach every VM; added to the
// lookup TTL.
inline constexpr Duration kMovePropagationTime = std::chrono::seconds(3);

// Percentage of the clients of `from` that a move shifts at `step`: step x
// step_percent, at most `percent`.
double MovedPercent(const Move& move, int64_t step);

// Step of a move at which `percent` is reached.
int64_t FinalStep(const Move& move);

// True if the move shifts the client block at its current step. A block that is
// shifted at one step is shifted at every later step.
bool IsMoved(const Move& move, uint32_t block_address, uint8_t prefix_length);

// The configured interval, or lookup TTL + kMovePropagationTime if that is
// longer. Lookup responses of at most two adjacent steps are then in use at any
// time.
Duration EffectiveStepInterval(const Move& move, Duration lookup_ttl);

// Decides what a VM proposes for a move. Pure function; the proposal itself is
// a compare-and-swap of the configuration, so that only one of several
// proposals of the same step takes effect. `last_step_at` is the time at which
// this process adopted the current step, or its start time if it has just
// started. kPause means that nothing is proposed and the step stays. Only
// running moves change; a paused or stopped move keeps its step.
MoveDecision PlanMove(const Move& move,
                      const std::optional<MoveMetrics>& metrics,
                      TimePoint last_step_at, Duration lookup_ttl,
                      TimePoint now);

}  // namespace rwf
