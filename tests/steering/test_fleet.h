#pragma once

#include <string>
#include <vector>

#include "steering/upstream_selector.h"

namespace rwf {

// Regions r0, r1, ... with zones r0a, r0b, ...; one service `desk` whose
// instances lie in the zones in turn, and `vms_per_zone` entry VMs in each
// zone.
inline Config MakeFleet(int regions, int instances, int64_t slots,
                        int vms_per_zone = 2) {
  Config config;
  config.generation = 1;
  for (int r = 0; r < regions; ++r) {
    const std::string region = "r" + std::to_string(r);
    config.regions.push_back({region});
    for (const char* suffix : {"a", "b"}) {
      config.zones.push_back({region + suffix, region});
    }
    for (int other = 0; other < regions; ++other) {
      if (other == r) continue;
      config.links.push_back({region, "r" + std::to_string(other), 1 << 30,
                              std::chrono::milliseconds(20)});
    }
  }
  for (int i = 0; i < vms_per_zone * 2 * regions; ++i) {
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

// Counts the slots taken of each instance and refuses beyond the configured
// number.
class CountingSlots : public SlotSource {
 public:
  explicit CountingSlots(const Service& service) {
    for (const Upstream& upstream : service.upstreams) {
      limits_.push_back(upstream.slots);
    }
    taken.assign(limits_.size(), 0);
  }
  bool TryAcquire(size_t instance, TimePoint) override {
    if (taken[instance] >= limits_[instance]) return false;
    ++taken[instance];
    return true;
  }
  std::vector<int64_t> taken;

 private:
  std::vector<int64_t> limits_;
};

class OpenLinks : public LinkBudget {
 public:
  bool HasRoom(size_t, TimePoint) override { return has_room; }
  bool has_room = true;
};

}  // namespace rwf
