#include <doctest/doctest.h>

#include <cstdio>

#include "rates/fleet.h"

namespace rwf {
namespace {

// Checks the maximum refusal rates of a fleet of 7 VMs on virtual time.
class AcceptanceFixture {
 protected:
  AcceptanceFixture() : fleet_(FleetConfig(7, 1000, 200), 7) {
    fleet_.StartAll();
    Run(10'000, [](size_t) { return 0.0; });
    fleet_.ResetCounts();
  }

  // Runs for `ms` with Poisson arrivals; `load` returns requests per second by
  // VM index.
  template <typename Load>
  void Run(int64_t ms, Load load) {
    for (int64_t i = 0; i < ms; ++i) {
      fleet_.Advance(kMs);
      for (size_t v = 0; v < fleet_.vms().size(); ++v) {
        const double rate = load(v);
        if (rate <= 0) continue;
        std::poisson_distribution<int> arrivals(rate / 1000);
        const int n = arrivals(fleet_.random());
        for (int k = 0; k < n; ++k) fleet_.Arrive(fleet_.vms()[v]);
      }
    }
  }

  double RefusedPercent() const {
    return 100.0 * static_cast<double>(fleet_.refused()) /
           static_cast<double>(std::max<int64_t>(fleet_.offered(), 1));
  }

  Fleet fleet_;
};

TEST_CASE_FIXTURE(AcceptanceFixture,
                  "ShareLedger, all traffic on one of 7 VMs at 95% of the "
                  "rate, refuses under 0.1% after 2 s") {
  const auto load = [](size_t v) { return v == 3 ? 950.0 : 0.0; };
  Run(2000, load);
  fleet_.ResetCounts();
  Run(20'000, load);
  MESSAGE("refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 0.1);
  CHECK(fleet_.excess() == 0);
}

TEST_CASE_FIXTURE(AcceptanceFixture,
                  "ShareLedger, one of 7 VMs crashed, refuses under 1% after "
                  "3 s, with even and with uneven traffic") {
  const auto even = [](size_t v) { return v == 2 ? 0.0 : 950.0 / 6; };
  const auto one = [](size_t v) { return v == 5 ? 950.0 : 0.0; };
  Run(5000, [](size_t) { return 950.0 / 7; });
  fleet_.Crash(fleet_.vms()[2]);
  Run(3000, even);
  fleet_.ResetCounts();
  Run(10'000, even);
  MESSAGE("even, refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 1);
  Run(2000, one);
  fleet_.ResetCounts();
  Run(10'000, one);
  MESSAGE("one VM, refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 1);
  fleet_.Crash(fleet_.vms()[3]);
  Run(3000, one);
  fleet_.ResetCounts();
  Run(10'000, one);
  MESSAGE("one VM, two crashed in a row, refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 1);
  CHECK(fleet_.excess() == 0);
}

TEST_CASE_FIXTURE(AcceptanceFixture,
                  "ShareLedger, partition, refuses only beyond each side's "
                  "share and recovers within 5 s after it ends") {
  const auto load = [](size_t v) { return v == 0 ? 950.0 : 0.0; };
  Run(5000, load);
  for (size_t v = 4; v < 7; ++v) fleet_.vms()[v].side = 1;
  // The sides own 4 and 3 of 7 shares.
  const auto split = [](size_t v) {
    return v == 0 ? 0.95 * 4000 / 7 : v == 5 ? 0.95 * 3000 / 7 : 0;
  };
  Run(3000, split);
  fleet_.ResetCounts();
  Run(10'000, split);
  MESSAGE("within the sides' shares, refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 0.1);
  Run(10'000, load);
  for (Fleet::Vm& vm : fleet_.vms()) vm.side = 0;
  Run(5000, load);
  fleet_.ResetCounts();
  Run(10'000, load);
  MESSAGE("after the partition, refused percent: ", RefusedPercent());
  CHECK(RefusedPercent() < 0.1);
  CHECK(fleet_.excess() == 0);
}

TEST_CASE_FIXTURE(AcceptanceFixture,
                  "ShareLedger, burst within the limit on one idle VM, is "
                  "admitted in full") {
  for (int i = 0; i < 200; ++i) fleet_.Arrive(fleet_.vms()[1]);
  Run(200, [](size_t) { return 0.0; });
  CHECK(fleet_.admitted() == 200);
  CHECK(fleet_.refused() == 0);
  CHECK(fleet_.excess() == 0);
}

TEST_CASE_FIXTURE(AcceptanceFixture,
                  "ShareLedger, caller that waits for Retry-After without "
                  "competing requests, is admitted") {
  Fleet::Vm& vm = fleet_.vms()[1];
#if defined(__SANITIZE_ADDRESS__)
  constexpr int kRounds = 40;
#else
  constexpr int kRounds = 200;
#endif
  for (int round = 0; round < kRounds; ++round) {
    // Other callers send up to 2000 requests, then pause.
    const int64_t flood = fleet_.Random(2000);
    for (int64_t i = 0; i < flood; ++i) {
      fleet_.Advance(kMs);
      fleet_.Arrive(vm);
    }
    Run(151, [](size_t) { return 0.0; });
    while (fleet_.TryAdmit(vm)) {
    }
    const Duration wait = vm.ledger->RetryAfter(vm.rate, fleet_.LocalTime(vm));
    const int64_t end = fleet_.now() + wait.count() + kMs;
    while (fleet_.now() < end) fleet_.Advance(kMs);
    CHECK(fleet_.TryAdmit(vm));
  }
  CHECK(fleet_.excess() == 0);
}

}  // namespace
}  // namespace rwf
