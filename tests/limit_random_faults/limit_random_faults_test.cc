#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "limits/limit_fleet_fixture.h"

namespace rwf {
namespace {

// Random kills, power losses, freezes and cuts under storms that come and go.
TEST_CASE_FIXTURE(LimitFleetFixture,
                  "Workspace limiter, random faults, stays within the bound "
                  "and recovers") {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const size_t vms = std::vector<size_t>{7, 13, 28}[seed % 3];
    LimitFleet fleet(vms, Workspaces(rates), seed);
    fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
    std::vector<int> state(vms, 0);
    for (int round = 0; round < 8; ++round) {
      const size_t n = random() % vms;
      switch (state[n] == 0 ? 1 + random() % 4 : 0) {
        case 0:
          if (state[n] == 3) {
            fleet.Wake(n);
          } else if (state[n] == 4) {
            fleet.SetGroup(n, 0);
          } else {
            fleet.Start(n);
          }
          state[n] = 0;
          break;
        case 1:
          fleet.Kill(n);
          state[n] = 1;
          break;
        case 2:
          fleet.PowerOff(n);
          state[n] = 2;
          break;
        case 3:
          fleet.Freeze(n);
          state[n] = 3;
          break;
        default:
          fleet.SetGroup(n, static_cast<int>(n) + 1);
          state[n] = 4;
      }
      const size_t storm = random() % rates.size();
      fleet.Run(std::chrono::milliseconds(200 + random() % 2000),
                Storm(fleet, storm));
      fleet.Run(std::chrono::milliseconds(random() % 2000),
                Even(fleet, kUsualLoad));
      CHECK(fleet.IsWithinBounds());
    }
    for (size_t n = 0; n < vms; ++n) {
      if (state[n] == 3) fleet.Wake(n);
      if (state[n] == 4) fleet.SetGroup(n, 0);
      if (state[n] == 1 || state[n] == 2) fleet.Start(n);
    }
    fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
    fleet.ResetCounts();
    fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
    CHECK(fleet.RefusedFraction() <= 0.001);
  }
}

}  // namespace
}  // namespace rwf
