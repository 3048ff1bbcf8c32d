#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace rwf {

// Resources of an entry VM. Zero means unspecified and therefore unlimited.
struct EntryCapacity {
  double link_mbps = 0;  // network link, in each direction
  double cpu_share = 0;  // fraction of one core
  friend bool operator==(const EntryCapacity&, const EntryCapacity&) = default;
};

// Mean cost of a request to the entry VM that receives it.
struct RequestCost {
  double bytes = 0;        // over its link, in each direction
  double cpu_seconds = 0;  // of one core
  friend bool operator==(const RequestCost&, const RequestCost&) = default;
};

// Mean number of events per second over an exponentially decaying window.
class RateMeter {
 public:
  explicit RateMeter(Duration window) : window_(window) {}
  void Add(TimePoint now);
  double PerSecond(TimePoint now) const;

 private:
  Duration window_;
  double per_second_ = 0;
  TimePoint updated_at_{};
};

// Selects the entry VMs that are announced to callers. Callers spread evenly
// over the announced VMs, so a VM with a narrow link is left out while the
// others can carry its share: responses would queue on its link.
class EntryVmSelector {
 public:
  // Fraction of a link that may be in use on average. A download takes the
  // whole link while it lasts, so small responses queue behind it long before
  // the link is full.
  static constexpr double kMaxLinkUtilization = 0.2;
  // Fraction of a core that may be in use on average. The rest absorbs bursts.
  static constexpr double kMaxCpuUtilization = 0.5;

  struct Selection {
    // Indexes of the selected VMs, largest capacity first. Empty only if there
    // are no VMs.
    std::vector<size_t> entries;
    // Whether the selected VMs can carry the demand.
    bool is_sufficient = false;
  };

  // Returns the requests per second that a VM can carry without delaying
  // responses.
  static double RequestsPerSecond(const EntryCapacity& capacity,
                                  const RequestCost& cost);
  // Selects the largest number of VMs that can each carry an even share of
  // `demand`. If no number of VMs can, selects the number that minimizes the
  // utilization of the busiest VM. Capacities and demand are in requests per
  // second.
  static Selection Select(const std::vector<double>& capacities, double demand);
};

}  // namespace rwf
