#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cmath>
#include <cstdlib>

#include "base/hash.h"
#include "traffic/cost_simulation.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

// A number in [0, 1) that depends on the instance and the time slice only.
double Noise(size_t instance, double seconds, double slice) {
  const auto n = static_cast<uint64_t>(seconds / slice);
  return static_cast<double>(Hash64(std::to_string(n), instance) >> 11) /
         static_cast<double>(1ULL << 53);
}

double Bursts(size_t n, double t) { return Noise(n, t, 0.1) < 0.2 ? 6 : 1; }
double Shared(size_t n, double t) {
  return Noise(n, t, 2) < 0.25 ? 4 : 1 + 0.3 * Noise(n, t, 0.05);
}
double SlowThird(size_t n, double) { return n % 3 == 1 ? 3 : 1; }
// A third reports slowness that it does not have, a third hides what it has.
double FalseReport(size_t n, double) { return n % 3 == 0 ? 8 : 1; }

std::vector<LoadPattern> Patterns() {
  const LoadPattern::Kind plain{"r", 1, 0.3, milliseconds(600), 0};
  std::vector<LoadPattern> out;
  LoadPattern it;
  it.name = "3% of runs seven times as long";
  it.min_gap_closed = 0.8;
  it.kinds = {plain};
  it.long_fraction = 0.03;
  it.load = 0.85;
  out.push_back(it);
  it = {};
  it.name = "machines slow for 100 ms";
  it.min_gap_closed = 0.25;
  it.kinds = {{"r", 1, 0.06, milliseconds(150), 0}};
  it.factor = it.reported = Bursts;
  it.load = 0.4;
  out.push_back(it);
  it = {};
  it.name = "machines slow for seconds";
  it.min_gap_closed = 0.03;
  it.kinds = {plain};
  it.factor = it.reported = Shared;
  it.load = 0.5;
  out.push_back(it);
  it = {};
  it.name = "frozen or false factor";
  it.max_loss = 0.01;
  it.kinds = {plain};
  it.factor = SlowThird;
  it.reported = FalseReport;
  it.load = 0.6;
  out.push_back(it);
  it = {};
  it.name = "two kinds of objects";
  it.max_loss = 0.005;
  it.kinds = {{"r", 4, 0.1, milliseconds(400), 40},
              {"r", 1, 0.8, milliseconds(1400), 20}};
  it.load = 0.6;
  out.push_back(it);
  it = {};
  it.name = "short requests behind long ones";
  it.min_gap_closed = 0.5;
  it.kinds = {{"short", 8, 0.1, milliseconds(250), 0},
              {"long", 1, 1.6, milliseconds(2500), 0}};
  it.factor = it.reported = [](size_t, double) { return 1.0; };
  it.load = 0.85;
  out.push_back(it);
  it = {};
  it.name = "61 VMs, views 1 s old";
  it.min_gap_closed = 0.2;
  it.kinds = {plain};
  it.long_fraction = 0.03;
  it.factor = it.reported = Shared;
  it.load = 0.5;
  it.vms = 61;
  it.instances = 64;
  it.peer_period = 1;
  out.push_back(it);
  return out;
}

constexpr unsigned kSeeds[] = {7, 8, 9};
constexpr double kSeconds = 20;

double MeanShare(const LoadPattern& pattern, TestPolicy policy) {
  double sum = 0;
  for (const unsigned seed : kSeeds)
    sum += Play(pattern, policy, kSeconds, seed).Share();
  return sum / static_cast<double>(std::size(kSeeds));
}

