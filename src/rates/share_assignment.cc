#include "rates/share_assignment.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "base/hash.h"

namespace rwf {

ShareAssignment::ShareAssignment(std::string vm_id)
    : vm_id_(std::move(vm_id)) {}

const ShareAssignment::Group& ShareAssignment::Membership::SlotOwners(
    const std::string& zone) const {
  const auto zone_it = by_zone.find(zone);
  if (zone_it != by_zone.end()) return zone_it->second;
  // The slots of a zone without entry VMs belong to the VMs of its region, or
  // to all VMs if the region has none either.
  const auto region = region_of_zone.find(zone);
  if (region == region_of_zone.end()) return all;
  const auto by_region_it = by_region.find(region->second);
  return by_region_it == by_region.end() ? all : by_region_it->second;
}

size_t ShareAssignment::Membership::IndexOf(const std::string& vm) const {
  const auto it = std::find_if(ring.begin(), ring.end(),
                               [&](const EntryVm& e) { return e.id == vm; });
  return static_cast<size_t>(it - ring.begin());
}

ShareAssignment::Membership ShareAssignment::BuildMembership(
    const Config& config) {
  Membership membership;
  membership.first_generation = config.generation;
  for (const Zone& zone : config.zones) {
    membership.region_of_zone[zone.name] = zone.region;
  }
  const auto add = [](Group* group, const EntryVm& vm) {
    group->members.emplace_back(vm.id, vm.weight);
    group->total += vm.weight;
  };
  for (const EntryVm& vm : config.entry_vms) {
    if (vm.retired) continue;
    membership.ring.push_back(vm);
    add(&membership.all, vm);
    add(&membership.by_zone[vm.zone], vm);
    add(&membership.by_region[membership.region_of_zone[vm.zone]], vm);
  }
  return membership;
}

void ShareAssignment::AddConfig(const Config& config, uint64_t entry_vms_since,
                                TimePoint now) {
  std::map<std::string, TimePoint> retired;
  for (const EntryVm& vm : config.entry_vms) {
    if (!vm.retired) continue;
    const auto it = retired_at_.find(vm.id);
    retired[vm.id] = it == retired_at_.end() ? now : it->second;
  }
  retired_at_ = std::move(retired);
  zone_of_instance_.clear();
  for (const Service& service : config.services) {
    for (const Upstream& upstream : service.upstreams) {
      zone_of_instance_[upstream.id] = upstream.zone;
    }
  }
  Membership membership = BuildMembership(config);
  if (memberships_.empty()) {
    baseline_generation_ =
        entry_vms_since == 0 ? config.generation : entry_vms_since;
    membership.first_generation = baseline_generation_;
    memberships_.push_back(std::move(membership));
    return;
  }
  const Membership& newest = memberships_.back();
  if (newest.ring == membership.ring &&
      newest.region_of_zone == membership.region_of_zone) {
    return;
  }
  memberships_.push_back(std::move(membership));
  all_absent_since_ = TimePoint::max();
}

void ShareAssignment::Confirm(const std::string& vm, uint64_t generation) {
  confirmed_[vm] = generation;
}

bool ShareAssignment::IsConfirmed(const std::string& vm,
                                  uint64_t generation) const {
  if (vm == vm_id_) return true;
  const auto it = confirmed_.find(vm);
  return it != confirmed_.end() && it->second >= generation;
}

std::vector<std::string> ShareAssignment::Unconfirmed(
    const Membership& membership, uint64_t generation, TimePoint now) const {
  std::vector<std::string> out;
  for (const EntryVm& vm : membership.ring) {
    if (IsConfirmed(vm.id, generation)) continue;
    const auto it = retired_at_.find(vm.id);
    if (it != retired_at_.end() && now - it->second >= kInheritDelay) continue;
    out.push_back(vm.id);
  }
  return out;
}

bool ShareAssignment::DropObsoleteMemberships(const RefusalTracker& refusals,
                                              TimePoint now) {
  if (memberships_.empty()) return false;
  const auto all_absent = [&](const std::vector<std::string>& vms) {
    return std::all_of(vms.begin(), vms.end(), [&](const std::string& vm) {
      TimePoint until;
      return refusals.IsAbsent(vm, now, &until);
    });
  };
  bool changed = false;
  if (blocked_ && all_absent(Unconfirmed(memberships_.front(),
                                         baseline_generation_, now))) {
    blocked_ = false;
    changed = true;
  }
  while (memberships_.size() > 1) {
    const std::vector<std::string> unconfirmed = Unconfirmed(
        memberships_.front(), memberships_[1].first_generation, now);
    if (!unconfirmed.empty()) {
      if (!all_absent(unconfirmed)) {
        all_absent_since_ = TimePoint::max();
        break;
      }
      // A process that starts on an absent VM could adopt the older membership
      // only from a VM that has not confirmed yet. Such a process would be
      // noticed within kInheritDelay.
      all_absent_since_ = std::min(all_absent_since_, now);
      if (now - all_absent_since_ < kInheritDelay) break;
    }
    memberships_.erase(memberships_.begin());
    all_absent_since_ = TimePoint::max();
    changed = true;
  }
  return changed;
}

bool ShareAssignment::IsConverged(const std::vector<std::string>& retiring,
                                  TimePoint now) const {
  if (memberships_.empty()) return false;
  const auto is_retiring = [&](const std::string& vm) {
    return std::find(retiring.begin(), retiring.end(), vm) != retiring.end();
  };
  const auto none_missing = [&](const Membership& membership,
                                uint64_t generation) {
    const std::vector<std::string> unconfirmed =
        Unconfirmed(membership, generation, now);
    return std::all_of(unconfirmed.begin(), unconfirmed.end(), is_retiring);
  };
  if (blocked_ && !none_missing(memberships_.front(), baseline_generation_))
    return false;
  // VMs that are only in the newest membership may still have an older one in
  // force.
  const uint64_t newest = memberships_.back().first_generation;
  return std::all_of(memberships_.begin(), memberships_.end(),
                     [&](const Membership& membership) {
                       return none_missing(membership, newest);
                     });
}

int64_t ShareAssignment::WeightIn(const Group& group, const std::string& vm) {
  for (const auto& [id, weight] : group.members) {
    if (id == vm) return weight;
  }
  return 0;
}

int64_t ShareAssignment::RateShare(const std::string& vm,
                                   int64_t amount) const {
  if (blocked_) return 0;
  int64_t min_share = amount;
  for (const Membership& membership : memberships_) {
    min_share = std::min(
        min_share,
        FloorShare(amount, WeightIn(membership.all, vm), membership.all.total));
  }
  return min_share;
}

int64_t ShareAssignment::LinkShare(const std::string& vm,
                                   const std::string& region,
                                   int64_t amount) const {
  if (blocked_) return 0;
  int64_t min_share = amount;
  for (const Membership& membership : memberships_) {
    const auto it = membership.by_region.find(region);
    if (it == membership.by_region.end()) return 0;
    min_share = std::min(min_share, FloorShare(amount, WeightIn(it->second, vm),
                                               it->second.total));
  }
  return min_share;
}

int64_t ShareAssignment::SlotShare(const std::string& vm,
                                   const std::string& upstream,
                                   int64_t slots) const {
  const auto zone = zone_of_instance_.find(upstream);
  if (blocked_ || zone == zone_of_instance_.end()) return 0;
  int64_t min_share = slots;
  for (const Membership& membership : memberships_) {
    const Group& group = membership.SlotOwners(zone->second);
    const size_t n = group.members.size();
    if (WeightIn(group, vm) == 0) return 0;
    // Each slot goes to the member with the highest weight per slot after this
    // one (D'Hondt method), so that no share shrinks when slots are added. The
    // first member depends on the instance, which spreads the remainders.
    const size_t first = Hash64(upstream) % n;
    std::vector<int64_t> slot_shares(n, 0);
    for (int64_t slot = 0; slot < slots; ++slot) {
      size_t best = first;
      for (size_t step = 1; step < n; ++step) {
        const size_t i = (first + step) % n;
        if (group.members[i].second * (slot_shares[best] + 1) >
            group.members[best].second * (slot_shares[i] + 1)) {
          best = i;
        }
      }
      ++slot_shares[best];
    }
    for (size_t i = 0; i < n; ++i) {
      if (group.members[i].first == vm)
        min_share = std::min(min_share, slot_shares[i]);
    }
  }
  return min_share;
}

std::map<std::string, TimePoint> ShareAssignment::Inheritable(
    const RefusalTracker& refusals, TimePoint now) const {
  std::map<std::string, TimePoint> out;
  if (blocked_) return out;
  for (const Membership& membership : memberships_) {
    std::map<std::string, TimePoint> inheritable;
    TimePoint until = TimePoint::max();
    const size_t n = membership.ring.size();
    const size_t self = membership.IndexOf(vm_id_);
    for (size_t step = 1; self < n && step < n; ++step) {
      const std::string& id = membership.ring[(self + n - step) % n].id;
      TimePoint end;
      if (!refusals.IsAbsent(id, now, &end)) break;
      until = std::min(until, end);
      inheritable[id] = until;
    }
    if (&membership == &memberships_.front()) {
      out = std::move(inheritable);
      continue;
    }
    std::map<std::string, TimePoint> common;
    for (const auto& [vm, end] : out) {
      const auto it = inheritable.find(vm);
      if (it != inheritable.end()) common[vm] = std::min(end, it->second);
    }
    out = std::move(common);
  }
  return out;
}

std::vector<std::string> ShareAssignment::ProbeTargets(
    const RefusalTracker& refusals, TimePoint now) const {
  std::set<std::string> out;
  for (const Membership& membership : memberships_) {
    const size_t n = membership.ring.size();
    const size_t self = membership.IndexOf(vm_id_);
    for (size_t step = 1; self < n && step < n; ++step) {
      const std::string& id = membership.ring[(self + n - step) % n].id;
      out.insert(id);
      if (!refusals.IsRefused(id, now)) break;
    }
  }
  if (!memberships_.empty()) {
    const Membership& oldest = memberships_.front();
    if (blocked_) {
      for (auto& vm : Unconfirmed(oldest, baseline_generation_, now))
        out.insert(vm);
    }
    if (memberships_.size() > 1) {
      for (auto& vm :
           Unconfirmed(oldest, memberships_[1].first_generation, now)) {
        out.insert(vm);
      }
    }
  }
  return {out.begin(), out.end()};
}

const std::vector<EntryVm>& ShareAssignment::ring() const {
  static const std::vector<EntryVm> kNone;
  return memberships_.empty() ? kNone : memberships_.back().ring;
}

std::vector<std::string> ShareAssignment::SlotHolders(
    const std::string& upstream) const {
  std::vector<std::string> out;
  if (memberships_.empty()) return out;
  const Membership& membership = memberships_.back();
  const auto it = zone_of_instance_.find(upstream);
  if (it == zone_of_instance_.end()) return out;
  const size_t n = membership.ring.size();
  for (const auto& member : membership.SlotOwners(it->second).members) {
    out.push_back(member.first);
    out.push_back(
        membership.ring[(membership.IndexOf(member.first) + 1) % n].id);
  }
  return out;
}

const std::string& ShareAssignment::RegionOf(const std::string& zone) const {
  static const std::string kNone;
  if (memberships_.empty()) return kNone;
  const auto it = memberships_.back().region_of_zone.find(zone);
  return it == memberships_.back().region_of_zone.end() ? kNone : it->second;
}

}  // namespace rwf
