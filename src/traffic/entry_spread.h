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
  TimePoint at_{};
};

// Chooses which entry VMs callers are told of. Callers spread evenly over the
// VMs that they are told of, so a VM with a narrow link is left out as long as
// the others can carry its part: answers would queue on its link.
class EntrySpread {
 public:
  // Part of a link or of a processor that may be in use on average. Above it,
  // one large answer delays the small ones behind it noticeably.
  static constexpr double kUsablePart = 0.35;

  // Requests a second that a VM could carry with everything in use.
  static double RequestsPerSecond(const EntryCapacity& capacity,
                                  const RequestCost& cost);
  // Indexes into `capacities` (requests a second), largest first: as many VMs
  // as can take an even part of `demand` (requests a second) without being
  // used beyond kUsablePart. Where none can, the number of VMs that leaves the
  // busiest one least busy. Empty only if `capacities` is.
  static std::vector<size_t> Choose(const std::vector<double>& capacities,
                                    double demand);
};

}  // namespace rwf
