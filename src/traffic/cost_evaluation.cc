#include "traffic/cost_evaluation.h"

#include <algorithm>
#include <cmath>

namespace rwf {
namespace {

using RunKind = CostEstimator::RunKind;

// A run whose expected wait is above this ratio of the time from sending to the
// response tells little of the run itself.
constexpr double kMaxWaitRatio = 0.2;
// Runs that a distribution must be based on to judge a machine by it.
constexpr double kMinJudgingWeight = 10;
// Distance of the seeds of two decisions: above the number of instances.
constexpr uint64_t kSeedStep = 1 << 16;

// Returns a number in [0, 1) that differs for each seed (SplitMix64).
double UniformOf(uint64_t seed) {
  uint64_t n = seed * 0x9e3779b97f4a7c15;
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9;
  n = (n ^ (n >> 27)) * 0x94d049bb133111eb;
  return static_cast<double>((n ^ (n >> 31)) >> 11) /
         static_cast<double>(1ULL << 53);
}

}  // namespace

RunCost CostEvaluation::Inputs::CostOf(bool is_warm) const {
  if (!has_object) return costs.Of(RunKind::kNoObject);
  return costs.Of(is_warm ? RunKind::kWarm : RunKind::kCold);
}

CostEvaluation::Inputs CostEvaluation::InputsOf(const PlacementRequest& request,
                                                TimePoint now) {
  return {
      request.object != 0, services_with_factors_.contains(request.service),
      estimator_.Estimate(request.service, request.route, request.objective,
                          request.object, now),
      RemainingWork(estimator_.OfService(request.service, request.objective),
                    request.objective),
      seed_ += kSeedStep};
}

void CostEvaluation::Evaluate(Inputs* inputs, bool may_be_warm,
                              double cold_factor, Duration network,
                              TimePoint now, PlacementChoice* choice) {
  const InstanceState& it = *choice->instance;
  const RunCost cost = inputs->CostOf(may_be_warm);
  const double factor = it.machine().At(now);
  const double speed = factor * it.machine().UnexplainedAt(now) *
                       RemainingWork::OutlivedRatio(it, now);
  const auto [wait, uncertain_wait] = inputs->work.WaitAt(it, speed, now);
  const bool is_cold = it.IsCold(now);
  const double scale = is_cold ? cold_factor : 1;
  const double run = cost.mean() * speed * scale;
  choice->expected = FromSeconds(run);
  choice->estimate = {
      choice->expected, FromSeconds(inputs->CostOf(inputs->has_object).mean()),
      EstimateOrigin::kDistribution, cost.distribution->measured_weight()};
  choice->expected_total = FromSeconds(run + wait) + network;
  choice->upper_total =
      FromSeconds(cost.upper() * speed * scale + wait) + network;
  // Without a certain warm object the run may be a cold one.
  const RunCost healthy = inputs->CostOf(choice->is_warm);
  choice->healthy_latency =
      FromSeconds(healthy.mean() * factor * scale + wait) + network;
  const auto slots = static_cast<double>(std::max<int64_t>(1, it.info().slots));
  choice->harm =
      uncertain_wait + kHarmRatio * run * std::min(1.0, it.LoadAt(now) / slots);
  // VMs that see the same instances alike must not all choose the same one.
  // The order of an object does that for requests with one.
  if (!inputs->has_object) {
    const double spread =
        kMinSpread + (kMaxSpread - kMinSpread) * (1 - it.ReportWeight(now));
    choice->harm += spread * run * UniformOf(inputs->seed + choice->rank);
  }
}

RunReport CostEvaluation::OnRunEnded(const PlacementRequest& request,
                                     InstanceState* instance,
                                     ServiceTimeModel::Warmth warmth,
                                     TimePoint started_at, Duration run,
                                     TimePoint now) {
  MachineFactor* machine = instance->machine();
  if (machine->is_reported()) services_with_factors_.insert(request.service);
  const double factor = machine->MeanSince(started_at, now);
  const double usual = ToSeconds(run) / factor;
  const double took = ToSeconds(now - started_at);
  const bool is_exact = took - ToSeconds(run) <= took * kMaxWaitRatio &&
                        !instance->has_reported_queue();
  // A part of what the reports do not explain is left to the instance. Not all
  // of it: the estimate of a route must follow when its runs become longer on
  // all instances.
  const double unexplained = std::sqrt(machine->UnexplainedAt(now));
  const RunKind kind = estimator_.Record(
      request.service, request.route, request.objective, warmth, request.object,
      usual / unexplained, is_exact, now);
  const CostEstimator::RouteCosts costs = estimator_.Estimate(
      request.service, request.route, request.objective, request.object, now);
  const RunCost cost = costs.Of(kind);
  // A prior says nothing about the machine.
  if (cost.distribution->weight() >= kMinJudgingWeight) {
    machine->OnRun(ToSeconds(run) / (cost.ratio * cost.distribution->median()),
                   is_exact, started_at, now);
  }
  RunReport out;
  out.usual = factor == 1 ? run : FromSeconds(usual);
  out.upper = FromSeconds(cost.upper() * factor);
  out.factor = factor;
  out.trust = machine->trust();
  out.kind = kind;
  out.share_within =
      estimator_.ShareWithinUpper(request.service, request.route);
  out.is_in_effect = costs.is_uneven || machine->is_reported();
  return out;
}

void CostEvaluation::Forget(const PlacementRequest& request) {
  estimator_.Forget(request.service, request.route, request.objective,
                    request.object);
}

}  // namespace rwf
