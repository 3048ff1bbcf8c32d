#include "replica/store.h"

#include <doctest/doctest.h>

#include "replica/call_budget.h"
#include "replica/fake_store.h"
#include "replica/store_contract.h"

namespace rwf {
namespace {

TEST_CASE("FakeStore, contract tests, fulfils the contract of Store") {
  struct Setup {
    VirtualClock clock;
    FakeStore server{&clock, 1};
    FakeStoreClient client{&server, &clock};
  };
  std::unique_ptr<Setup> setup;
  RunStoreContract([&] {
    setup = std::make_unique<Setup>();
    return StoreUnderTest{
        &setup->client, [&](Duration d) { setup->clock.Run(d); },
        [&] {
          setup->server.faults.lose_response_call = setup->server.calls() + 1;
        }};
  });
}

// Guards against overload of the store when all VMs start at the same time.
TEST_CASE(
    "CallBudget, continuous demand for a minute, grants 2 calls per second") {
  CallBudget budget;
  TimePoint now{std::chrono::seconds(1000)};
  for (int n = 0; n < 60'000; ++n) {
    budget.TryTake(now);
    now += std::chrono::milliseconds(1);
  }
  CHECK(budget.taken() >= 120);
  CHECK(budget.taken() <= 120 + CallBudget::kBurst);
}

TEST_CASE("Backoff, repeated failures, doubles with jitter up to the maximum") {
  Random random(1);
  Backoff backoff(std::chrono::seconds(4));
  for (const int step : {500, 1000, 2000, 4000, 4000}) {
    const int64_t wait = ToMillis(backoff.Next(random));
    CHECK(wait >= step / 2);
    CHECK(wait <= step);
  }
}

}  // namespace
}  // namespace rwf
