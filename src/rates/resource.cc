#include "rates/resource.h"

#include <algorithm>

namespace rwf {
namespace {

// Reserve above the recent demand, in percent of it. It lets all VMs together
// run at 95% of a rate without a total need above the rate.
constexpr int64_t kReservePercent = 5;

}  // namespace

Slice OwnNeed(const Resource& resource, TimePoint now) {
  const ResourceAccount& account = resource.account;
  const bool idle = resource.demand.IsIdle(now);
  if (idle && resource.waiting == 0) return {};
  if (resource.IsSlots()) {
    const int64_t peak =
        std::max(resource.demand.PeakLevel(), account.HeldSlots());
    return {0,
            std::min(resource.fleet_total.capacity, peak + resource.waiting)};
  }
  const Slice& fleet_total = resource.fleet_total;
  const int64_t recent =
      std::min(resource.demand.PerSecond(resource.Unit()), fleet_total.rate);
  Slice need;
  need.rate = std::min(fleet_total.rate,
                       recent + FloorShare(recent, kReservePercent, 100));
  // Capacity in proportion to the rate, plus two requests and those that wait.
  const int64_t shortfall = std::max<int64_t>(
      0, resource.waiting * resource.Unit() - account.level());
  need.capacity =
      FloorShare(fleet_total.capacity, need.rate, fleet_total.rate) +
      2 * resource.Unit() + shortfall;
  need.capacity = std::min(need.capacity, fleet_total.capacity);
  return need;
}

int64_t LendableTokens(const Resource& resource, TimePoint now) {
  if (resource.IsSlots() || resource.waiting > 0) return 0;
  const ResourceAccount& account = resource.account;
  const int64_t kept =
      resource.demand.IsIdle(now) ? 0 : account.usable().capacity / 2;
  return std::max<int64_t>(0, account.level() - kept);
}

int64_t TokenShortfall(const Resource& resource) {
  if (resource.IsSlots()) return 0;
  return std::max<int64_t>(
      0, resource.waiting * resource.Unit() - resource.account.level());
}

}  // namespace rwf
