#include "steering/entry_selector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "../../bench/sample_fleet.h"
#include "steering/move_planner.h"

namespace rwf {
namespace {

constexpr uint32_t kClients = 2000;

struct Fixture {
  Fixture() {
    config.client_blocks.push_back({0x0a000000, 8, "r0a"});
    config.client_blocks.push_back({0x0b000000, 8, "r1b"});
  }
  EntrySelector Make() const {
    return EntrySelector(std::make_shared<const Config>(config));
  }
  static uint32_t Client(uint32_t i) { return 0x0a000000 + i * 256; }
  static bool AllUsable(size_t) { return true; }

  Config config = MakeFleetConfig(3, 2, 12, 3, 24);
};

TEST_CASE_FIXTURE(Fixture,
                  "EntrySelector, same input, gives the same response") {
  const EntrySelector a = Make();
  const EntrySelector b = Make();
  for (uint32_t i = 0; i < kClients; ++i) {
    REQUIRE(a.Select(Client(i), "desk", AllUsable) ==
            b.Select(Client(i), "desk", AllUsable));
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "EntrySelector, all VMs alive, orders by zone and region and "
                  "spreads evenly") {
  const EntrySelector selector = Make();
  std::map<size_t, int> first;
  for (uint32_t i = 0; i < kClients; ++i) {
    const auto entries = selector.Select(Client(i), "desk", AllUsable);
    REQUIRE(entries.size() == EntrySelector::kMaxEntries);
    CHECK(std::is_sorted(
        entries.begin(), entries.end(),
        [](const auto& x, const auto& y) { return x.tier < y.tier; }));
    CHECK(config.entry_vms[entries[0].vm].zone == "r0a");
    ++first[entries[0].vm];
  }
  CHECK(first.size() == 4);
  for (const auto& [vm, n] : first) CHECK(n > static_cast<int>(kClients / 5));
}

TEST_CASE_FIXTURE(Fixture,
                  "EntrySelector, one VM removed, only its clients move") {
  const EntrySelector selector = Make();
  const size_t removed = selector.Select(Client(0), "desk", AllUsable)[0].vm;
  const auto usable = [&](size_t vm) { return vm != removed; };
  for (uint32_t i = 0; i < kClients; ++i) {
    auto before = selector.Select(Client(i), "desk", AllUsable);
    const auto after = selector.Select(Client(i), "desk", usable);
    std::erase_if(before,
                  [&](const auto& choice) { return choice.vm == removed; });
    // The other VMs keep their order; at most one VM is appended to each tier.
    size_t found = 0;
    for (const EntryChoice& choice : after) {
      REQUIRE(choice.vm != removed);
      if (found < before.size() && before[found] == choice) ++found;
    }
    REQUIRE(found >= before.size() - 1);
    REQUIRE(after[0].vm == before[0].vm);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "EntrySelector, drained, retired and dead VMs, are excluded "
                  "and a failed zone is replaced by other regions") {
  config.entry_vms[0].retired = true;  // in r0a
  config.drains.push_back({DrainKind::kEntryVm, config.entry_vms[6].id});
  config.drains.push_back({DrainKind::kZone, "r0b"});
  const EntrySelector selector = Make();
  const auto not_r0a = [&](size_t vm) {
    return config.entry_vms[vm].zone != "r0a";
  };
  for (uint32_t i = 0; i < 50; ++i) {
    for (const auto& choice : selector.Select(Client(i), "desk", AllUsable)) {
      CHECK(choice.vm != 0);
      CHECK(choice.vm != 6);
      CHECK(config.entry_vms[choice.vm].zone != "r0b");
    }
    const auto entries = selector.Select(Client(i), "desk", not_r0a);
    REQUIRE_FALSE(entries.empty());
    CHECK(entries[0].tier == Tier::kOtherRegion);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "EntrySelector, move at successive steps, shifts the "
                  "expected percentage and never moves a client back") {
  for (int i = 0; i < 2000; ++i) {
    config.client_blocks.push_back(
        {0x0a000000 + static_cast<uint32_t>(i) * 256, 24, "r0a"});
  }
  Move move;
  move.id = "m1";
  move.service = "desk";
  move.from = "r0a";
  move.to = "r1a";
  move.percent = 50;
  move.step_percent = 20;
  std::vector<bool> moved(kClients, false);
  for (int64_t step = 0; step <= 3; ++step) {
    move.step = step;
    config.moves = {move};
    const EntrySelector selector = Make();
    const size_t target = selector.topology().FindZone("r1a");
    double n = 0;
    for (uint32_t i = 0; i < kClients; ++i) {
      const bool now_moved = selector.ZoneOf(Client(i), "desk") == target;
      REQUIRE((now_moved || !moved[i]));
      moved[i] = now_moved;
      n += now_moved ? 1 : 0;
      REQUIRE(selector.ZoneOf(Client(i), "other") != target);
    }
    CHECK(n / kClients * 100 ==
          doctest::Approx(MovedPercent(move, step)).epsilon(0.1));
  }
}

}  // namespace
}  // namespace rwf
