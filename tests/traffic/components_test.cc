#include <doctest/doctest.h>

#include <random>

#include "traffic/attempt_budget.h"
#include "traffic/catalog.h"
#include "traffic/instance_registry.h"
#include "traffic/key_freshness.h"
#include "traffic/region_split.h"
#include "traffic/service_time_model.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

class InstanceFixture {
 protected:
  void Attempt(AttemptOutcome outcome, Duration took = 200 * kMillisecond) {
    const uint64_t id = ++last_;
    state.OnSent(id, 5, 250 * kMillisecond, now);
    now += took;
    state.OnEnded(id, outcome, now);
  }

  InstanceState state{InstanceInfo{"i", "s", "10.0.0.1", 80, "z", "r", 6}};
  TimePoint now = kStart;
  uint64_t last_ = 0;
};

TEST_CASE_FIXTURE(InstanceFixture,
                  "Instance, consecutive failures, is ejected temporarily") {
  Attempt(AttemptOutcome::kBroken);
  CHECK_FALSE(state.IsEjected(now));
  Attempt(AttemptOutcome::kBroken);
  CHECK(state.IsEjected(now));
  now += InstanceState::kInitialEjection;
  CHECK_FALSE(state.IsEjected(now));
  Attempt(AttemptOutcome::kBroken);
  CHECK(state.IsEjected(now + InstanceState::kInitialEjection));
}

// Guards against keeping an instance in use that fails every other request.
TEST_CASE_FIXTURE(
    InstanceFixture,
    "Instance, half of its requests fail, is ejected for longer times") {
  Duration longest{};
  for (int n = 0; n < 60; ++n) {
    const bool was_ejected = state.IsEjected(now);
    Attempt(n % 2 == 0 ? AttemptOutcome::kInstanceError
                       : AttemptOutcome::kSucceeded);
    if (was_ejected || !state.IsEjected(now)) continue;
    Duration out{};
    while (state.IsEjected(now + out)) out += 100 * kMillisecond;
    longest = std::max(longest, out);
    now += out;
  }
  CHECK(longest >= 4 * InstanceState::kInitialEjection);
}

TEST_CASE_FIXTURE(InstanceFixture,
                  "Instance, refused connection, is ejected immediately") {
  Attempt(AttemptOutcome::kConnectFailed, Duration::zero());
  CHECK(state.IsEjected(now));
}

// Guards against rating an unresponsive instance as fast because none of its
// requests complete.
TEST_CASE_FIXTURE(InstanceFixture,
                  "Instance, long request in flight, counts as slow") {
  state.OnSent(1, 5, 250 * kMillisecond, now);
  now += kSecond;
  CHECK(state.SlownessAt(now) >= 4);
  state.OnEnded(1, AttemptOutcome::kCancelled, now);
  CHECK(state.SlownessAt(now) < 1.1);
}

TEST_CASE_FIXTURE(InstanceFixture, "Instance, reported load, decays with age") {
  state.OnReport(6, 4, now);
  CHECK(state.LoadAt(now) == doctest::Approx(10));
  CHECK(state.LoadAt(now + InstanceState::kReportHalfLife) ==
        doctest::Approx(5));
}

TEST_CASE_FIXTURE(InstanceFixture, "Instance, object that it ran, is warm") {
  CHECK_FALSE(state.IsWarmFor(5, now));
  Attempt(AttemptOutcome::kSucceeded);
  CHECK(state.IsWarmFor(5, now));
  CHECK_FALSE(state.IsWarmFor(6, now));
  CHECK_FALSE(state.IsWarmFor(5, now + InstanceState::kWarmRetention));
}

// Guards against applying the estimates of an earlier start to the next one.
TEST_CASE("Registry, same id with a later start, begins without estimates") {
  InstanceRegistry registry;
  InstanceInfo info{"i", "s", "10.0.0.1", 80, "z", "r", 6};
  info.started_ms = 1;
  registry.Put(info, kStart)->OnReport(6, 6, kStart);
  CHECK(registry.Put(info, kStart)->LoadAt(kStart) > 0);
  info.started_ms = 2;
  CHECK(registry.Put(info, kStart)->LoadAt(kStart) == 0);
  CHECK(registry.OfService("s").size() == 1);
  registry.Remove("i");
  CHECK(registry.OfService("s").empty());
}

// Guards against accepting keys for longer than a withdrawal may take.
TEST_CASE("Key freshness, without confirmation, expires after its limit") {
  KeyFreshness freshness(3500 * kMillisecond);
  CHECK_FALSE(freshness.IsFresh(kStart));
  freshness.OnConfirmed(kStart);
  CHECK(freshness.IsFresh(kStart + 3500 * kMillisecond));
  CHECK_FALSE(freshness.IsFresh(kStart + 3501 * kMillisecond));
  // A delayed response does not move the confirmation back.
  freshness.OnConfirmed(kStart + 2 * kSecond);
  freshness.OnConfirmed(kStart + kSecond);
  CHECK(freshness.IsFresh(kStart + 5 * kSecond));
}

