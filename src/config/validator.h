#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "config/config.h"

namespace rwf {

// The interval between two steps of a move must be at least the look-up TTL
// plus this margin, so that the callers of one step have moved before the next
// step is evaluated.
inline constexpr Duration kMoveStepMargin = std::chrono::seconds(3);

// Maximum sum of link budgets out of a region: 100 Gbit/s. A larger sum
// indicates a wrong unit.
inline constexpr int64_t kMaxRegionEgressBytesPerSecond = 12'500'000'000;

// Checks constraints across members: duplicates, references and inconsistent
// settings. The codecs have already checked types and ranges. Appends one
// problem per fault.
void ValidateConfig(const Config& config, std::vector<JsonProblem>* problems);

// Total slots of `service` in `zone`, including draining upstreams.
int64_t SlotsInZone(const Service& service, const std::string& zone);

// True if the upstream itself, its zone or its region is draining.
bool IsUpstreamDraining(const Config& config, const Upstream& upstream);

}  // namespace rwf
