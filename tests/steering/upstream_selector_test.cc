#include "steering/upstream_selector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "../../bench/fleet_sim.h"
#include "../../bench/sample_fleet.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Counts the slots taken of each instance, up to the configured number.
class CountingSlots : public SlotSource {
 public:
  explicit CountingSlots(const Service& service) {
    for (const Upstream& upstream : service.upstreams) {
      limits_.push_back(upstream.slots);
    }
    taken.assign(limits_.size(), 0);
  }
  bool TryAcquire(size_t instance, TimePoint) override {
    if (taken[instance] >= limits_[instance]) return false;
    ++taken[instance];
    return true;
  }
  std::vector<int64_t> taken;

 private:
  std::vector<int64_t> limits_;
};

class FakeLinkBudget : public LinkBudget {
 public:
  bool HasCapacity(size_t, TimePoint) override { return has_capacity; }
  bool has_capacity = true;
};

// Two regions of two zones with three instances of two slots each; instances
// 0, 4 and 8 are in the own zone r0a, 1, 5 and 9 in r0b.
struct Fixture {
  std::optional<UpstreamSelector::Selection> Select(
      std::optional<size_t> avoid = std::nullopt) {
    return selector.Select(slots, links, avoid, rng, now);
  }
  void Fail(size_t instance, int times) {
    for (int i = 0; i < times; ++i) {
      Occupy(instance);
      --slots.taken[instance];
      selector.OnFailure(instance, now);
    }
  }
  // Sends one request to the instance.
  void Occupy(size_t instance) {
    CountingSlots only(config.services[0]);
    for (size_t i = 0; i < only.taken.size(); ++i) {
      if (i != instance) only.taken[i] = 1000;
    }
    UpstreamSelector::Selection got =
        selector.Select(only, links, std::nullopt, rng, now).value();
    REQUIRE(got.instance == instance);
    ++slots.taken[instance];
  }
  int CountPicked(size_t instance, int n) {
    int picked = 0;
    for (int i = 0; i < n; ++i) {
      const auto got = Select();
      REQUIRE(got);
      picked += got->instance == instance ? 1 : 0;
      --slots.taken[got->instance];
      selector.OnCancelled(got->instance);
    }
    return picked;
  }

  Config config = MakeFleetConfig(2, 2, 12, 2, 7);
  UpstreamSelector selector{config, 0, "r0a"};
  CountingSlots slots{config.services[0]};
  FakeLinkBudget links;
  pcg32 rng{7};
  TimePoint now{seconds(1000)};
};

TEST_CASE_FIXTURE(
    Fixture,
    "UpstreamSelector, slots run out, goes from zone to region to "
    "other regions and then selects none") {
  std::vector<Tier> tiers;
  while (const auto got = Select()) tiers.push_back(got->tier);
  CHECK(tiers.size() == 24);
  CHECK(std::is_sorted(tiers.begin(), tiers.end()));
  CHECK(std::count(tiers.begin(), tiers.end(), Tier::kOwnZone) == 6);
  CHECK(std::count(tiers.begin(), tiers.end(), Tier::kOwnRegion) == 6);
}

TEST_CASE_FIXTURE(Fixture,
                  "UpstreamSelector, no link capacity, stays in its region") {
  links.has_capacity = false;
  int n = 0;
  while (Select()) ++n;
  CHECK(n == 12);
}

