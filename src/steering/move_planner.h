#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/config.h"

namespace rwf {

// Load and health of the target zone of a move, as the proposing VM knows them.
struct MoveMetrics {
  TimePoint at{};           // when the oldest part was measured
  double target_busy = 0;   // busy slots of the service in the zone `to`
  double target_slots = 0;  // slots of the service in the zone `to`
  // Busy slots that all clients of the zone `from` cause now, wherever they are
  // served.
  double source_load = 0;
  double failure_ratio = 0;  // failed or shed share of the target's requests

  friend bool operator==(const MoveMetrics&, const MoveMetrics&) = default;
};

enum class MoveAction { kNone, kNextStep, kStepBack, kPause };

// What to do with a move. `reason` is a fixed text for logs and operators.
struct MoveDecision {
  MoveAction action = MoveAction::kNone;
  int64_t step = 0;  // the step after the action
  const char* reason = "";
};

// Share of failed or shed requests at the target above which a move steps back.
inline constexpr double kMoveMaxFailureRatio = 0.02;
// Evidence older than this pauses a move.
inline constexpr Duration kMaxMoveMetricsAge = std::chrono::seconds(3);
// Added to the look-up TTL: time for a new generation to reach every VM.
inline constexpr Duration kMovePropagationTime = std::chrono::seconds(3);

// Share of the clients of `from`, in percent, that a move shifts at `step`:
// step x step_percent, at most `percent`.
double MovedPercent(const Move& move, int64_t step);

// Last step of a move, at which `percent` is reached.
int64_t FinalStep(const Move& move);

// True if the client block is among those that the move shifts at its present
// step. A block that is shifted at one step is shifted at every later one.
bool IsMoved(const Move& move, uint32_t block_address, uint8_t prefix_length);

// The configured interval, or look-up TTL + kMovePropagationTime if that is
// longer. Answers of at most two adjacent steps are then in use at any time.
Duration EffectiveStepInterval(const Move& move, Duration lookup_ttl);

// Decides what a VM proposes for a move. Pure; the proposal itself is a
// compare-and-swap of the configuration, so that only one of several proposals
// of the same step takes effect. `last_step_at` is when the step in force was
// adopted here (a process that just started takes its start). kPause means
// "propose nothing": the step stays. Only running moves change; a paused or
// stopped move holds its step.
MoveDecision PlanMove(const Move& move,
                      const std::optional<MoveMetrics>& metrics,
                      TimePoint last_step_at, Duration lookup_ttl,
                      TimePoint now);

}  // namespace rwf
