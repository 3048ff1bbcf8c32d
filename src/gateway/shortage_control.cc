#include "gateway/shortage_control.h"

#include <algorithm>
#include <utility>

namespace rwf {
namespace {

// Causes of a refused place that pass when runs end.
constexpr RejectionCause kCapacityCauses[] = {
    RejectionCause::kFull, RejectionCause::kLate, RejectionCause::kColdRun,
    RejectionCause::kDeadline};

// Delay after which callers refused by a stopping VM should retry. Another VM
// can take the request at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

// Whether an attempt with this outcome held a slot until now.
bool HeldSlot(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kShed:
    case AttemptOutcome::kDeclined:
    case AttemptOutcome::kMisdirected:
      return false;
    case AttemptOutcome::kSucceeded:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kInstanceError:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kCancelled:
      return true;
  }
  return true;
}

}  // namespace

ShortageControl::ShortageControl(EventLoop* loop, InstanceRegistry* registry,
                                 Placement* placement, Handlers handlers)
    : loop_(loop),
      registry_(registry),
      placement_(placement),
      handlers_(std::move(handlers)) {
  timer_ = loop->Every(kInterval, [this] { Tick(kMaxRefusals); });
}

bool ShortageControl::MayWait(const PlacementRequest& request,
                              const PlacementChoice& refusal,
                              TimePoint now) const {
  if (refusal.reason != PlacementRefusal::kNoCapacity ||
      refusal.local_load < Placement::kUnrestrictedLoad ||
      !refusal.details.is_time_measured)
    return false;
  const auto& rejected = refusal.details.rejected;
  if (std::none_of(std::begin(kCapacityCauses), std::end(kCapacityCauses),
                   [&](RejectionCause it) {
                     return rejected[static_cast<size_t>(it)] > 0;
                   }))
    return false;
  const auto& instances = registry_->OfService(request.service);
  return std::any_of(instances.begin(), instances.end(),
                     [&](const InstanceState* it) {
                       return it->ReportWeight(now) >= kMinReportWeight;
                     });
}

bool ShortageControl::Offer(uint64_t id, const std::string& workspace,
                            const PlacementRequest& request,
                            TimePoint arrived_at, TimePoint deadline,
                            Duration* retry_after) {
  const ServiceTimeModel::Times times = placement_->service_times()->Expected(
      request.route, request.objective, request.object != 0);
  // As placement assumes for queued runs, two thirds are warm.
  const Duration run = (times.warm * 2 + times.cold) / 3;
  const auto refusal =
      queue_.Offer({id, request.service, workspace, request.priority, run,
                    arrived_at + request.objective, deadline},
                   EventLoop::Now());
  if (!refusal) {
    ScheduleExpiry();
    return true;
  }
  *retry_after = *refusal;
  return false;
}

void ShortageControl::OnSent(uint64_t id, const std::string& service,
                             const std::string& workspace, TimePoint now) {
  queue_.OnStarted(service, workspace, id, now);
}

void ShortageControl::OnEnded(const std::string& service,
                              AttemptOutcome outcome, TimePoint now) {
  if (!HeldSlot(outcome)) return;
  queue_.OnEnded(service, now);
  if (queue_.size() == 0 || ended_timer_ != nullptr) return;
  ended_timer_ = loop_->After(Duration::zero(), [this] { OnEndedTimer(); });
}

void ShortageControl::StartWaiting(const std::string& service, TimePoint now,
                                   int max_refusals) {
  int refusals = 0;
  for (const uint64_t id : queue_.Next(service, kMaxStarts, now)) {
    // Starting one request may have ended others.
    if (!queue_.IsQueued(id) || handlers_.try_start(id)) continue;
    if (++refusals >= max_refusals) return;
  }
}

void ShortageControl::OnEndedTimer() {
  ended_timer_.reset();
  Tick(kMaxRefusalsAfterEnd);
}

void ShortageControl::Tick(int max_refusals) {
  if (queue_.size() == 0) return;
  const TimePoint now = EventLoop::Now();
  for (const std::string& service : queue_.WaitingServices())
    StartWaiting(service, now, max_refusals);
  RefuseExpired();
}

void ShortageControl::RefuseExpired() {
  for (const AdmissionQueue::Refusal& it : queue_.TakeRefused(EventLoop::Now()))
    handlers_.refuse(it.id, it.retry_after);
  ScheduleExpiry();
}

void ShortageControl::ScheduleExpiry() {
  expiry_timer_.reset();
  const std::optional<TimePoint> expiry = queue_.NextExpiry();
  if (!expiry) return;
  const Duration wait = *expiry - EventLoop::Now();
  expiry_timer_ = loop_->After(std::max(wait, Duration::zero()),
                               [this] { RefuseExpired(); });
}

void ShortageControl::RefuseAll() {
  for (const uint64_t id : queue_.Clear())
    handlers_.refuse(id, kStoppingRetryAfter);
}

void ShortageControl::AddMetrics(Metrics* metrics) const {
  metrics->AddGauge("rwf_waiting_requests",
                    "Requests that wait for capacity of their service",
                    [this] { return double(queue_.size()); });
  using Counters = AdmissionQueue::Counters;
  struct Outcome {
    const char* name;
    uint64_t Counters::*count;
  };
  static constexpr Outcome kOutcomes[] = {
      {"queued", &Counters::queued},
      {"started", &Counters::started},
      {"refused-at-arrival", &Counters::refused_at_arrival},
      {"displaced", &Counters::displaced},
      {"expired", &Counters::expired},
      {"cancelled", &Counters::cancelled}};
  for (const Outcome& it : kOutcomes) {
    metrics->AddGauge(
        "rwf_waiting_requests_total",
        "Requests without capacity, by what became of them",
        [this, count = it.count] { return double(queue_.counters().*count); },
        {{"outcome", it.name}});
  }
}

}  // namespace rwf
