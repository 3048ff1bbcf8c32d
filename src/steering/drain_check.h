#pragma once

#include <string>
#include <vector>

#include "config/config.h"

namespace rwf {

// Measured load of one service in one zone, in busy slots.
struct ZoneLoad {
  std::string service;
  std::string zone;
  double busy = 0;

  friend bool operator==(const ZoneLoad&, const ZoneLoad&) = default;
};

// Part of the remaining capacity that may be busy after a drain.
inline constexpr double kDrainMaxBusyFraction = 0.8;

struct DrainVerdict {
  bool allowed = true;
  // What stands against the drain, one sentence each.
  std::vector<std::string> reasons;
};

// Whether the rest of the fleet can bear the load if `drain` is added to the
// drains in force: for each service the slots left, for entry VMs at least one
// left in each zone that has upstreams left. A drain that names nothing is
// refused. Pure.
DrainVerdict CheckDrain(const Config& config, const Drain& drain,
                        const std::vector<ZoneLoad>& loads);

// True if the drains of the configuration take work away from the upstream.
bool IsUpstreamDrained(const Config& config, const Upstream& upstream);

// The same for an entry VM.
bool IsEntryVmDrained(const Config& config, const EntryVm& vm);

}  // namespace rwf
