#pragma once

#include <string>
#include <utility>
#include <vector>

#include "limits/limit_fleet.h"

namespace rwf {

// Usual requests of a workspace as a fraction of its rate.
inline constexpr double kUsualLoad = 0.62;
// Requests in a storm of one workspace as a multiple of its rate.
inline constexpr double kStormLoad = 4.7;

inline std::vector<TrafficWorkspace> Workspaces(
    const std::vector<double>& rates) {
  std::vector<TrafficWorkspace> out;
  for (const double it : rates) {
    TrafficWorkspace workspace;
    workspace.name = "w" + std::to_string(out.size());
    workspace.rate = it;
    workspace.burst = it;
    out.push_back(std::move(workspace));
  }
  return out;
}

// Rates from a few requests a second to a tenth of the fleet's.
class LimitFleetFixture {
 protected:
  const std::vector<double> rates{3, 3, 15, 15, 60, 300};

  auto Even(const LimitFleet& fleet, double load) const {
    const auto vms = static_cast<double>(fleet.size());
    return
        [this, load, vms](size_t, size_t w) { return rates[w] * load / vms; };
  }
  // The storm is at one workspace, the others have their usual load.
  auto Storm(const LimitFleet& fleet, size_t storm) const {
    const auto vms = static_cast<double>(fleet.size());
    return [this, storm, vms](size_t, size_t w) {
      return rates[w] * (w == storm ? kStormLoad : kUsualLoad) / vms;
    };
  }
};

}  // namespace rwf