TEST_CASE_FIXTURE(Fixture,
                  "UpstreamSelector, consecutive failures, ejects with "
                  "exponential backoff and returns in slow start") {
  Fail(1, 2);
  CHECK_FALSE(selector.IsEjected(1, now));
  // Ejecting one of three instances would exceed the cap of 30%.
  Fail(0, 3);
  CHECK_FALSE(selector.IsEjected(0, now));
  CHECK(CountPicked(0, 50) == 0);

  Config large = MakeFleetConfig(1, 2, 8, 2, 7);
  selector = UpstreamSelector(large, 0, "r0a");
  slots = CountingSlots(large.services[0]);
  config = large;
  Duration expected = seconds(1);
  for (int round = 0; round < 7; ++round) {
    Fail(0, round == 0 ? 3 : 1);
    CHECK(selector.IsEjected(0, now));
    CHECK(selector.IsEjected(0, now + expected - milliseconds(1)));
    CHECK_FALSE(selector.IsEjected(0, now + expected));
    now += expected;
    expected = std::min<Duration>(expected * 2, seconds(30));
  }
  // Slow start allows one of its two slots.
  Occupy(0);
  CHECK(CountPicked(0, 50) == 0);
  --slots.taken[0];
  selector.OnCancelled(0);
  now += seconds(10);
  CHECK(CountPicked(0, 50) > 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "UpstreamSelector, all instances fail, ejects at most 30% of "
                  "each zone and still serves") {
  config = MakeFleetConfig(2, 2, 80, 2, 7);  // 20 in each zone
  selector = UpstreamSelector(config, 0, "r0a");
  slots = CountingSlots(config.services[0]);
  for (size_t i = 0; i < 80; ++i) Fail(i, 3);
  std::vector<int> ejected(4, 0);
  for (size_t i = 0; i < 80; ++i) ejected[i % 4] += selector.IsEjected(i, now);
  CHECK(ejected == std::vector<int>(4, 6));
  int n = 0;
  while (Select()) ++n;
  CHECK(n == 4 * (20 - 6) * 2);
}

TEST_CASE_FIXTURE(
    Fixture, "UpstreamSelector, table of faults, prefers healthy instances") {
  struct Case {
    const char* name;
    void (*arrange)(Fixture*);
    double min_fraction;  // of the traffic that instance 0 gets
    double max_fraction;
  };
  const Case cases[] = {
      {"no fault", [](Fixture*) {}, 0.2, 0.5},
      {"misleading report: idle, but busy with own requests",
       [](Fixture* f) {
         for (size_t i : {0, 4, 8}) f->selector.OnReport(i, {0, 2, f->now});
         f->Occupy(0);
         f->selector.OnReport(0, {0, 100, f->now});
       },
       0, 0.1},
      {"misleading report: idle, but it sheds",
       [](Fixture* f) {
         for (size_t i : {4, 8}) f->selector.OnReport(i, {2, 2, f->now});
         f->selector.OnReport(0, {0, 2, f->now});
         f->Occupy(0);
         --f->slots.taken[0];
         f->selector.OnShed(0, f->now);
       },
       0, 0},
      {"report of more capacity than configured",
       [](Fixture* f) {
         for (size_t i : {0, 4, 8}) f->selector.OnReport(i, {0, 2, f->now});
         f->selector.OnReport(0, {0, 1e9, f->now});
       },
       0.2, 0.5},
      {"report of no capacity",
       [](Fixture* f) {
         for (size_t i : {0, 4, 8}) f->selector.OnReport(i, {0, 2, f->now});
         f->selector.OnReport(0, {0, 0, f->now});
       },
       0, 0.1},
      {"report that is not a number",
       [](Fixture* f) {
         f->selector.OnReport(0, {NAN, 2, f->now});
       },
       0.2, 0.5},
      {"reports of 0 stopped, others half busy: 0 is not taken for idle",
       [](Fixture* f) {
         f->selector.OnReport(0, {0, 2, f->now - milliseconds(3001)});
         for (size_t i : {4, 8}) f->selector.OnReport(i, {1, 2, f->now});
       },
       0, 0.1},
      {"reports of all stopped",
       [](Fixture* f) {
         for (size_t i : {0, 4, 8}) {
           f->selector.OnReport(i, {0, 2, f->now - seconds(9)});
         }
       },
       0.2, 0.5},
      {"crashed", [](Fixture* f) { f->Fail(0, 3); }, 0, 0},
      {"shed recently",
       [](Fixture* f) {
         f->Occupy(0);
         --f->slots.taken[0];
         f->selector.OnShed(0, f->now);
       },
       0, 0},
      {"cold", [](Fixture* f) { f->selector.OnColdStart(0, f->now); }, 0, 0.1},
      {"restarted 10 s ago",
       [](Fixture* f) { f->selector.OnColdStart(0, f->now - seconds(10)); },
       0.2, 0.5},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    Fixture fixture;
    c.arrange(&fixture);
    const double fraction = fixture.CountPicked(0, 400) / 400.0;
    CHECK(fraction >= c.min_fraction);
    CHECK(fraction <= c.max_fraction);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "UpstreamSelector, drain accepted, selects no drained "
                  "instance and keeps the state of the others") {
  Occupy(4);
  Config next = config;
  next.drains.push_back({DrainKind::kUpstream, "desk-0"});
  next.drains.push_back({DrainKind::kZone, "r0b"});
  next.services[0].upstreams.erase(next.services[0].upstreams.begin() + 8);
  const auto index = selector.Reconfigure(next, 0, now);
  CHECK(index[8] == SIZE_MAX);
  CHECK(index[9] == 8);
  CHECK(selector.in_flight(4) == 1);
  CHECK(CountPicked(0, 50) == 0);
  while (const auto got = Select()) {
    CHECK(got->instance != 0);
    CHECK(next.services[0].upstreams[got->instance].zone != "r0b");
  }
  const auto explained = selector.Explain(links, now);
  REQUIRE(explained.size() == 11);
  CHECK(explained.back().state == CandidateState::kDraining);
}

TEST_CASE_FIXTURE(Fixture,
                  "Explain, mixed states, lists all in order of preference") {
  Fail(4, 3);
  selector.OnColdStart(8, now);
  links.has_capacity = false;
  const auto all = selector.Explain(links, now);
  REQUIRE(all.size() == 12);
  CHECK(all[0].id == "desk-0");
  CHECK(all[1].state == CandidateState::kWarmingUp);
  CHECK(all[2].state == CandidateState::kFailing);
  CHECK(all[2].retry_after == seconds(1));
  CHECK(all[11].state == CandidateState::kNoLinkCapacity);
  std::set<size_t> distinct;
  for (const Candidate& candidate : all) distinct.insert(candidate.instance);
  CHECK(distinct.size() == 12);
}

// At 80% load, requests that went to other regions without a wait filled the
// fleet.
TEST_CASE_FIXTURE(Fixture,
                  "UpstreamSelector, region busy, spills only after the wait") {
  const auto select = [&](Duration waited) {
    return selector.Select(slots, links, std::nullopt, rng, now, waited);
  };
  for (int i = 0; i < 12; ++i) REQUIRE(select(Duration::zero()));
  CHECK(selector.MinSpillWait() == milliseconds(40));
  CHECK_FALSE(select(milliseconds(39)));
  const auto spilled = select(milliseconds(40));
  REQUIRE(spilled);
  CHECK(spilled->tier == Tier::kOtherRegion);
  // Failing instances are not used while another region has a free slot.
  Fixture failing;
  for (size_t i : {0, 1, 4, 5, 8, 9}) failing.Fail(i, 3);
  const auto at_once = failing.selector.Select(
      failing.slots, failing.links, std::nullopt, rng, now, Duration::zero());
  REQUIRE(at_once);
  CHECK(at_once->tier == Tier::kOtherRegion);
}

TEST_CASE("UpstreamSelector, instance of an earlier attempt, is avoided") {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) {
    const auto got = fixture.Select(4);
    REQUIRE(got);
    CHECK(got->instance != 4);
    --fixture.slots.taken[got->instance];
    fixture.selector.OnCancelled(got->instance);
  }
}

// Compares with naive least-loaded steering, which sends all traffic to one
// instance between two of the same lagging reports.
TEST_CASE(
    "UpstreamSelector, lagging or misleading reports, beats naive steering") {
  const Config config = MakeFleetConfig(3, 2, 30, 6, 6);
  for (const bool misleading : {false, true}) {
    CAPTURE(misleading);
    SimOptions options;
    options.length = seconds(20);
    options.has_misreporting_instances = misleading;
    const SimResult ours = FleetSim(config, options).Run();
    options.policy = SimPolicy::kLeastReportedLoad;
    const SimResult naive = FleetSim(config, options).Run();
    CHECK(ours.completed > 20'000);
    CHECK(ours.p99_ms < naive.p99_ms / 2);
    CHECK(ours.region_peak_percent <= 100);
    CHECK(naive.region_peak_percent > 100);
  }
}

TEST_CASE("UpstreamSelector, zone failed, overloads no region and recovers") {
  const Config config = MakeFleetConfig(3, 2, 30, 6, 6);
  for (const bool loans : {false, true}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(loans);
      CAPTURE(seed);
      SimOptions options;
      options.load = 0.6;
      options.loans = loans;
      options.seed = seed;
      options.length = seconds(40);
      options.failed_zone = 1;
      const SimResult result = FleetSim(config, options).Run();
      CHECK(result.region_peak_percent <= 100);
      CHECK(result.completed > 30'000);
      CHECK(result.failed_last_quarter * 1000 < result.completed);
    }
  }
}

}  // namespace
}  // namespace rwf
