#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "traffic/placement.h"

namespace rwf {

// A load pattern for instances of one service that several VMs send to.
struct LoadPattern {
  struct Kind {
    std::string route;
    double weight = 1;
    double seconds = 0.3;  // of a run on a usual machine, with a warm object
    Duration objective = std::chrono::milliseconds(600);
    int objects = 0;  // 0: requests have no object
  };
  std::string name;
  std::vector<Kind> kinds;
  double long_fraction = 0;  // of the runs, which take kLongRatio times as long
  // Factor of a machine at a time, and the one that its instance reports; null:
  // always 1, not reported.
  std::function<double(size_t instance, double seconds)> factor;
  std::function<double(size_t instance, double seconds)> reported;
  double load = 0.75;  // mean work per slot
  size_t vms = 4;
  size_t instances = 24;
  size_t slots = 6;
  double peer_period = 0.2;  // seconds between reports among VMs
  // Part of the gap to the reference that must be closed, and the share that
  // may be lost where the present evaluation is near the reference already.
  double min_gap_closed = 0;
  double max_loss = 0;

  static constexpr double kLongRatio = 7;
  static constexpr double kColdRatio = 2.5;
};

enum class TestPolicy {
  kToday,
  kCostAware,
  kFewestRequests,
  kLeastWork,
  kTwoChoices,
  kReference,  // knows the true costs and the state of every instance
};

struct LoadResult {
  int requested = 0;
  int in_time = 0;
  int refused = 0;
  uint64_t choices = 0;     // digest of all choices
  double share_within = 0;  // of the first route, as the estimator sees it
  double Share() const { return static_cast<double>(in_time) / requested; }
};

// Plays the pattern on virtual time. The first quarter is not counted.
LoadResult Play(const LoadPattern& pattern, TestPolicy policy, double seconds,
                unsigned seed);

}  // namespace rwf
