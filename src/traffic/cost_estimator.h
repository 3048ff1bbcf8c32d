#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "traffic/run_distribution.h"
#include "traffic/service_time_model.h"

namespace rwf {

// What one request is expected to cost on a machine of usual speed.
struct RunCost {
  const RunDistribution* distribution = nullptr;
  double ratio = 1;  // of its object to the distribution
  double mean() const { return ratio * distribution->mean(); }
  double upper() const { return ratio * distribution->upper(); }
  friend bool operator==(const RunCost&, const RunCost&) = default;
};

// Learns the distribution of run times by service and route, separately for
// warm and cold objects and for requests without an object, and the ratio of
// single objects to it. Distributions stay at their address.
class CostEstimator {
 public:
  enum class RunKind : uint8_t { kWarm, kCold, kNoObject, kCount };
  // Priors as ratios of the objective, by RunKind.
  static constexpr std::array<double, 3> kPriorRatios = {
      ServiceTimeModel::kInitialWarmRatio, ServiceTimeModel::kInitialColdRatio,
      ServiceTimeModel::kInitialColdRatio};
  // A route is uneven if the spread of one of its kinds of run is above the
  // bound and based on enough runs. Cold caches and ordinary noise stay below.
  // Objects are told apart where the times are uneven. If that explains them,
  // the route is no longer uneven: warmth then decides more than run times.
  static constexpr double kUnevenSpread = 4;
  static constexpr double kMinUnevenWeight = 100;
  // Pairs of service and route that are kept apart; all others share one.
  static constexpr size_t kMaxRoutes = 128;
  // Objects of a route for which a ratio is kept, and the weight, in runs, of
  // the assumption that an object is an ordinary one.
  static constexpr size_t kMaxObjects = 256;
  static constexpr double kObjectPriorWeight = 2;
  static constexpr double kMaxObjectWeight = 20;
  // Time after which the runs of an object have half of their weight. A ratio
  // that keeps requests away is corrected by no run.
  static constexpr Duration kObjectHalfLife = RunDistribution::kHalfLife;
  // Weight of one run in the share of runs within the estimated quantile.
  static constexpr double kShareGain = 0.01;

  struct RouteCosts {
    std::array<RunCost, 3> by_kind;  // by RunKind
    bool is_uneven = false;
    const RunCost& Of(RunKind kind) const {
      return by_kind[static_cast<size_t>(kind)];
    }
  };

  RouteCosts Estimate(const std::string& service, const std::string& route,
                      Duration objective, uint64_t object, TimePoint now);
  // Records a run that took `seconds` on a machine of usual speed. Returns its
  // kind, decided by the time it took if the object's warmth is uncertain. A
  // time that may contain unknown waiting (`is_exact` false) counts only until
  // enough others are known.
  RunKind Record(const std::string& service, const std::string& route,
                 Duration objective, ServiceTimeModel::Warmth warmth,
                 uint64_t object, double seconds, bool is_exact, TimePoint now);
  // Forgets the runs of the route with an object, and the ratio of this object,
  // or those without one if `object` is 0.
  void Forget(const std::string& service, const std::string& route,
              Duration objective, uint64_t object);
  // Distribution of all runs of a service.
  const RunDistribution& OfService(const std::string& service,
                                   Duration objective);
  // Share of the route's runs that took at most the estimated upper quantile.
  double ShareWithinUpper(const std::string& service,
                          const std::string& route) const;

 private:
  struct ObjectRatio {
    double log_sum = 0;
    double weight = 0;
    TimePoint at{};
    double DecayAt(TimePoint now) const;
    double RatioAt(TimePoint now) const;
  };
  struct Route {
    explicit Route(Duration objective);
    static bool HasUneven(const std::array<RunDistribution, 3>& kinds);
    // Returns the ratio of the object, 1 until the route's times are uneven.
    double RatioOf(uint64_t object, TimePoint now) const;
    // Run times, and run times divided by the ratio of their object.
    std::array<RunDistribution, 3> raw;
    std::array<RunDistribution, 3> by_kind;
    std::unordered_map<uint64_t, ObjectRatio> objects;
    bool tells_objects_apart = false;  // once the times were uneven
    double share_within = RunDistribution::kUpperQuantile;
  };
  Route& Find(const std::string& service, const std::string& route,
              Duration objective);
  static void RecordObject(Route* route, uint64_t object, double ratio,
                           TimePoint now);

  std::map<std::pair<std::string, std::string>, Route> routes_;
  std::map<std::string, RunDistribution> services_;
};

}  // namespace rwf