// Guards against an estimate that serves fewer requests in time than mean run
// times do. RWF_COST_TABLE=1 prints the table of the design note.
TEST_CASE("Cost-aware placement, load patterns, serves more in time") {
  const bool prints = std::getenv("RWF_COST_TABLE") != nullptr;
  for (const LoadPattern& it : Patterns()) {
    CAPTURE(it.name);
    const double today = MeanShare(it, TestPolicy::kToday);
    const double cost_aware = MeanShare(it, TestPolicy::kCostAware);
    const double reference = MeanShare(it, TestPolicy::kReference);
    CHECK(cost_aware >=
          today + it.min_gap_closed * (reference - today) - it.max_loss);
    if (!prints) continue;
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n",
               it.name, today, cost_aware,
               MeanShare(it, TestPolicy::kFewestRequests),
               MeanShare(it, TestPolicy::kLeastWork),
               MeanShare(it, TestPolicy::kTwoChoices), reference);
  }
}

// Guards against an upper quantile that too many or too few runs exceed: hedges
// fire by it.
TEST_CASE("Cost-aware placement, share within the quantile, is near it") {
  for (const LoadPattern& it : Patterns()) {
    CAPTURE(it.name);
    double sum = 0;
    for (const unsigned seed : kSeeds)
      sum += Play(it, TestPolicy::kCostAware, kSeconds, seed).share_within;
    const double share = sum / static_cast<double>(std::size(kSeeds));
    CHECK(std::abs(share - RunDistribution::kUpperQuantile) <= 0.05);
  }
}

// Guards against a change for deployments without the fourth figure: every
// choice must be the same, from an idle fleet to one that refuses.
TEST_CASE(
    "Cost-aware placement, uniform runs without a factor, changes nothing") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    LoadPattern it;
    it.kinds = {{"plain", 1, 0.1 + 0.03 * seed, milliseconds(600), 0},
                {"object", 2, 0.2, milliseconds(600), 40}};
    it.load = 0.2 + 0.1 * seed;
    it.instances = 8 + 2 * seed;
    it.slots = 1 + seed % 9;
    const LoadResult today = Play(it, TestPolicy::kToday, kSeconds, seed);
    const LoadResult now = Play(it, TestPolicy::kCostAware, kSeconds, seed);
    CAPTURE(seed);
    CHECK(now.choices == today.choices);
    CHECK(now.refused == today.refused);
  }
}

// Guards against hedges by a multiple of the mean where the quantile is known,
// and by a quantile where it is not in effect.
TEST_CASE("Cost-aware placement, upper quantile, is given where in effect") {
  constexpr TimePoint kStart{std::chrono::hours(1)};
  InstanceRegistry registry;
  InstanceInfo info;
  info.id = "i";
  info.service = "s";
  info.region = "home";
  info.slots = 4;
  InstanceState* it = registry.Put(info, kStart);
  Placement placement({.region = "home"}, &registry);
  PlacementRequest request;
  request.service = "s";
  request.route = "r";
  request.objective = milliseconds(600);
  request.time_left = std::chrono::seconds(4);
  CHECK_FALSE(placement.Choose(request, 0, 1, kStart).upper_total);
  TimePoint now = kStart;
  RunReport report;
  for (int n = 0; n <= 200; ++n) {
    // The last run takes twice as long on a machine that reports it.
    const int factor = n == 200 ? 2 : 1;
    it->machine()->OnReport(factor, now);
    report = placement.OnRunEnded(
        request, it, ServiceTimeModel::Warmth::kNoObject, now,
        factor * milliseconds(200 + n % 20 * 10), now);
    now += milliseconds(500);
  }
  CHECK(report.is_in_effect);
  CHECK(report.factor == 2);
  CHECK(ToSeconds(report.usual) == doctest::Approx(0.2));
  it->machine()->OnReport(1, now);
  const PlacementChoice choice = placement.Choose(request, 0, 1, now);
  REQUIRE(choice.upper_total);
  CHECK(ToSeconds(choice.expected_total) ==
        doctest::Approx(0.295).epsilon(0.1));
  CHECK(ToSeconds(*choice.upper_total) == doctest::Approx(0.385).epsilon(0.1));
}

}  // namespace
}  // namespace rwf
