#include "traffic/entry_vm_selector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace rwf {
namespace {

constexpr double kBitsPerMegabit = 1e6;
// Capacity of a VM that specifies no limits.
constexpr double kUnbounded = 1e9;

}  // namespace

void RateMeter::Add(TimePoint now) {
  per_second_ = PerSecond(now) + 1 / ToSeconds(window_);
  updated_at_ = now;
}

double RateMeter::PerSecond(TimePoint now) const {
  return per_second_ *
         std::exp(-ToSeconds(now - updated_at_) / ToSeconds(window_));
}

double EntryVmSelector::RequestsPerSecond(const EntryCapacity& capacity,
                                          const RequestCost& cost) {
  double out = kUnbounded;
  if (capacity.link_mbps > 0 && cost.bytes > 0) {
    out = std::min(out, kMaxLinkUtilization * capacity.link_mbps *
                            kBitsPerMegabit / (8 * cost.bytes));
  }
  if (capacity.cpu_share > 0 && cost.cpu_seconds > 0) {
    out = std::min(out,
                   kMaxCpuUtilization * capacity.cpu_share / cost.cpu_seconds);
  }
  return out;
}

EntryVmSelector::Selection EntryVmSelector::Select(
    const std::vector<double>& capacities, double demand) {
  std::vector<size_t> order(capacities.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return capacities[a] > capacities[b];
  });
  size_t sufficient_count = 0;
  size_t best_count = 0;
  double max_total = -1;
  for (size_t n = 1; n <= order.size(); ++n) {
    const double smallest = capacities[order[n - 1]];
    const double total = static_cast<double>(n) * smallest;
    if (demand <= total) sufficient_count = n;
    if (total <= max_total) continue;
    max_total = total;
    best_count = n;
  }
  order.resize(sufficient_count > 0 ? sufficient_count : best_count);
  return {std::move(order), sufficient_count > 0};
}

}  // namespace rwf
