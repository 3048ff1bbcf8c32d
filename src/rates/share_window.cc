#include "rates/share_window.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "base/hash.h"

namespace rwf {

ShareWindow::ShareWindow(std::string vm_id) : vm_id_(std::move(vm_id)) {}

const ShareWindow::Group& ShareWindow::Lists::Owners(
    const std::string& zone) const {
  const auto by_zone_it = by_zone.find(zone);
  if (by_zone_it != by_zone.end()) return by_zone_it->second;
  // A zone without entry VMs is served by its region, else by all.
  const auto region = region_of_zone.find(zone);
  if (region == region_of_zone.end()) return all;
  const auto by_region_it = by_region.find(region->second);
  return by_region_it == by_region.end() ? all : by_region_it->second;
}

size_t ShareWindow::Lists::IndexOf(const std::string& vm) const {
  const auto it = std::find_if(ring.begin(), ring.end(),
                               [&](const EntryVm& e) { return e.id == vm; });
  return static_cast<size_t>(it - ring.begin());
}

ShareWindow::Lists ShareWindow::Build(const Config& config) {
  Lists lists;
  lists.first_generation = config.generation;
  for (const Zone& zone : config.zones) {
    lists.region_of_zone[zone.name] = zone.region;
  }
  const auto add = [](Group* group, const EntryVm& vm) {
    group->members.emplace_back(vm.id, vm.weight);
    group->total += vm.weight;
  };
  for (const EntryVm& vm : config.entry_vms) {
    if (vm.retired) continue;
    lists.ring.push_back(vm);
    add(&lists.all, vm);
    add(&lists.by_zone[vm.zone], vm);
    add(&lists.by_region[lists.region_of_zone[vm.zone]], vm);
  }
  return lists;
}

void ShareWindow::Adopt(const Config& config, uint64_t since, TimePoint now) {
  std::map<std::string, TimePoint> retired;
  for (const EntryVm& vm : config.entry_vms) {
    if (!vm.retired) continue;
    const auto it = retired_.find(vm.id);
    retired[vm.id] = it == retired_.end() ? now : it->second;
  }
  retired_ = std::move(retired);
  zone_of_instance_.clear();
  for (const Service& service : config.services) {
    for (const Upstream& upstream : service.upstreams) {
      zone_of_instance_[upstream.id] = upstream.zone;
    }
  }
  Lists lists = Build(config);
  if (lists_.empty()) {
    baseline_ = since == 0 ? config.generation : since;
    lists.first_generation = baseline_;
    lists_.push_back(std::move(lists));
    return;
  }
  const Lists& newest = lists_.back();
  if (newest.ring == lists.ring &&
      newest.region_of_zone == lists.region_of_zone) {
    return;
  }
  lists_.push_back(std::move(lists));
  settle_since_ = TimePoint::max();
}

void ShareWindow::Confirm(const std::string& vm, uint64_t generation) {
  confirmed_[vm] = generation;
}

bool ShareWindow::IsConfirmed(const std::string& vm,
                              uint64_t generation) const {
  if (vm == vm_id_) return true;
  const auto it = confirmed_.find(vm);
  return it != confirmed_.end() && it->second >= generation;
}

std::vector<std::string> ShareWindow::Unconfirmed(const Lists& lists,
                                                  uint64_t generation,
                                                  TimePoint now) const {
  std::vector<std::string> out;
  for (const EntryVm& vm : lists.ring) {
    if (IsConfirmed(vm.id, generation)) continue;
    const auto it = retired_.find(vm.id);
    if (it != retired_.end() && now - it->second >= kInheritDelay) continue;
    out.push_back(vm.id);
  }
  return out;
}

bool ShareWindow::Settle(const RefusalTracker& refusals, TimePoint now) {
  if (lists_.empty()) return false;
  const auto all_absent = [&](const std::vector<std::string>& vms) {
    return std::all_of(vms.begin(), vms.end(), [&](const std::string& vm) {
      TimePoint until;
      return refusals.IsAbsent(vm, now, &until);
    });
  };
  bool changed = false;
  if (blocked_ && all_absent(Unconfirmed(lists_.front(), baseline_, now))) {
    blocked_ = false;
    changed = true;
  }
  while (lists_.size() > 1) {
    const std::vector<std::string> missing =
        Unconfirmed(lists_.front(), lists_[1].first_generation, now);
    if (!missing.empty()) {
      if (!all_absent(missing)) {
        settle_since_ = TimePoint::max();
        break;
      }
      // A process that starts at an absent VM could take the older list only
      // from a VM that had not confirmed yet. The wait shows such a process.
      settle_since_ = std::min(settle_since_, now);
      if (now - settle_since_ < kInheritDelay) break;
    }
    lists_.erase(lists_.begin());
    settle_since_ = TimePoint::max();
    changed = true;
  }
  return changed;
}

bool ShareWindow::IsSettled(const std::vector<std::string>& retiring,
                            TimePoint now) const {
  if (lists_.empty()) return false;
  const auto is_retiring = [&](const std::string& vm) {
    return std::find(retiring.begin(), retiring.end(), vm) != retiring.end();
  };
  const auto none_missing = [&](const Lists& lists, uint64_t generation) {
    const std::vector<std::string> missing =
        Unconfirmed(lists, generation, now);
    return std::all_of(missing.begin(), missing.end(), is_retiring);
  };
  if (blocked_ && !none_missing(lists_.front(), baseline_)) return false;
  // VMs that are only in the newest list may still run an older one.
  const uint64_t newest = lists_.back().first_generation;
  return std::all_of(lists_.begin(), lists_.end(), [&](const Lists& lists) {
    return none_missing(lists, newest);
  });
}

int64_t ShareWindow::WeightIn(const Group& group, const std::string& vm) {
  for (const auto& [id, weight] : group.members) {
    if (id == vm) return weight;
  }
  return 0;
}

int64_t ShareWindow::RateShare(const std::string& vm, int64_t amount) const {
  if (blocked_) return 0;
  int64_t least = amount;
  for (const Lists& lists : lists_) {
    least = std::min(
        least, FloorShare(amount, WeightIn(lists.all, vm), lists.all.total));
  }
  return least;
}

int64_t ShareWindow::LinkShare(const std::string& vm, const std::string& region,
                               int64_t amount) const {
  if (blocked_) return 0;
  int64_t least = amount;
  for (const Lists& lists : lists_) {
    const auto it = lists.by_region.find(region);
    if (it == lists.by_region.end()) return 0;
    least = std::min(
        least, FloorShare(amount, WeightIn(it->second, vm), it->second.total));
  }
  return least;
}

int64_t ShareWindow::SlotShare(const std::string& vm,
                               const std::string& upstream,
                               int64_t slots) const {
  const auto zone = zone_of_instance_.find(upstream);
  if (blocked_ || zone == zone_of_instance_.end()) return 0;
  int64_t least = slots;
  for (const Lists& lists : lists_) {
    const Group& group = lists.Owners(zone->second);
    const size_t n = group.members.size();
    if (WeightIn(group, vm) == 0) return 0;
    // Each slot goes to the member with the most weight for each slot it would
    // then have (the D'Hondt method), so that no part shrinks when slots are
    // added. Starting each instance at another member spreads the remainders.
    const size_t first = Hash64(upstream) % n;
    std::vector<int64_t> parts(n, 0);
    for (int64_t slot = 0; slot < slots; ++slot) {
      size_t best = first;
      for (size_t step = 1; step < n; ++step) {
        const size_t i = (first + step) % n;
        if (group.members[i].second * (parts[best] + 1) >
            group.members[best].second * (parts[i] + 1)) {
          best = i;
        }
      }
      ++parts[best];
    }
    for (size_t i = 0; i < n; ++i) {
      if (group.members[i].first == vm) least = std::min(least, parts[i]);
    }
  }
  return least;
}

std::map<std::string, TimePoint> ShareWindow::Inheritable(
    const RefusalTracker& refusals, TimePoint now) const {
  std::map<std::string, TimePoint> out;
  if (blocked_) return out;
  for (const Lists& lists : lists_) {
    std::map<std::string, TimePoint> here;
    TimePoint until = TimePoint::max();
    const size_t n = lists.ring.size();
    const size_t self = lists.IndexOf(vm_id_);
    for (size_t step = 1; self < n && step < n; ++step) {
      const std::string& id = lists.ring[(self + n - step) % n].id;
      TimePoint end;
      if (!refusals.IsAbsent(id, now, &end)) break;
      until = std::min(until, end);
      here[id] = until;
    }
    if (&lists == &lists_.front()) {
      out = std::move(here);
      continue;
    }
    std::map<std::string, TimePoint> both;
    for (const auto& [vm, end] : out) {
      const auto it = here.find(vm);
      if (it != here.end()) both[vm] = std::min(end, it->second);
    }
    out = std::move(both);
  }
  return out;
}

std::vector<std::string> ShareWindow::ToProbe(const RefusalTracker& refusals,
                                              TimePoint now) const {
  std::set<std::string> out;
  for (const Lists& lists : lists_) {
    const size_t n = lists.ring.size();
    const size_t self = lists.IndexOf(vm_id_);
    for (size_t step = 1; self < n && step < n; ++step) {
      const std::string& id = lists.ring[(self + n - step) % n].id;
      out.insert(id);
      if (!refusals.IsRefused(id, now)) break;
    }
  }
  if (!lists_.empty()) {
    const Lists& oldest = lists_.front();
    if (blocked_) {
      for (auto& vm : Unconfirmed(oldest, baseline_, now)) out.insert(vm);
    }
    if (lists_.size() > 1) {
      for (auto& vm : Unconfirmed(oldest, lists_[1].first_generation, now)) {
        out.insert(vm);
      }
    }
  }
  return {out.begin(), out.end()};
}

const std::vector<EntryVm>& ShareWindow::ring() const {
  static const std::vector<EntryVm> kNone;
  return lists_.empty() ? kNone : lists_.back().ring;
}

std::vector<std::string> ShareWindow::SlotHolders(
    const std::string& upstream) const {
  std::vector<std::string> out;
  if (lists_.empty()) return out;
  const Lists& lists = lists_.back();
  const auto it = zone_of_instance_.find(upstream);
  if (it == zone_of_instance_.end()) return out;
  const size_t n = lists.ring.size();
  for (const auto& member : lists.Owners(it->second).members) {
    out.push_back(member.first);
    out.push_back(lists.ring[(lists.IndexOf(member.first) + 1) % n].id);
  }
  return out;
}

const std::string& ShareWindow::RegionOf(const std::string& zone) const {
  static const std::string kNone;
  if (lists_.empty()) return kNone;
  const auto it = lists_.back().region_of_zone.find(zone);
  return it == lists_.back().region_of_zone.end() ? kNone : it->second;
}

}  // namespace rwf
