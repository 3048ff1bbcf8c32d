#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"
#include "traffic/cost_estimator.h"
#include "traffic/instance_registry.h"
#include "traffic/placement_types.h"
#include "traffic/remaining_work.h"

namespace rwf {

// Evaluates instances by expected completion: wait for a slot by remaining
// work, cost of the run, speed of the machine. Applies to instances that report
// the speed of their machine and to routes whose runs differ measurably.
class CostEvaluation {
 public:
  // Cost of the slot time that a run takes from later requests, as a ratio of
  // that time, at an instance whose slots are all used.
  static constexpr double kHarmRatio = 0.2;
  // Random difference of cost between instances for requests without an object,
  // as a ratio of the run: with a fresh report and without a report.
  static constexpr double kMinSpread = 0.02;
  static constexpr double kMaxSpread = 0.4;

  // The inputs of one decision.
  struct Inputs {
    bool has_object = false;
    // Whether instances of the service report the speed of their machines.
    bool has_factors = false;
    CostEstimator::RouteCosts costs;
    RemainingWork work;
    uint64_t seed = 0;
    RunCost CostOf(bool is_warm) const;
  };

  // `seed` differs by VM.
  explicit CostEvaluation(uint64_t seed) : seed_(seed) {}
  Inputs InputsOf(const PlacementRequest& request, TimePoint now);
  // An instance that has not reported yet is taken to be like the others of its
  // service. Evaluated otherwise, it would attract the requests of all VMs.
  static bool Applies(const Inputs& inputs, const InstanceState& it) {
    return inputs.costs.is_uneven || it.machine().is_reported() ||
           (inputs.has_factors && !it.has_report());
  }
  // Sets the expected times of a choice of which the instance and its warmth
  // are set. `cold_factor` is the ratio of a run on a cold instance to a cold
  // run.
  static void Evaluate(Inputs* inputs, bool may_be_warm, double cold_factor,
                       Duration network, TimePoint now,
                       PlacementChoice* choice);
  // Records a successful run that took `run` without its expected wait.
  RunReport OnRunEnded(const PlacementRequest& request, InstanceState* instance,
                       ServiceTimeModel::Warmth warmth, TimePoint started_at,
                       Duration run, TimePoint now);
  // Forgets the run times of the request's route, object or not, and object.
  void Forget(const PlacementRequest& request);
  const CostEstimator& estimator() const { return estimator_; }

 private:
  CostEstimator estimator_;
  std::set<std::string> services_with_factors_;
  uint64_t seed_;
};

}  // namespace rwf
