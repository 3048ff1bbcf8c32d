#pragma once

#include <string>

#include "config/config.h"

namespace rwf {

// Returns a configuration with regions r0, r1, ... of zones r0a, r0b, ..., one
// service `desk` with instances desk-0, ..., and entry VMs vm0, ... Instances
// and VMs are assigned to the zones round-robin.
inline Config MakeFleetConfig(int regions, int zones_per_region, int instances,
                              int64_t slots, int vms) {
  Config config;
  config.generation = 1;
  for (int r = 0; r < regions; ++r) {
    const std::string region = "r" + std::to_string(r);
    config.regions.push_back({region});
    for (int z = 0; z < zones_per_region; ++z) {
      config.zones.push_back({region + static_cast<char>('a' + z), region});
    }
    for (int remote = 0; remote < regions; ++remote) {
      if (remote == r) continue;
      config.links.push_back({region, "r" + std::to_string(remote), 1 << 30,
                              std::chrono::milliseconds(20)});
    }
  }
  for (int i = 0; i < vms; ++i) {
    EntryVm vm;
    vm.id = "vm" + std::to_string(i);
    vm.zone = config.zones[i % config.zones.size()].name;
    config.entry_vms.push_back(vm);
  }
  Service service;
  service.name = "desk";
  for (int i = 0; i < instances; ++i) {
    Upstream upstream;
    upstream.id = "desk-" + std::to_string(i);
    upstream.zone = config.zones[i % config.zones.size()].name;
    upstream.slots = slots;
    service.upstreams.push_back(upstream);
  }
  config.services.push_back(service);
  return config;
}

}  // namespace rwf
