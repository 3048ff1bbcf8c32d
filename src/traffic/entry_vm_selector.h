#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace rwf {

// What an entry VM has for its callers. Zero: not stated, and no bound.
struct EntryCapacity {
  double link_mbps = 0;  // of its own network link, each way
  double cpu_share = 0;  // of one core
  friend bool operator==(const EntryCapacity&, const EntryCapacity&) = default;
};

// Mean cost of one request to the entry VM that takes it.
struct RequestCost {
  double bytes = 0;        // through its link, each way
  double cpu_seconds = 0;  // of one core
  friend bool operator==(const RequestCost&, const RequestCost&) = default;
};

// Mean number of events a second, over an exponentially fading window.
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

// Chooses which entry VMs callers are told of. Callers spread evenly over the
// VMs that they are told of, so a VM with a narrow link is left out as long as
// the others can carry its part: answers would queue on its link.
class EntryVmSelector {
 public:
  // Part of a link that may be in use on average. A download takes the whole
  // link while it lasts, so small answers wait behind it long before the link
  // is full.
  static constexpr double kMaxLinkUtilization = 0.2;
  // Part of a processor that may be in use on average; the rest is for bursts.
  static constexpr double kMaxCpuUtilization = 0.5;

  struct Selection {
    // Indexes of VMs, largest capacity first; empty only if there are none.
    std::vector<size_t> entries;
    // Whether these can carry the demand.
    bool is_sufficient = false;
  };

  // Requests a second that a VM can carry without delaying answers.
  static double RequestsPerSecond(const EntryCapacity& capacity,
                                  const RequestCost& cost);
  // As many VMs as can take an even part of `demand`, both in requests a
  // second. Where no number of them can, the one that leaves the busiest VM
  // least busy.
  static Selection Select(const std::vector<double>& capacities, double demand);
};

}  // namespace rwf
