#include "entry/move_driver.h"

#include <fmt/format.h>

#include <algorithm>

namespace rwf {
namespace {

// Sums of the load reports of one service in one zone.
struct ZoneLoad {
  double busy = 0;
  double slots = 0;
  TimePoint oldest = TimePoint::max();
  bool is_complete = true;
};

}  // namespace

MoveDriver::MoveDriver(Dependencies deps, TimePoint start)
    : deps_(std::move(deps)), start_(start) {}

void MoveDriver::SetConfig(std::shared_ptr<const Config> config,
                           TimePoint now) {
  const bool is_first = config_ == nullptr;
  config_ = std::move(config);
  std::map<std::string, Step> steps;
  for (const Move& it : config_->moves) {
    const auto previous = steps_.find(it.id);
    if (previous != steps_.end() && previous->second.number == it.step) {
      steps[it.id] = previous->second;
      continue;
    }
    // The times of steps adopted before this process started are not known, so
    // the start of the process stands in for them.
    steps[it.id] = {it.step, is_first ? start_ : now};
    const int64_t previous_number =
        previous == steps_.end() ? 0 : previous->second.number;
    if (it.step > previous_number) deps_.on_cold_start(it.service, it.to);
  }
  steps_ = std::move(steps);
}

std::optional<MoveMetrics> MoveDriver::ComputeMetrics(const Move& move) const {
  const Service* service = config_->FindService(move.service);
  if (service == nullptr) return std::nullopt;
  const auto load_of = [&](const std::string& zone) {
    ZoneLoad out;
    for (const Upstream& it : service->upstreams) {
      if (it.zone != zone) continue;
      out.slots += static_cast<double>(it.slots);
      const auto report = deps_.find_load_report(it.id);
      if (!report) {
        out.is_complete = false;
        continue;
      }
      out.busy += report->in_flight;
      out.oldest = std::min(out.oldest, report->at);
    }
    return out;
  };
  const ZoneLoad target_zone = load_of(move.to);
  const ZoneLoad source_zone = load_of(move.from);
  if (!target_zone.is_complete || !source_zone.is_complete) return std::nullopt;
  MoveMetrics out;
  out.at = std::min(target_zone.oldest, source_zone.oldest);
  out.target_busy = target_zone.busy;
  out.target_slots = target_zone.slots;
  // The source zone serves only the clients that have not moved yet. Its load
  // is scaled up to that of all its clients; with almost none left, the load of
  // the target zone stands in for it.
  const double remaining_fraction = 1 - MovedPercent(move, move.step) / 100;
  static constexpr double kMinRemainingFraction = 0.05;
  out.source_load = remaining_fraction >= kMinRemainingFraction
                        ? source_zone.busy / remaining_fraction
                        : target_zone.busy;
  out.failure_ratio = deps_.failure_ratio(move.service);
  return out;
}

void MoveDriver::Tick(TimePoint now) {
  if (config_ == nullptr) return;
  for (size_t i = 0; i < config_->moves.size(); ++i) {
    const Move& move = config_->moves[i];
    if (move.state != MoveState::kRunning || move.to != deps_.zone) continue;
    const MoveDecision decision =
        PlanMove(move, ComputeMetrics(move), steps_[move.id].adopted_at,
                 config_->limits.lookup_ttl, now);
    if (decision.action != MoveAction::kNextStep &&
        decision.action != MoveAction::kStepBack) {
      continue;
    }
    Config next = *config_;
    ++next.generation;
    next.moves[i].step = decision.step;
    deps_.propose(std::move(next),
                  fmt::format("move {} to step {}: {}", move.id, decision.step,
                              decision.reason));
    return;
  }
}

}  // namespace rwf
