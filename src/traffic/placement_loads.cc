// The loads of regions, from this VM's requests, reports of other VMs and
// reports of instances.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "traffic/placement.h"

namespace rwf {
namespace {

// Load per slot assumed for a region that has no slots.
constexpr double kNoSlotsLoad = 10;

}  // namespace

Placement::Loads Placement::LoadsOf(const std::string& service, TimePoint now) {
  CachedLoads& cached = loads_[service];
  const bool is_known =
      cached.loads.local_slots + cached.loads.remote_slots > 0;
  if (is_known && now - cached.at < kLoadCacheInterval) return cached.loads;
  Loads out;
  const auto run = mean_runs_.find(service);
  const Duration mean_run =
      run == mean_runs_.end() ? kInitialMeanRun : run->second;
  std::set<std::string> regions;
  for (const InstanceState* it : registry_->OfService(service)) {
    if (it->info().is_draining || registry_->IsEvacuated(it->info().zone))
      continue;
    if (notices_ != nullptr && notices_->IsLeaving(it->info())) continue;
    regions.insert(it->info().region);
    const bool in_local_region = it->info().region == settings_.region;
    // Without reports of other VMs, their requests are known only from the
    // reports of the instances.
    (in_local_region ? out.local_load : out.remote_load) +=
        peer_loads_.empty() ? it->LoadAt(now) : it->in_flight();
    (in_local_region ? out.local_slots : out.remote_slots) +=
        UsableSlots(it->info(), mean_run);
  }
  for (const auto& [key, n] : peer_loads_) {
    if (key.service != service) continue;
    (key.region == settings_.region ? out.local_load : out.remote_load) += n;
  }
  out.regions = regions.size();
  cached = {now, out};
  return out;
}

double Placement::Loads::LocalLoad() const {
  return local_slots > 0 ? local_load / local_slots : kNoSlotsLoad;
}

double Placement::Loads::RemoteLoad() const {
  return remote_slots > 0 ? remote_load / remote_slots : kNoSlotsLoad;
}

RegionLoads Placement::OwnLoads() const {
  RegionLoads out;
  for (const auto& [id, it] : registry_->all()) {
    if (it->in_flight() > 0)
      out[{it->info().service, it->info().region}] += it->in_flight();
  }
  return out;
}

void Placement::SetPeerLoads(const RegionLoads& loads, TimePoint now) {
  peer_loads_ = loads;
  AssumeLoads(registry_, loads, kMaxLoad, now);
}

}  // namespace rwf
