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

// Fraction of the remaining capacity that may be busy after a drain.
inline constexpr double kDrainMaxBusyFraction = 0.8;

struct DrainVerdict {
  bool allowed = true;
  // Reasons against the drain, one sentence each.
  std::vector<std::string> reasons;
};

// Checks whether the rest of the fleet can handle the load if `drain` is added
// to the active drains: each service needs enough slots, and each zone that
// still has upstreams needs at least one entry VM. Refuses a drain whose target
// does not exist. Pure function.
DrainVerdict CheckDrain(const Config& config, const Drain& drain,
                        const std::vector<ZoneLoad>& loads);

// True if the configured drains keep new requests away from the upstream.
bool IsUpstreamDrained(const Config& config, const Upstream& upstream);

// True if the configured drains keep new requests away from the entry VM.
bool IsEntryVmDrained(const Config& config, const EntryVm& vm);

}  // namespace rwf
