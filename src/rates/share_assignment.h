#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "config/config.h"
#include "rates/refusal_tracker.h"
#include "rates/slice.h"

namespace rwf {

// Which part of each resource a VM owns, over all entry_vms lists that some VM
// may still have in force. The part is the smallest over these lists: all VMs
// then use no more than their part by the oldest list in force anywhere, and
// those parts sum to at most the whole.
//
// This holds if no VM can pass over a list: a configuration may change
// entry_vms (or the region of a zone) only while IsConverged, and may leave out
// only VMs that were retired or had weight 0.
class ShareAssignment {
 public:
  explicit ShareAssignment(std::string vm_id);

  // Adds the lists of a configuration newer than all before. `since` as in
  // ShareLedger::ApplyConfig.
  void AddConfig(const Config& config, uint64_t entry_vms_since, TimePoint now);

  // The generation that the newest known process of `vm` conforms to.
  void Confirm(const std::string& vm, uint64_t generation);

  // Drops lists that no VM has in force any more. True if shares may have
  // changed.
  bool DropObsoleteMemberships(const RefusalTracker& refusals, TimePoint now);

  // Own part of `amount` for rates, split over all VMs, and for the budget of a
  // link, split over the VMs of the source region.
  int64_t RateShare(const std::string& vm, int64_t amount) const;
  int64_t LinkShare(const std::string& vm, const std::string& region,
                    int64_t amount) const;
  // Slots that `vm` owns of an instance with `slots`. By one list the parts sum
  // exactly to the whole, and none shrinks when `slots` grows.
  int64_t SlotShare(const std::string& vm, const std::string& upstream,
                    int64_t slots) const;

  // VMs whose share this VM may use, and until when: those that by each list
  // precede it on the ring with only absent VMs between.
  std::map<std::string, TimePoint> Inheritable(const RefusalTracker& refusals,
                                               TimePoint now) const;

  // Ring predecessors to probe: the nearest, and each one before a refused one.
  // Also the VMs whose missing confirmation holds a list in force.
  std::vector<std::string> ProbeTargets(const RefusalTracker& refusals,
                                        TimePoint now) const;

  // VMs of the newest list that are not retired, in ring order.
  const std::vector<EntryVm>& ring() const;
  // VMs that own slots of the instance by the newest list, and the next VM on
  // the ring after each, which inherits them.
  std::vector<std::string> SlotHolders(const std::string& upstream) const;
  const std::string& RegionOf(const std::string& zone) const;
  // True if only the newest list is in force anywhere, apart from VMs in
  // `retiring`.
  bool IsConverged(const std::vector<std::string>& retiring,
                   TimePoint now) const;

 private:
  struct Group {
    std::vector<std::pair<std::string, int64_t>> members;  // id, weight
    int64_t total = 0;
  };
  // The lists of one or more successive generations that share them.
  struct Membership {
    uint64_t first_generation = 0;
    std::vector<EntryVm> ring;
    std::map<std::string, std::string> region_of_zone;
    Group all;
    std::map<std::string, Group> by_zone;
    std::map<std::string, Group> by_region;

    const Group& SlotOwners(const std::string& zone) const;
    // Position of a VM on the ring; its size if absent.
    size_t IndexOf(const std::string& vm) const;
  };

  static Membership BuildMembership(const Config& config);
  static int64_t WeightIn(const Group& group, const std::string& vm);
  bool IsConfirmed(const std::string& vm, uint64_t generation) const;
  // VMs of `lists` that have neither confirmed `generation` nor are retired for
  // so long that their loans have ended.
  std::vector<std::string> Unconfirmed(const Membership& membership,
                                       uint64_t generation,
                                       TimePoint now) const;

  std::string vm_id_;
  std::vector<Membership> memberships_;  // oldest first
  std::unordered_map<std::string, std::string> zone_of_instance_;
  // A fresh process does not know older lists: nothing is owned until the VMs
  // of its first list have confirmed baseline_generation_.
  bool blocked_ = true;
  uint64_t baseline_generation_ = 0;
  std::map<std::string, uint64_t> confirmed_;
  // When the retirement of a VM became known here.
  std::map<std::string, TimePoint> retired_at_;
  TimePoint all_absent_since_ = TimePoint::max();
};

}  // namespace rwf