// Guards against retries that amplify an overload: in any window, the attempts
// beyond the first of each request stay within ratio and allowance.
TEST_CASE("Attempt budget, any window, stays within ratio and allowance") {
  AttemptBudget budget;
  budget.SetBounds({0.2, 9, 10 * kSecond});
  std::mt19937_64 random(3);
  std::deque<TimePoint> requests;
  std::deque<TimePoint> extras;
  TimePoint now = kStart;
  for (int n = 0; n < 20'000; ++n) {
    now += std::chrono::microseconds(random() % 20'000);
    budget.OnRequest("s", now);
    requests.push_back(now);
    if (budget.TryAcquire("s", now)) extras.push_back(now);
    while (requests.front() <= now - 10 * kSecond) requests.pop_front();
    while (!extras.empty() && extras.front() <= now - 10 * kSecond)
      extras.pop_front();
    CHECK(static_cast<double>(extras.size()) <=
          0.2 * static_cast<double>(requests.size()) + 9);
  }
  CHECK(!extras.empty());
}

// Guards against traffic shifts above the cap at any course of the load.
TEST_CASE(
    "Region split, load changes suddenly, shifts its share within the cap") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RegionSplit split(0.15);
    split.Initialize("s", 6, 72, 3, kStart);
    std::mt19937_64 random(seed);
    TimePoint now = kStart;
    std::deque<double> shares;
    for (int n = 0; n < 400; ++n) {
      now += 250 * kMillisecond;
      // Drawn one by one: the order in which arguments are evaluated differs
      // between processors.
      const auto load = static_cast<double>(random() % 3);
      const double peer_share = static_cast<double>(random() % 100) / 100;
      split.OnLoad("s", load, 0.1, {peer_share}, now);
      shares.push_back(split.RemoteShare("s"));
      if (shares.size() > 8) {
        CHECK(std::abs(shares.back() - shares.front()) <= 0.15 * 0.75);
        shares.pop_front();
      }
    }
  }
}

TEST_CASE("Region split, region with few slots, starts with remote objects") {
  RegionSplit split(0.15);
  split.Initialize("short", 6, 72, 3, kStart);
  split.Initialize("even", 24, 72, 3, kStart);
  CHECK(split.RemoteShare("short") > 0.5);
  CHECK(split.RemoteShare("even") == 0);
}

// Load pattern: a region with few slots, in which half of the requests are
// downloads. Guards against filling the links between regions with downloads
// while requests with small responses stay.
TEST_CASE(
    "Region split, large and small responses, moves the small ones first") {
  RegionSplit split(0.15);
  split.Initialize("s", 12, 72, 3, kStart);
  std::mt19937_64 random(5);
  for (int n = 0; n < 2000; ++n) split.OnRequest("s", random() % 2 == 0);
  const double remote = split.RemoteShare("s");
  REQUIRE(remote > 0.1);
  const auto moved_fraction = [&](bool is_large) {
    int moved = 0;
    for (uint64_t object = 1; object <= 1000; ++object)
      moved += split.IsRemote("s", object * 0x1234567, is_large) ? 1 : 0;
    return moved / 1000.0;
  };
  // Half of the responses are small, so twice the overall share of them moves.
  CHECK(moved_fraction(false) ==
        doctest::Approx(std::min(1.0, remote * 2)).epsilon(0.1));
  CHECK(moved_fraction(true) ==
        doctest::Approx(std::max(0.0, remote * 2 - 1)).epsilon(0.1));
}

TEST_CASE("Service times, cold and warm runs, are told apart") {
  ServiceTimeModel model;
  const Duration objective = 600 * kMillisecond;
  CHECK_FALSE(model.Expected("r", objective, true).is_learned);
  for (int n = 0; n < 100; ++n) {
    model.OnResponse("r", objective, ServiceTimeModel::Warmth::kUncertain,
                     (n % 2 == 0 ? 880 : 264) * kMillisecond);
  }
  const ServiceTimeModel::Times times = model.Expected("r", objective, true);
  CHECK(ToMillis(times.cold) == doctest::Approx(880).epsilon(0.05));
  CHECK(ToMillis(times.warm) == doctest::Approx(264).epsilon(0.05));
}

class CatalogFixture {
 protected:
  static TrafficRoute Route(const std::string& name,
                            const std::string& prefix) {
    TrafficRoute out;
    out.name = name;
    out.host = "A.example";
    out.prefix = prefix;
    out.backends = {{"s", 1}};
    return out;
  }
  Catalog catalog{3,
                  {Route("root", "/"), Route("a", "/a/"), Route("ab", "/a/b/")},
                  {},
                  {},
                  {}};
};

TEST_CASE_FIXTURE(CatalogFixture, "Catalog, path, matches the longest prefix") {
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  for (const Row& row :
       {Row{"a.example", "/a/b/c", "ab"}, Row{"A.EXAMPLE:80", "/a/b", "a"},
        Row{"a.example", "/a", "root"}, Row{"a.example", "/", "root"},
        Row{"b.example", "/", nullptr}}) {
    CAPTURE(row.path);
    const TrafficRoute* it = catalog.FindRoute(row.host, row.path);
    CHECK((it == nullptr) == (row.route == nullptr));
    if (it != nullptr) CHECK(it->name == row.route);
  }
}

TEST_CASE("Region filter, two lists, allows the intersection") {
  CHECK(IntersectRegions({}, {}).Allows("x"));
  CHECK_FALSE(IntersectRegions({"a"}, {}).Allows("x"));
  CHECK(IntersectRegions({"a", "b"}, {"b"}).Allows("b"));
  CHECK_FALSE(IntersectRegions({"a", "b"}, {"b"}).Allows("a"));
  CHECK_FALSE(IntersectRegions({"a"}, {"b"}).Allows("a"));
}

}  // namespace
}  // namespace rwf
