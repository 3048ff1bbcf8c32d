#include "entry/move_driver.h"

#include <fmt/format.h>

#include <algorithm>

namespace rwf {
namespace {

// Reports of one service and zone, added up.
struct ZoneSum {
  double busy = 0;
  double slots = 0;
  TimePoint oldest = TimePoint::max();
  bool is_complete = true;
};

}  // namespace

MoveDriver::MoveDriver(Parts parts, TimePoint start)
    : parts_(std::move(parts)), start_(start) {}

void MoveDriver::SetConfig(std::shared_ptr<const Config> config,
                           TimePoint now) {
  const bool is_first = config_ == nullptr;
  config_ = std::move(config);
  std::map<std::string, Step> steps;
  for (const Move& it : config_->moves) {
    const auto known = steps_.find(it.id);
    if (known != steps_.end() && known->second.number == it.step) {
      steps[it.id] = known->second;
      continue;
    }
    // What came before the start of this process is not known here.
    steps[it.id] = {it.step, is_first ? start_ : now};
    const int64_t before = known == steps_.end() ? 0 : known->second.number;
    if (it.step > before) parts_.on_cold(it.service, it.to);
  }
  steps_ = std::move(steps);
}

std::optional<MoveMetrics> MoveDriver::EvidenceOf(const Move& move) const {
  const Service* service = config_->FindService(move.service);
  if (service == nullptr) return std::nullopt;
  const auto sum_of = [&](const std::string& zone) {
    ZoneSum out;
    for (const Upstream& it : service->upstreams) {
      if (it.zone != zone) continue;
      out.slots += static_cast<double>(it.slots);
      const auto report = parts_.find_report(it.id);
      if (!report) {
        out.is_complete = false;
        continue;
      }
      out.busy += report->in_flight;
      out.oldest = std::min(out.oldest, report->at);
    }
    return out;
  };
  const ZoneSum target = sum_of(move.to);
  const ZoneSum source = sum_of(move.from);
  if (!target.is_complete || !source.is_complete) return std::nullopt;
  MoveMetrics out;
  out.at = std::min(target.oldest, source.oldest);
  out.target_busy = target.busy;
  out.target_slots = target.slots;
  // The source's instances serve the clients that have not moved yet.
  const double left = 1 - MovedPercent(move, move.step) / 100;
  static constexpr double kLeastLeft = 0.05;
  out.source_load = left >= kLeastLeft ? source.busy / left : target.busy;
  out.failure_ratio = parts_.failure_ratio(move.service);
  return out;
}

void MoveDriver::Tick(TimePoint now) {
  if (config_ == nullptr) return;
  for (size_t i = 0; i < config_->moves.size(); ++i) {
    const Move& move = config_->moves[i];
    if (move.state != MoveState::kRunning || move.to != parts_.zone) continue;
    const MoveDecision decision =
        PlanMove(move, EvidenceOf(move), steps_[move.id].adopted,
                 config_->limits.lookup_ttl, now);
    if (decision.action != MoveAction::kNextStep &&
        decision.action != MoveAction::kStepBack) {
      continue;
    }
    Config next = *config_;
    ++next.generation;
    next.moves[i].step = decision.step;
    parts_.propose(std::move(next),
                   fmt::format("move {} to step {}: {}", move.id, decision.step,
                               decision.reason));
    return;
  }
}

}  // namespace rwf
