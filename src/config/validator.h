#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "config/config.h"

namespace rwf {

// Shortest time between two steps of a move is the look-up TTL plus this, so
// that the callers of one step have moved before the next one is judged.
inline constexpr Duration kMoveStepMargin = std::chrono::seconds(3);

// Sum of link budgets out of a region above which the figures are taken for a
// mistake of unit: 100 Gbit/s.
inline constexpr int64_t kMaxRegionEgressBytesPerSecond = 12'500'000'000;

// Checks what no single member shows: duplicates, references and settings that
// contradict each other. Types and ranges have been checked by the codec.
// Appends one problem for each fault.
void ValidateConfig(const Config& config, std::vector<JsonProblem>* problems);

// Slots of `service` in `zone` over all its upstreams, drained or not.
int64_t SlotsInZone(const Service& service, const std::string& zone);

// True if a drain of the upstream itself, its zone or its region is in force.
bool IsUpstreamDraining(const Config& config, const Upstream& upstream);

}  // namespace rwf
