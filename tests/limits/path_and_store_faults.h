#pragma once

#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "limits/limit_fleet_fixture.h"

namespace rwf {

// Random cuts of single paths (in one direction too), slow paths, losses of the
// store, failed renewals, kills, restarts and pauses.
inline void CheckPathAndStoreFaults(uint64_t first_seed, uint64_t last_seed) {
  for (uint64_t seed = first_seed; seed <= last_seed; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const size_t vms = std::vector<size_t>{3, 7, 28}[seed % 3];
    CAPTURE(vms);
    LimitFleet fleet(vms, Workspaces({3, 15, 60, 60, 60, 60}), seed);
    const auto storm = [&](size_t, size_t w) {
      return std::vector<double>{3, 15, 60, 60, 60, 60}[w] * 2.5 /
             static_cast<double>(vms);
    };
    const auto usual = [&](size_t n, size_t w) {
      return storm(n, w) * kUsualLoad / 2.5;
    };
    fleet.Run(std::chrono::seconds(6), usual);
    std::vector<int> state(vms, 0);
    for (int round = 0; round < 10; ++round) {
      for (size_t faults = 1 + vms / 7; faults > 0; --faults) {
        const size_t n = random() % vms;
        const size_t k = (n + 1 + random() % (vms - 1)) % vms;
        switch (random() % 8) {
          case 0:
            fleet.SetCut(n, k, true);
            break;
          case 1:
            fleet.SetCut(n, k, true);
            fleet.SetCut(k, n, true);
            break;
          case 2:
            fleet.SetCut(n, k, false);
            fleet.SetCut(k, n, false);
            break;
          case 3:
            fleet.SetExtraDelay(n, k,
                                std::chrono::milliseconds(random() % 400));
            break;
          case 4:
            fleet.SetStore(n, random() % 2 == 0);
            break;
          case 5:
            fleet.SetRenewals(n, random() % 2 == 0);
            break;
          case 6:
            if (state[n] == 1) {
              fleet.Start(n);
            } else if (state[n] == 0) {
              fleet.Kill(n);
            }
            if (state[n] != 2) state[n] = 1 - state[n];
            break;
          default:
            if (state[n] == 2) {
              fleet.Wake(n);
            } else if (state[n] == 0) {
              fleet.Freeze(n);
            }
            if (state[n] != 1) state[n] = 2 - state[n];
        }
      }
      fleet.Run(std::chrono::milliseconds(200 + random() % 6000), storm);
      for (size_t w = 0; w < 6; ++w) {
        CAPTURE(round);
        CAPTURE(w);
        CHECK(fleet.worst_window[w] <= fleet.MaxAdmitted(w));
      }
    }
    for (size_t n = 0; n < vms; ++n) {
      if (state[n] == 1) fleet.Start(n);
      if (state[n] == 2) fleet.Wake(n);
      fleet.SetStore(n, true);
      fleet.SetRenewals(n, true);
      for (size_t k = 0; k < vms; ++k) {
        if (k == n) continue;
        fleet.SetCut(n, k, false);
        fleet.SetExtraDelay(n, k, {});
      }
    }
    fleet.Run(std::chrono::seconds(10), usual);
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(6), usual);
    CHECK(fleet.RefusedFraction() <= 0.001);
    for (size_t w = 0; w < 6; ++w) CHECK(fleet.KeepersOf(w) == 1);
    CHECK(fleet.IsWithinBounds());
  }
}

}  // namespace rwf
