#include "traffic/workspace_limiter.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "limits/limit_fleet_fixture.h"

namespace rwf {
namespace {

// Load pattern: 190 workspaces over 118 VMs, each far below its rate. A VM sees
// a request of a workspace every few seconds, so that its own part of the rate
// is less than one token. Guards against refusing a third of such requests.
TEST_CASE_FIXTURE(
    LimitFleetFixture,
    "Workspace limiter, usual load at any fleet size, refuses at most 0.1%") {
  for (const size_t vms : {1, 7, 28, 118, 300}) {
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces(rates));
    fleet.Run(std::chrono::seconds(2), Even(fleet, 0));
    fleet.Run(std::chrono::seconds(20), Even(fleet, kUsualLoad));
    CHECK(fleet.RefusedFraction() <= 0.001);
    CHECK(fleet.IsWithinBounds());
  }
}

// Load pattern: all requests of a workspace come to one VM, at 95% of the rate.
TEST_CASE_FIXTURE(
    LimitFleetFixture,
    "Workspace limiter, whole load at one VM, refuses at most 0.1%") {
  for (const size_t vms : {7, 28, 118}) {
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces({300}));
    fleet.Run(std::chrono::seconds(3), Even(fleet, 0));
    fleet.Run(std::chrono::seconds(20),
              [](size_t n, size_t) { return n == 0 ? 300 * 0.95 : 0.0; });
    CHECK(fleet.RefusedFraction() <= 0.001);
    CHECK(fleet.IsWithinBounds());
  }
}

// Load pattern: requests arrive while all processes start. Guards against
// refusals in the first seconds, when no VM knows what the others use.
TEST_CASE_FIXTURE(
    LimitFleetFixture,
    "Workspace limiter, all VMs restarted under usual load, refuses at most "
    "0.5%") {
  for (const size_t vms : {7, 28, 118}) {
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces(rates));
    fleet.Run(std::chrono::seconds(8), Even(fleet, kUsualLoad));
    for (size_t n = 0; n < vms; ++n) fleet.Kill(n);
    fleet.Run(std::chrono::seconds(1), Even(fleet, 0));
    for (size_t n = 0; n < vms; ++n) fleet.Start(n);
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(5), Even(fleet, kUsualLoad));
    CHECK(fleet.RefusedFraction() <= 0.005);
    CHECK(fleet.longest_wait <=
          WorkspaceLimiter::kSettleTime + WorkspaceLimiter::kMaxWait);
    CHECK(fleet.IsWithinBounds());
  }
}

// Load pattern: a third of the VMs loses power at once, without closing its
// links.
TEST_CASE_FIXTURE(
    LimitFleetFixture,
    "Workspace limiter, third of VMs silent under usual load, refuses at most "
    "1%") {
  for (const size_t vms : {9, 28, 118}) {
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces(rates));
    fleet.Run(std::chrono::seconds(8), Even(fleet, kUsualLoad));
    for (size_t n = 0; n < vms; n += 3) fleet.PowerOff(n);
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(8), [&](size_t n, size_t w) {
      return n % 3 == 0
                 ? 0.0
                 : rates[w] * kUsualLoad * 1.5 / static_cast<double>(vms);
    });
    CHECK(fleet.RefusedFraction() <= 0.01);
    CHECK(fleet.IsWithinBounds());
  }
}

class WorkspaceLimiterFixture {
 protected:
  static constexpr Duration kTick = WorkspaceLimiter::kClaimInterval;

  WorkspaceLimiterFixture() {
    limiter.SetTolerance({0.1, 20, std::chrono::seconds(5)});
    limiter.SetLimits(Workspaces({10}), now);
    // The peer keeps the limit: VMs are tried until one does.
    while (keeper.empty()) {
      const std::string vm = "peer" + std::to_string(++tried);
      limiter.SetPeers({{vm, true, true, {}, true}}, now);
      if (limiter.KeeperOf("w0") == vm) keeper = vm;
    }
    limiter.Tick(now);
    now += WorkspaceLimiter::kAnnounceTime;
    limiter.Tick(now);
  }
  void Advance(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += kTick;
      limiter.Tick(now);
    }
  }
  void SetScarce() { limiter.OnScarceLimits(keeper, {"w0"}, now); }
  using Admission = WorkspaceLimiter::Admission;

  TimePoint now{std::chrono::hours(1)};
  WorkspaceLimiter limiter{"self", now};
  std::string keeper;
  int tried = 0;
};

TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, without limit, admits everything") {
  for (int n = 0; n < 1000; ++n)
    CHECK(limiter.Admit("other", 1, now).admission == Admission::kAdmitted);
  Advance(kTick);
  CHECK(limiter.TakeMessages().empty());
}

TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, plentiful limit, admits and claims") {
  CHECK(limiter.Admit("w0", 1, now).admission == Admission::kAdmitted);
  CHECK(limiter.Admit("w0", 2, now).admission == Admission::kAdmitted);
  limiter.Return("w0", now);
  Advance(kTick);
  const auto sent = limiter.TakeMessages();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].vm == keeper);
  REQUIRE(sent[0].claims.claims.size() == 1);
  CHECK(sent[0].claims.claims[0] == LimitClaim{"w0", 2, 1, 0});
}

TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, scarce limit, follows the keeper") {
  SetScarce();
  CHECK(limiter.Admit("w0", 1, now).admission == Admission::kWaiting);
  CHECK(limiter.Admit("w0", 2, now).admission == Admission::kWaiting);
  const auto sent = limiter.TakeMessages();
  REQUIRE(sent.size() == 2);
  limiter.OnReply(keeper, {sent[0].claims.id, {{"w0", 1, {}, true}}}, now);
  limiter.OnReply(
      keeper,
      {sent[1].claims.id, {{"w0", 0, std::chrono::milliseconds(400), true}}},
      now);
  const auto decisions = limiter.TakeDecisions();
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0] == WorkspaceLimiter::Decision{1, true, {}});
  CHECK(decisions[1] ==
        WorkspaceLimiter::Decision{2, false, std::chrono::milliseconds(400)});
}

// Guards against losing a token of each request whose caller left.
TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, caller left before the grant, returns "
                  "it") {
  SetScarce();
  limiter.Admit("w0", 1, now);
  limiter.Cancel(1);
  const auto sent = limiter.TakeMessages();
  REQUIRE(sent.size() == 1);
  limiter.OnReply(keeper, {sent[0].claims.id, {{"w0", 1, {}, true}}}, now);
  CHECK(limiter.TakeDecisions().empty());
  Advance(kTick);
  const auto returned = limiter.TakeMessages();
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].claims.claims[0] == LimitClaim{"w0", 0, 1, 0});
}

// Guards against requests that wait for a VM that is gone.
TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, silent keeper, asks the next one and "
                  "claims again") {
  limiter.Admit("w0", 1, now);
  Advance(kTick);
  REQUIRE(limiter.TakeMessages().size() == 1);
  SetScarce();
  CHECK(limiter.Admit("w0", 2, now).admission == Admission::kWaiting);
  Advance(WorkspaceLimiter::kReplyTimeout + kTick);
  // This VM keeps the limit now and has charged the first request.
  CHECK(limiter.KeeperOf("w0") == "self");
  const auto decisions = limiter.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].is_admitted);
  // The keeper is heard of again.
  limiter.OnScarceLimits(keeper, {}, now);
  CHECK(limiter.KeeperOf("w0") == keeper);
}

TEST_CASE_FIXTURE(WorkspaceLimiterFixture,
                  "Workspace limiter, leaving VM, keeps no limits") {
  limiter.SetPeers({}, now);
  CHECK(limiter.kept() == 1);
  limiter.SetPeers({{keeper, true, true, {}, true}}, now);
  CHECK(limiter.kept() == 0);
  limiter.SetPeers(
      {{"self0", true, true, {}, true}, {"self1", true, true, {}, true}}, now);
  limiter.SetLeaving(true, now);
  CHECK(limiter.kept() == 0);
}

class LimitKeeperFixture {
 protected:
  LimitKeeperFixture() {
    keeper.SetTolerance({0.1, 20, std::chrono::seconds(5)});
    keeper.SetLimits(Workspaces({10}), now);
    keeper.SetKept([](const std::string&) { return Keeping::kYes; }, now);
  }
  TimePoint now{std::chrono::hours(1)};
  LimitKeeper keeper;
};

TEST_CASE_FIXTURE(LimitKeeperFixture,
                  "Limit keeper, level below the threshold, tells once") {
  now += std::chrono::seconds(5);
  keeper.TakeChanges(now);
  REQUIRE(keeper.ScarceLimits(now).empty());
  const auto level = static_cast<uint32_t>(keeper.Level("w0", now));
  const auto verdicts = keeper.OnClaims({{"w0", level, 0, 0}}, now);
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts[0].is_scarce);
  CHECK(keeper.ScarceLimits(now) == std::vector<std::string>{"w0"});
  const auto changes = keeper.TakeChanges(now);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].is_scarce);
  CHECK(keeper.TakeChanges(now).empty());
  now += std::chrono::seconds(1);
  CHECK(keeper.ScarceLimits(now).empty());
}

// Load pattern: more callers than tokens. Guards against refused callers who
// all come back for the same token.
TEST_CASE_FIXTURE(LimitKeeperFixture,
                  "Limit keeper, several refusals, names a later time for "
                  "each") {
  while (keeper.TryTake("w0", now)) {
  }
  Duration last{};
  for (int n = 0; n < 5; ++n) {
    const Duration it = keeper.RetryAfter("w0", now);
    CHECK(it > last);
    last = it;
  }
  for (int n = 0; n < 100; ++n)
    CHECK(keeper.RetryAfter("w0", now) <= LimitKeeper::kMaxRetryAfter);
}

TEST_CASE_FIXTURE(LimitKeeperFixture,
                  "Limit keeper, new configuration, keeps the level and drops "
                  "limits that are gone") {
  now += std::chrono::seconds(5);
  const double level = keeper.Level("w0", now);
  keeper.SetLimits(Workspaces({10, 5}), now);
  CHECK(keeper.Level("w0", now) == doctest::Approx(level));
  CHECK(keeper.HasLimit("w1"));
  keeper.SetLimits(Workspaces({}), now);
  CHECK_FALSE(keeper.HasLimit("w0"));
  CHECK(keeper.TryTake("w0", now));
}

}  // namespace
}  // namespace rwf
