#include <doctest/doctest.h>

#include "rates/fleet.h"
#include "rates/resource_account.h"
#include "rates/share_assignment.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE(
    "ResourceAccount, loan with more tokens than capacity, transfers no more "
    "than its capacity") {
  // If tokens moved without capacity, the lender could refill them while they
  // are in transit.
  ResourceAccount lender(false, kStart, kStart);
  lender.SetOwn({kUnitsPerRequest, 10 * kUnitsPerRequest}, kStart);
  const TimePoint full = kStart + std::chrono::seconds(20);
  lender.Advance(full);
  const TimePoint end = full + kLoanDuration;
  CHECK(lender.Lend({"b", 1, {0, 3 * kUnitsPerRequest}, end, "", false},
                    8 * kUnitsPerRequest, full) == 3 * kUnitsPerRequest);
  CHECK(lender.level() == 7 * kUnitsPerRequest);
  ResourceAccount borrower(false, kStart, kStart);
  borrower.AddBorrowed({"a", 1, 1, {0, 3 * kUnitsPerRequest}, end, full, 0},
                       8 * kUnitsPerRequest, full);
  CHECK(borrower.level() == 3 * kUnitsPerRequest);
  borrower.Advance(end);
  CHECK(borrower.level() == 0);
}

TEST_CASE(
    "ResourceAccount, refill at irregular intervals and low rates, loses and "
    "gains nothing by rounding") {
  ResourceAccount account(false, kStart, kStart);
  account.SetOwn({7, 1'000'000'000}, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 100'000; ++i) {
    now += Duration(1 + i % 977 * 1013);
    account.Advance(now);
  }
  CHECK(account.level() ==
        FloorShare(7, (now - kStart).count(), 1'000'000'000));
}

TEST_CASE(
    "ShareAssignment, slots added or removed, divides them exactly and shrinks "
    "no share when slots grow") {
  Config config = FleetConfig(2, 1, 1);
  for (int i = 2; i < 7; ++i) {
    config.entry_vms.push_back({"vm" + std::to_string(i), "z0"});
    config.entry_vms.back().weight = i % 3 + 1;
  }
  ShareAssignment assignment("vm0");
  assignment.AddConfig(config, 1, kStart);
  for (const EntryVm& vm : config.entry_vms) assignment.Confirm(vm.id, 1);
  assignment.DropObsoleteMemberships(RefusalTracker(), kStart);
  std::map<std::string, int64_t> before;
  for (int64_t slots = 0; slots < 100; ++slots) {
    int64_t sum = 0;
    for (const EntryVm& vm : config.entry_vms) {
      const int64_t part = assignment.SlotShare(vm.id, "upz0", slots);
      CHECK(part >= before[vm.id]);
      before[vm.id] = part;
      sum += part;
    }
    CHECK(sum == slots);
  }
}

TEST_CASE(
    "ShareAssignment, retired VM, counts as removed only after its loans have "
    "ended") {
  Config config = FleetConfig(3, 1, 1);
  ShareAssignment assignment("vm0");
  assignment.AddConfig(config, 1, kStart);
  assignment.Confirm("vm1", 1);
  assignment.Confirm("vm2", 1);
  assignment.DropObsoleteMemberships(RefusalTracker(), kStart);
  config.generation = 2;
  config.entry_vms[2].retired = true;
  assignment.AddConfig(config, 2, kStart);
  assignment.Confirm("vm1", 2);
  assignment.DropObsoleteMemberships(RefusalTracker(),
                                     kStart + std::chrono::milliseconds(1999));
  CHECK(assignment.RateShare("vm0", 600) == 200);
  assignment.DropObsoleteMemberships(RefusalTracker(), kStart + kInheritDelay);
  CHECK(assignment.RateShare("vm0", 600) == 300);
}

TEST_CASE(
    "ShareLedger, all clocks 200 ppm fast under constant load, admits nothing "
    "beyond the limit and nearly all of it") {
  Fleet fleet(FleetConfig(4, 1000, 10), 5);
  for (Fleet::Vm& vm : fleet.vms()) vm.drift_ppm = 200;
  fleet.StartAll();
  for (int i = 0; i < 5000; ++i) fleet.Advance(kMs);
  fleet.ResetCounts();
  for (int i = 0; i < 60'000; ++i) {
    fleet.Advance(kMs);
    for (Fleet::Vm& vm : fleet.vms()) {
      while (fleet.TryAdmit(vm)) {
      }
    }
  }
  CHECK(fleet.excess() == 0);
  CHECK(fleet.admitted() >= 59'900);
  CHECK(fleet.admitted() <= 60'010);
}

}  // namespace
}  // namespace rwf
