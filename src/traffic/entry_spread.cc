#include "traffic/entry_spread.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace rwf {
namespace {

constexpr double kBitsPerMegabit = 1e6;
// Stands for a VM that states no bounds.
constexpr double kUnbounded = 1e9;

}  // namespace

void RateMeter::Add(TimePoint now) {
  per_second_ = PerSecond(now) + 1 / ToSeconds(window_);
  at_ = now;
}

double RateMeter::PerSecond(TimePoint now) const {
  return per_second_ * std::exp(-ToSeconds(now - at_) / ToSeconds(window_));
}

double EntrySpread::RequestsPerSecond(const EntryCapacity& capacity,
                                      const RequestCost& cost) {
  double out = kUnbounded;
  if (capacity.link_mbps > 0 && cost.bytes > 0) {
    out = std::min(out, kUsableLinkPart * capacity.link_mbps * kBitsPerMegabit /
                            (8 * cost.bytes));
  }
  if (capacity.cpu_share > 0 && cost.cpu_seconds > 0) {
    out = std::min(out, kUsableCpuPart * capacity.cpu_share / cost.cpu_seconds);
  }
  return out;
}

EntrySpread::Choice EntrySpread::Choose(const std::vector<double>& capacities,
                                        double demand) {
  std::vector<size_t> order(capacities.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return capacities[a] > capacities[b];
  });
  size_t fitting = 0;
  size_t least_busy = 0;
  double most_carried = -1;
  for (size_t n = 1; n <= order.size(); ++n) {
    const double smallest = capacities[order[n - 1]];
    const double carried = static_cast<double>(n) * smallest;
    if (demand <= carried) fitting = n;
    if (carried <= most_carried) continue;
    most_carried = carried;
    least_busy = n;
  }
  order.resize(fitting > 0 ? fitting : least_busy);
  return {std::move(order), fitting > 0};
}

}  // namespace rwf
