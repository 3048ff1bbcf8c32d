#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "limits/limit_fleet_fixture.h"

namespace rwf {
namespace {

// Two parts of the fleet lose each other, and VM 0 still hears both; all reach
// the store. Guards against two VMs that each spend the rate of VM 0 or, after
// some seconds of silence, the whole rate.
TEST_CASE(
    "Limit parts, two parts out of touch for 20 s, stays "
    "within one rate and uses it") {
  for (const size_t vms : {3, 7, 28}) {
    for (const bool hears_both : {true, false}) {
      CAPTURE(vms);
      CAPTURE(hears_both);
      LimitFleet fleet(vms, Workspaces({60, 60, 60, 60, 60, 60}));
      const auto storm = [vms](size_t, size_t) {
        return 60 * 3.75 / static_cast<double>(vms);
      };
      fleet.Run(std::chrono::seconds(6), storm);
      const auto set_cut = [&](bool is_cut) {
        for (size_t n = hears_both ? 1 : 0; n < vms; ++n) {
          for (size_t k = n + 1; k < vms; ++k) {
            if (n % 2 == k % 2) continue;
            fleet.SetCut(n, k, is_cut);
            fleet.SetCut(k, n, is_cut);
          }
        }
      };
      set_cut(true);
      fleet.Run(std::chrono::seconds(5), storm);
      fleet.ResetCounts();
      fleet.Run(std::chrono::seconds(15), storm);
      CHECK(static_cast<double>(fleet.admitted) >= 60 * 6 * 15 * 0.6);
      set_cut(false);
      fleet.Run(std::chrono::seconds(6), storm);
      CHECK(fleet.IsWithinBounds());
    }
  }
}

// Guards against VMs that take their own lapsed entries, or those of all the
// others, for a reason to use only a part of the rate.
TEST_CASE(
    "Limit parts, store away for all for 30 s, uses the "
    "whole rate") {
  for (const size_t vms : {3, 28}) {
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces({3, 15, 60}));
    const auto usual = [vms](size_t, size_t w) {
      return std::vector<double>{3, 15, 60}[w] * kUsualLoad /
             static_cast<double>(vms);
    };
    fleet.needs_keys = false;  // routes that are open to callers without keys
    fleet.Run(std::chrono::seconds(6), usual);
    for (size_t n = 0; n < vms; ++n) fleet.SetStore(n, false);
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(30), usual);
    CHECK(fleet.RefusedFraction() <= 0.001);
    for (size_t n = 0; n < vms; ++n) fleet.SetStore(n, true);
    fleet.Run(std::chrono::seconds(10), usual);
    CHECK(fleet.RefusedFraction() <= 0.001);
    CHECK(fleet.IsWithinBounds());
  }
}

// Guards against a VM that spends its part after its entry has ended and the
// others have divided the rate among themselves.
TEST_CASE(
    "Limit parts, VM cut off and unable to renew its "
    "entry, stays within one rate") {
  for (const bool needs_keys : {true, false}) {
    CAPTURE(needs_keys);
    LimitFleet fleet(3, Workspaces({60, 60, 60, 60, 60, 60}));
    fleet.needs_keys = needs_keys;
    const auto storm = [](size_t, size_t) { return 60 * 1.25; };
    fleet.Run(std::chrono::seconds(6), storm);
    fleet.SetRenewals(0, false);
    for (const size_t k : {1, 2}) {
      fleet.SetCut(0, k, true);
      fleet.SetCut(k, 0, true);
    }
    fleet.Run(std::chrono::seconds(30), storm);
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(10), storm);
    // The others have all of it again.
    CHECK(static_cast<double>(fleet.admitted) >= 60 * 6 * 10 * 0.95);
    CHECK(fleet.IsWithinBounds());
  }
}

// Load pattern: one workspace sends ten times its rate. Guards against a
// message to the keeper and a wait of its delay for each refused request, and
// against tokens that nobody uses while the limit is thought to be empty.
TEST_CASE(
    "Empty limit, ten times the rate, is refused at once and used in full") {
  struct Row {
    size_t vms;
    double rate;
    double max_messages;  // for each refused request
  };
  for (const Row row : {Row{7, 60, 0.2}, Row{7, 300, 0.1}, Row{28, 60, 0.5},
                        Row{28, 300, 0.2}}) {
    CAPTURE(row.vms);
    CAPTURE(row.rate);
    LimitFleet fleet(row.vms, Workspaces({row.rate}));
    const auto load = [&](double factor) {
      return [&row, factor](size_t, size_t) {
        return row.rate * factor / static_cast<double>(row.vms);
      };
    };
    fleet.Run(std::chrono::seconds(6), load(kUsualLoad));
    fleet.Run(std::chrono::seconds(5), load(10));
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(20), load(10));
    CHECK(static_cast<double>(fleet.admitted) >= row.rate * 20 * 0.97);
    const auto refused = static_cast<double>(fleet.requested - fleet.admitted);
    const double per_refused = static_cast<double>(fleet.messages) / refused;
    CAPTURE(per_refused);
    CHECK(per_refused <= row.max_messages);
    CHECK(fleet.IsWithinBounds());
  }
}

// Guards against refusals within the rate because a limit is still thought to
// be empty.
TEST_CASE("Empty limit, load falls below the rate, is soon used freely") {
  for (const size_t vms : {7, 28}) {
    for (const double rate : {15.0, 60.0, 300.0}) {
      CAPTURE(vms);
      CAPTURE(rate);
      LimitFleet fleet(vms, Workspaces({rate}));
      const auto load = [&](double factor) {
        return [=](size_t, size_t) {
          return rate * factor / static_cast<double>(vms);
        };
      };
      fleet.Run(std::chrono::seconds(6), load(kUsualLoad));
      fleet.Run(std::chrono::seconds(8), load(10));
      fleet.Run(std::chrono::seconds(1), load(kUsualLoad));
      fleet.ResetCounts();
      fleet.Run(std::chrono::seconds(10), load(kUsualLoad));
      CHECK(fleet.RefusedFraction() <= 0.005);
      CHECK(fleet.IsWithinBounds());
    }
  }
}

// Guards against tokens lost where the load is just above the rate.
TEST_CASE("Empty limit, load slightly above the rate, is used in full") {
  for (const size_t vms : {7, 28}) {
    for (const double factor : {1.05, 1.3, 2.0}) {
      CAPTURE(vms);
      CAPTURE(factor);
      LimitFleet fleet(vms, Workspaces({60}));
      const auto load = [=](size_t, size_t) {
        return 60 * factor / static_cast<double>(vms);
      };
      fleet.Run(std::chrono::seconds(10), load);
      fleet.ResetCounts();
      fleet.Run(std::chrono::seconds(20), load);
      CHECK(static_cast<double>(fleet.admitted) >= 60 * 20 * 0.97);
      CHECK(fleet.IsWithinBounds());
    }
  }
}

}  // namespace
}  // namespace rwf
