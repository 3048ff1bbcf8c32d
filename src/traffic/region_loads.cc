#include "traffic/region_loads.h"

#include <algorithm>

namespace rwf {

void AssumeLoads(InstanceRegistry* registry, const RegionLoads& loads,
                 double max_load, TimePoint now) {
  struct Unreported {
    double requests = 0;
    double slots = 0;
  };
  // Instances with a recent report keep the reported number, the others share
  // the rest. A plain mean would count the requests at busy instances twice.
  std::map<ServiceRegion, Unreported> rest;
  for (const auto& [id, it] : registry->all()) {
    Unreported& unreported = rest[{it->info().service, it->info().region}];
    const double weight = it->ReportWeight(now);
    unreported.requests -= weight * it->reported_others();
    unreported.slots += (1 - weight) * static_cast<double>(it->info().slots);
  }
  for (auto& [key, unreported] : rest) {
    const auto load = loads.find(key);
    if (load != loads.end()) unreported.requests += load->second;
    unreported.requests = std::max(0.0, unreported.requests);
  }
  for (const auto& [id, it] : registry->all()) {
    const Unreported& unreported =
        rest[{it->info().service, it->info().region}];
    const double fraction =
        unreported.slots > 0
            ? static_cast<double>(it->info().slots) / unreported.slots
            : 0;
    // Limited to the instance's slots and queue: when nearly all instances have
    // reported, the rest does not belong to a single one.
    it->set_assumed_others(
        std::min(unreported.requests * fraction,
                 max_load * static_cast<double>(it->info().slots)));
  }
}

}  // namespace rwf
