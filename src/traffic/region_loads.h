#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Identifies a service's instances in one region.
struct ServiceRegion {
  std::string service;
  std::string region;
  friend bool operator==(const ServiceRegion&, const ServiceRegion&) = default;
  friend auto operator<=>(const ServiceRegion&, const ServiceRegion&) = default;
};
// Requests in flight by service and region.
using RegionLoads = std::map<ServiceRegion, double>;

// Sets what is assumed of other VMs' requests at each instance, from the number
// of them in its region. Instances with a recent report keep the reported
// number. An instance is assumed to have at most `max_load` per slot.
void AssumeLoads(InstanceRegistry* registry, const RegionLoads& loads,
                 double max_load, TimePoint now);

}  // namespace rwf
