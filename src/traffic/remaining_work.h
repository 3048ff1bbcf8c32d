#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "traffic/instance_registry.h"
#include "traffic/run_distribution.h"

namespace rwf {

// Expects how long a request waits at an instance, from the requests that run
// and wait there: those of this VM one by one, those of others by number.
class RemainingWork {
 public:
  // Number of runs of usual length by which the VM's own runs at an instance
  // must have outlived their estimate, together, before the instance itself
  // counts as slow.
  static constexpr double kOutlivedRuns = 3;

  // `others` is the distribution of the runs of other VMs. A run of which
  // nothing is known is taken to last for `fallback_run`.
  RemainingWork(const RunDistribution& others, Duration fallback_run)
      : others_(others), fallback_run_(ToSeconds(fallback_run)) {}

  struct Wait {
    double expected = 0;  // seconds until a slot is free for a further request
    // Mean further wait as the number of others' requests is uncertain.
    double uncertain = 0;
    friend bool operator==(const Wait&, const Wait&) = default;
  };
  // `speed` is the time of a run there relative to a usual machine.
  Wait WaitAt(const InstanceState& it, double speed, TimePoint now);
  // Returns how far the VM's own runs at the instance have outlived their
  // estimates together, at least 1. One long run says nothing of the instance.
  static double OutlivedRatio(const InstanceState& it, TimePoint now);

 private:
  struct OwnRun {
    double elapsed = 0;  // of the run itself; negative: expected to wait still
    double remaining = 0;
    double whole = 0;
  };
  void CollectOwnRuns(const InstanceState& it, double speed, TimePoint now);
  // Returns the wait with `n` requests of other VMs.
  double WaitWithOthers(size_t n, size_t slots, double speed);

  const RunDistribution& others_;
  double fallback_run_;
  // Reused for all instances of one decision.
  std::vector<OwnRun> own_;
  std::vector<double> free_in_;
};

}  // namespace rwf
