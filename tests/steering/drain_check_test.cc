#include "steering/drain_check.h"

#include <doctest/doctest.h>

#include "../../bench/sample_fleet.h"
#include "steering/retry_budget.h"

namespace rwf {
namespace {

TEST_CASE("CheckDrain, table of loads, refuses what the rest cannot handle") {
  const Config fleet =
      MakeFleetConfig(3, 2, 12, 3, 6);  // 36 slots, 6 in each zone
  struct Case {
    const char* name;
    Drain drain;
    std::vector<Drain> in_force;
    double busy;
    bool allowed;
  };
  const Case cases[] = {
      {"zone, 80% of the rest busy", {DrainKind::kZone, "r0a"}, {}, 24, true},
      {"zone, more than 80% of the rest busy",
       {DrainKind::kZone, "r0a"},
       {},
       24.1,
       false},
      {"region", {DrainKind::kRegion, "r0"}, {}, 19.2, true},
      {"region, more than 80% of the rest busy",
       {DrainKind::kRegion, "r0"},
       {},
       19.3,
       false},
      {"upstream", {DrainKind::kUpstream, "desk-3"}, {}, 26.4, true},
      {"upstream, more than 80% of the rest busy",
       {DrainKind::kUpstream, "desk-3"},
       {},
       27,
       false},
      {"active drains count",
       {DrainKind::kZone, "r0a"},
       {{DrainKind::kZone, "r1a"}},
       20,
       false},
      {"last entry VM of a zone with upstreams",
       {DrainKind::kEntryVm, "vm0"},
       {},
       0,
       false},
      {"entry VM of a drained zone",
       {DrainKind::kEntryVm, "vm0"},
       {{DrainKind::kZone, "r0a"}},
       0,
       true},
      {"everything",
       {DrainKind::kRegion, "r0"},
       {{DrainKind::kRegion, "r1"}, {DrainKind::kRegion, "r2"}},
       0,
       false},
      {"unknown name", {DrainKind::kZone, "nowhere"}, {}, 0, false},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    Config config = fleet;
    config.drains = c.in_force;
    const DrainVerdict verdict =
        CheckDrain(config, c.drain, {{"desk", "r0a", c.busy}});
    CHECK(verdict.allowed == c.allowed);
    CHECK(verdict.reasons.empty() == c.allowed);
  }
}

TEST_CASE("IsRetryable, request that may have run, only if idempotent") {
  for (int i = 0; i < kAttemptFailureCount; ++i) {
    const auto failure = static_cast<AttemptFailure>(i);
    CAPTURE(std::string(AttemptFailureName(failure)));
    // A non-idempotent request may be sent again only if it cannot have run.
    CHECK(IsRetryable(failure, false) == ProvesNotRun(failure));
  }
  CHECK(IsRetryable(AttemptFailure::kBrokenMidway, true));
  CHECK_FALSE(IsRetryable(AttemptFailure::kTimedOut, true));
}

TEST_CASE("RetryBudget, every request fails, retries are a tenth of requests") {
  RetryBudget budget;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnRequest();
    budget.TryRetry(AttemptFailure::kConnectFailed, true, 1);
    CHECK_FALSE(budget.TryRetry(AttemptFailure::kConnectFailed, true, 2));
  }
  CHECK(budget.retries() <= 1000);
  CHECK(budget.retries() >= 990);
}

}  // namespace
}  // namespace rwf
