#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "limits/limit_fleet_fixture.h"

namespace rwf {
namespace {

// Load pattern: one workspace sends many times its rate, evenly.
TEST_CASE_FIXTURE(LimitFleetFixture,
                  "Workspace limiter, storm of one workspace, stays within the "
                  "bound and spares the others") {
  for (const size_t vms : {7, 28, 118}) {
    for (size_t storm = 0; storm < rates.size(); ++storm) {
      CAPTURE(vms);
      CAPTURE(storm);
      LimitFleet fleet(vms, Workspaces(rates));
      fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
      fleet.ResetCounts();
      fleet.Run(std::chrono::seconds(10), Storm(fleet, storm));
      CHECK(fleet.IsWithinBounds());
      // The rate is used, and only requests beyond it are refused.
      const double refused = rates[storm] * (kStormLoad - 1) * 10;
      const double requested = static_cast<double>(fleet.requested);
      CHECK(fleet.RefusedFraction() * requested <= refused * 1.03 + 20);
    }
  }
}

// Guards against a fleet that admits the burst a second time after the loss of
// what its VMs remember.
TEST_CASE_FIXTURE(LimitFleetFixture,
                  "Workspace limiter, keeper lost in a storm, stays within the "
                  "bound") {
  enum class Fault : uint8_t { kKill, kPowerOff, kFreeze, kRestartAll };
  for (const Fault fault :
       {Fault::kKill, Fault::kPowerOff, Fault::kFreeze, Fault::kRestartAll}) {
    for (const size_t vms : {7, 28, 118}) {
      for (const size_t storm : {0, 3, 5}) {
        CAPTURE(static_cast<int>(fault));
        CAPTURE(vms);
        CAPTURE(storm);
        LimitFleet fleet(vms, Workspaces(rates));
        fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
        fleet.Run(std::chrono::seconds(3), Storm(fleet, storm));
        const size_t keeper = fleet.KeeperOf(storm);
        if (fault == Fault::kKill) fleet.Kill(keeper);
        if (fault == Fault::kPowerOff) fleet.PowerOff(keeper);
        if (fault == Fault::kFreeze) fleet.Freeze(keeper);
        if (fault == Fault::kRestartAll) {
          for (size_t n = 0; n < vms; ++n) fleet.Kill(n);
        }
        fleet.Run(std::chrono::milliseconds(1500), Storm(fleet, storm));
        if (fault == Fault::kFreeze) fleet.Wake(keeper);
        if (fault == Fault::kKill || fault == Fault::kPowerOff)
          fleet.Start(keeper);
        if (fault == Fault::kRestartAll) {
          for (size_t n = 0; n < vms; ++n) fleet.Start(n);
        }
        fleet.Run(std::chrono::seconds(6), Storm(fleet, storm));
        CHECK(fleet.worst_window[storm] <= fleet.MaxAdmitted(storm));
      }
    }
  }
}

// Guards against both sides of a network partition spending the full rate.
TEST_CASE_FIXTURE(LimitFleetFixture,
                  "Workspace limiter, partitioned fleet, stays within one "
                  "rate") {
  for (const size_t vms : {8, 28, 118}) {
    for (const size_t parts : {2, 3}) {
      CAPTURE(vms);
      CAPTURE(parts);
      LimitFleet fleet(vms, Workspaces(rates));
      fleet.Run(std::chrono::seconds(6), Even(fleet, kUsualLoad));
      for (size_t n = 0; n < vms; ++n)
        fleet.SetGroup(n, static_cast<int>(n % parts));
      fleet.Run(std::chrono::milliseconds(4800), Storm(fleet, 5));
      for (size_t n = 0; n < vms; ++n) fleet.SetGroup(n, 0);
      fleet.Run(std::chrono::seconds(6), Storm(fleet, 5));
      CHECK(fleet.worst_window[5] <= fleet.MaxAdmitted(5));
    }
  }
}

}  // namespace
}  // namespace rwf
