#include "steering/drain_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace rwf {
namespace {

struct ServiceUsage {
  double slots = 0;
  double busy = 0;
};

bool TargetExists(const Config& config, const Drain& drain) {
  const auto has_id = [&](const auto& all, auto member) {
    return std::any_of(all.begin(), all.end(), [&](const auto& element) {
      return element.*member == drain.id;
    });
  };
  switch (drain.kind) {
    case DrainKind::kUpstream:
      return std::any_of(config.services.begin(), config.services.end(),
                         [&](const Service& service) {
                           return has_id(service.upstreams, &Upstream::id);
                         });
    case DrainKind::kZone:
      return has_id(config.zones, &Zone::name);
    case DrainKind::kRegion:
      return has_id(config.regions, &Region::name);
    case DrainKind::kEntryVm:
      return has_id(config.entry_vms, &EntryVm::id);
  }
  return false;
}

bool IsZoneDrained(const Config& config, const std::string& name) {
  if (config.IsDraining(DrainKind::kZone, name)) return true;
  const Zone* zone = config.FindZone(name);
  return zone != nullptr && config.IsDraining(DrainKind::kRegion, zone->region);
}

}  // namespace

bool IsUpstreamDrained(const Config& config, const Upstream& upstream) {
  return config.IsDraining(DrainKind::kUpstream, upstream.id) ||
         IsZoneDrained(config, upstream.zone);
}

bool IsEntryVmDrained(const Config& config, const EntryVm& vm) {
  return config.IsDraining(DrainKind::kEntryVm, vm.id) ||
         IsZoneDrained(config, vm.zone);
}

DrainVerdict CheckDrain(const Config& config, const Drain& drain,
                        const std::vector<ZoneLoad>& loads) {
  DrainVerdict verdict;
  const auto refuse = [&](std::string reason) {
    verdict.allowed = false;
    verdict.reasons.push_back(std::move(reason));
  };
  if (!TargetExists(config, drain)) {
    refuse(fmt::format("drain target {} does not exist", drain.id));
    return verdict;
  }
  Config next = config;
  if (!next.IsDraining(drain.kind, drain.id)) next.drains.push_back(drain);

  for (const Service& service : next.services) {
    ServiceUsage usage;
    for (const Upstream& upstream : service.upstreams) {
      if (IsUpstreamDrained(next, upstream)) continue;
      usage.slots += static_cast<double>(upstream.slots);
    }
    for (const ZoneLoad& load : loads) {
      if (load.service == service.name) usage.busy += load.busy;
    }
    if (service.upstreams.empty()) continue;
    if (usage.slots <= 0) {
      refuse(
          fmt::format("service {} would have no upstream left", service.name));
    } else if (usage.busy > usage.slots * kDrainMaxBusyFraction) {
      refuse(fmt::format(
          "service {} has {:.1f} busy slots, but only {:.0f} slots would be "
          "left, of which at most {:.0f}% may be busy",
          service.name, usage.busy, usage.slots, kDrainMaxBusyFraction * 100));
    }
  }

  std::set<std::string> entry_zones;
  std::set<std::string> entry_zones_before;
  for (const EntryVm& vm : next.entry_vms) {
    if (vm.retired) continue;
    if (!IsEntryVmDrained(config, vm)) entry_zones_before.insert(vm.zone);
    if (!IsEntryVmDrained(next, vm)) entry_zones.insert(vm.zone);
  }
  if (entry_zones.empty()) refuse("no entry VM would be left");
  // The entry VMs of a zone own its upstream slots, so without an entry VM the
  // fleet cannot use these slots.
  std::map<std::string, double> zone_slots;
  for (const Service& service : next.services) {
    for (const Upstream& upstream : service.upstreams) {
      if (IsUpstreamDrained(next, upstream)) continue;
      zone_slots[upstream.zone] += static_cast<double>(upstream.slots);
    }
  }
  for (const auto& [zone, slots] : zone_slots) {
    if (slots <= 0 || entry_zones.contains(zone) ||
        !entry_zones_before.contains(zone)) {
      continue;
    }
    refuse(fmt::format(
        "zone {} would have no entry VM left to use its {:.0f} slots", zone,
        slots));
  }
  return verdict;
}

}  // namespace rwf
