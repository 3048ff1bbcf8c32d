#include "traffic/remaining_work.h"

#include <doctest/doctest.h>

#include "traffic/cost_estimator.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kObjective = std::chrono::milliseconds(600);

// 97 runs of 0.3 s for 3 runs of 2.1 s.
RunDistribution Uneven() {
  RunDistribution out(0.3);
  for (int n = 0; n < 400; ++n)
    out.Record(n % 33 == 0 ? 2.1 : 0.3, kStart + std::chrono::milliseconds(n));
  return out;
}

InstanceState Instance(int64_t slots) {
  InstanceInfo info;
  info.slots = slots;
  return InstanceState(info);
}

void Send(InstanceState* it, uint64_t id, const RunDistribution& distribution,
          TimePoint at) {
  it->PlanRun({{&distribution, 1}, Duration::zero(), 1});
  it->OnSent(id, 0, kObjective, at);
}

// Guards against a mean that hides how differently runs end.
TEST_CASE("Run distribution, 3% seven times as long, tells both kinds") {
  const RunDistribution it = Uneven();
  CHECK(it.median() == doctest::Approx(0.3).epsilon(0.15));
  CHECK(it.upper() == doctest::Approx(0.3).epsilon(0.2));
  CHECK(it.spread() > CostEstimator::kUnevenSpread);
  CHECK(it.mean() == doctest::Approx(0.354).epsilon(0.1));
}

// Guards against a run that is expected to end at any moment although it has
// outlived all ordinary runs.
TEST_CASE("Run distribution, a run that outlived its estimate, lasts longer") {
  const RunDistribution it = Uneven();
  CHECK(it.Remaining(0.1) < 0.3);
  CHECK(it.Remaining(0.6) > 1);
  CHECK(it.Remaining(4) > 1.5);
}

// Guards against measurements of another hour that keep an estimate.
TEST_CASE("Run distribution, after a change, follows new runs") {
  RunDistribution it = Uneven();
  TimePoint now = kStart + std::chrono::minutes(2);
  for (int n = 0; n < 50; ++n)
    it.Record(1, now += std::chrono::milliseconds(100));
  CHECK(it.median() == doctest::Approx(1).epsilon(0.15));
}

// Guards against an instance that counts as busy for the length of one long run
// although its other slots become free soon.
TEST_CASE("Remaining work, one long run, blocks one slot only") {
  const RunDistribution runs = Uneven();
  InstanceState it = Instance(/*slots=*/2);
  RemainingWork work(runs, kObjective);
  const TimePoint now = kStart + std::chrono::seconds(1);
  Send(&it, 1, runs, kStart);
  CHECK(work.WaitAt(it, 1, now).expected == 0);
  Send(&it, 2, runs, now - std::chrono::milliseconds(200));
  CHECK(work.WaitAt(it, 1, now).expected < 0.25);
}

// Guards against short requests that queue behind long ones: two instances with
// as many requests differ by what these have left.
TEST_CASE("Remaining work, as many requests, differs by their kind") {
  const RunDistribution short_runs(0.1);
  const RunDistribution long_runs(2);
  InstanceState first = Instance(/*slots=*/1);
  InstanceState second = Instance(/*slots=*/1);
  Send(&first, 1, short_runs, kStart);
  Send(&second, 2, long_runs, kStart);
  RemainingWork work(short_runs, kObjective);
  CHECK(work.WaitAt(first, 1, kStart).expected < 0.2);
  CHECK(work.WaitAt(second, 1, kStart).expected > 1.5);
  CHECK(work.WaitAt(second, 2, kStart).expected > 3);
}

// Guards against an instance that hangs and keeps receiving requests because
// its free slots look idle.
TEST_CASE("Remaining work, several runs outlived together, count as slow") {
  const RunDistribution runs = Uneven();
  InstanceState it = Instance(/*slots=*/9);
  Send(&it, 1, runs, kStart);
  CHECK(RemainingWork::OutlivedRatio(it, kStart + std::chrono::seconds(2)) <
        1.2);
  for (uint64_t id = 2; id < 6; ++id) Send(&it, id, runs, kStart);
  CHECK(RemainingWork::OutlivedRatio(it, kStart + std::chrono::seconds(5)) > 3);
}

// Guards against memory that grows with the names of routes and objects.
TEST_CASE("Cost estimator, unknown routes, share one estimate") {
  CostEstimator it;
  for (size_t n = 0; n < 3 * CostEstimator::kMaxRoutes; ++n)
    it.Estimate("s", "r" + std::to_string(n), kObjective, n, kStart);
  const auto last = it.Estimate("s", "x", kObjective, 1, kStart);
  const auto other = it.Estimate("s", "y", kObjective, 1, kStart);
  CHECK(last.by_kind == other.by_kind);
  CHECK(it.Estimate("s", "r1", kObjective, 1, kStart).by_kind != last.by_kind);
}

}  // namespace
}  // namespace rwf
