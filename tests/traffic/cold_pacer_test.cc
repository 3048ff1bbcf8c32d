#include "traffic/cold_pacer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "traffic/placement.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kSecond = std::chrono::seconds(1);

InstanceInfo ColdInstance() {
  InstanceInfo out;
  out.id = "cold";
  out.service = "s";
  out.zone = "r0-a";
  out.region = "r0";
  out.slots = 100;
  return out;
}

// Several VMs in three regions, all of which want to send to one cold instance
// of the first region at any time.
class ColdFleet {
 public:
  ColdFleet(size_t vms, double rate, uint64_t seed) : vms_(vms), rate_(rate) {
    for (size_t n = 0; n < vms; ++n) {
      PlacementSettings settings;
      settings.region = "r" + std::to_string(n % 3);
      settings.pacing_seed = seed * 1000 + n;
      registries_.push_back(std::make_unique<InstanceRegistry>());
      registries_[n]->Put(ColdInstance(), kStart);
      placements_.push_back(
          std::make_unique<Placement>(settings, registries_[n].get()));
      placements_[n]->SetVmCount(vms);
    }
  }

  // Returns the most requests within a second.
  size_t Run(Duration time) {
    size_t worst = 0;
    std::deque<TimePoint> sent;
    for (auto& it : registries_) it->Find("cold")->SetColdUntil(now_ + time);
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (size_t n = 0; n < vms_; ++n) {
        const PlacementChoice choice =
            placements_[n]->Choose(request_, rate_, VmsInRegion(n), now_);
        if (choice.instance == nullptr) continue;
        placements_[n]->OnSent(request_, choice, rate_, VmsInRegion(n), now_);
        sent.push_back(now_);
        ++total;
      }
      while (!sent.empty() && sent.front() <= now_ - kSecond) sent.pop_front();
      worst = std::max(worst, sent.size());
    }
    return worst;
  }

  size_t total = 0;

 private:
  // Regions get the VMs in turn.
  size_t VmsInRegion(size_t n) const { return (vms_ - n % 3 + 2) / 3; }

  size_t vms_;
  double rate_;
  TimePoint now_ = kStart;
  PlacementRequest request_{.service = "s",
                            .route = "r",
                            .objective = std::chrono::milliseconds(600),
                            .time_left = std::chrono::seconds(2)};
  std::vector<std::unique_ptr<InstanceRegistry>> registries_;
  std::vector<std::unique_ptr<Placement>> placements_;
};

// Load pattern: a cold instance is the only one that takes requests, so that
// the VMs of all regions send to it. Guards against a rate that only counts the
// VMs of one region, and against all VMs sending as a cold period begins.
TEST_CASE("Cold instance, wanted by VMs of all regions, stays near its rate") {
  struct Row {
    size_t vms;
    double rate;
    double slack;  // requests allowed beyond one and a half times the rate
  };
  for (const Row& row :
       std::vector<Row>{{7, 2.6, 5}, {7, 5.3, 5}, {25, 2.6, 8}, {25, 5.3, 8}}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(row.vms);
      CAPTURE(row.rate);
      CAPTURE(seed);
      ColdFleet fleet(row.vms, row.rate, seed);
      const auto allowed = static_cast<size_t>(1.5 * row.rate + row.slack);
      // Two periods: the second one begins without requests in flight.
      CHECK(fleet.Run(10 * kSecond) <= allowed);
      CHECK(fleet.Run(10 * kSecond) <= allowed);
      CHECK(static_cast<double>(fleet.total) >= 0.8 * row.rate * 20);
    }
  }
}

TEST_CASE("Cold pacer, no known rate, does not hold requests back") {
  ColdPacer pacer(1);
  for (int n = 0; n < 5; ++n)
    CHECK(pacer.TryAcquire("i", {kStart + kSecond, 0, 3}, kStart));
}

TEST_CASE("Cold pacer, one VM, keeps the rate from its first interval on") {
  ColdPacer pacer(1);
  const ColdPacer::Pace pace = {kStart + 10 * kSecond, 4, 1};
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + 10 * kSecond; now += kStep)
    sent += pacer.TryAcquire("i", pace, now) ? 1 : 0;
  CHECK(sent >= 38);
  CHECK(sent <= 40);
}

}  // namespace
}  // namespace rwf
