#include "traffic/entry_vm_selector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
// Nine of ten responses are small, the tenth is a download of 90 KB.
constexpr RequestCost kCost{10'000, 0.0006};
constexpr EntryCapacity kWide{200, 0.5};
constexpr EntryCapacity kNarrow{10, 0.24};

struct EntryVmSelectorFixture {
  std::vector<size_t> Select(const std::vector<EntryCapacity>& vms,
                             double demand) const {
    std::vector<double> capacities;
    capacities.reserve(vms.size());
    for (const EntryCapacity& it : vms)
      capacities.push_back(EntryVmSelector::RequestsPerSecond(it, kCost));
    return EntryVmSelector::Select(capacities, demand).entries;
  }
};

// Load pattern: a zone with wide and narrow links under high load. Spreading
// the load evenly fills the narrow links and delays all responses on them.
TEST_CASE_FIXTURE(EntryVmSelectorFixture,
                  "Selector, links of unequal width, uses the wide ones") {
  const std::vector<EntryCapacity> zone = {kNarrow, kWide, kNarrow, kWide};
  CHECK(Select(zone, 290) == std::vector<size_t>{1, 3});
  // The narrow links can also carry an even share of a small demand.
  CHECK(Select(zone, 60).size() == 4);
  CHECK(Select(zone, 120).size() == 2);
}

TEST_CASE_FIXTURE(EntryVmSelectorFixture,
                  "Selector, wide links lost, uses the narrow ones") {
  CHECK(Select({kNarrow, kNarrow}, 290).size() == 2);
  CHECK(Select({kNarrow}, 290).size() == 1);
  CHECK(Select({}, 290).empty());
}

TEST_CASE_FIXTURE(EntryVmSelectorFixture,
                  "Selector, excess demand, uses the largest total capacity") {
  // 2 of 417/s carry more than 4 of 25/s.
  CHECK(Select({kNarrow, kWide, kNarrow, kWide}, 5000).size() == 2);
  // 6 of 125/s carry more than 1 of 600/s.
  std::vector<double> capacities(6, 125);
  capacities[3] = 600;
  CHECK(EntryVmSelector::Select(capacities, 5000).entries.size() == 6);
  CHECK_FALSE(EntryVmSelector::Select(capacities, 5000).is_sufficient);
  CHECK(EntryVmSelector::Select(capacities, 700).is_sufficient);
}

TEST_CASE_FIXTURE(EntryVmSelectorFixture,
                  "Selector, capacities not specified, uses every VM") {
  CHECK(Select({{}, {}, {}}, 1000).size() == 3);
}

// Guards against a selection that an exhaustive search over all counts would
// improve.
TEST_CASE(
    "Selector, random fleets, is never busier than the best even spread") {
  std::mt19937_64 random(20261204);
  std::uniform_real_distribution<double> capacity(10, 1000);
  for (int round = 0; round < 2000; ++round) {
    std::vector<double> capacities(1 + random() % 8);
    for (double& it : capacities) it = capacity(random);
    const double demand = capacity(random) * 4;
    const auto [chosen, is_sufficient] =
        EntryVmSelector::Select(capacities, demand);
    std::vector<double> sorted = capacities;
    std::sort(sorted.rbegin(), sorted.rend());
    double best = 1e9;
    for (size_t n = 1; n <= sorted.size(); ++n)
      best = std::min(best, demand / (static_cast<double>(n) * sorted[n - 1]));
    const double busiest = demand / (static_cast<double>(chosen.size()) *
                                     capacities[chosen.back()]);
    CHECK(busiest <= std::max(best, 1.0) * 1.000001);
    CHECK(is_sufficient == (best <= 1));
  }
}

TEST_CASE("Rate meter, steady events and then none, converges and decays") {
  RateMeter meter(std::chrono::seconds(2));
  TimePoint now = kStart;
  for (int n = 0; n < 2000; ++n) {
    now += std::chrono::milliseconds(10);
    meter.Add(now);
  }
  CHECK(meter.PerSecond(now) == doctest::Approx(100).epsilon(0.02));
  CHECK(meter.PerSecond(now + std::chrono::seconds(20)) < 0.01);
}

}  // namespace
}  // namespace rwf
