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

// Computes which share of each resource a VM owns, over all memberships
// (entry_vms lists with weights and regions) that some VM may still have in
// force. A share is the minimum over these memberships: each VM then uses no
// more than its share by the oldest membership in force anywhere, and those
// shares sum to at most the total.
//
// This holds only if no VM skips a membership: a configuration may change
// entry_vms (or the region of a zone) only while IsConverged, and may omit only
// VMs that were retired or had weight 0.
class ShareAssignment {
 public:
  explicit ShareAssignment(std::string vm_id);

  // Adds the membership of a configuration that is newer than all before.
  // `entry_vms_since` as in ShareLedger::ApplyConfig.
  void AddConfig(const Config& config, uint64_t entry_vms_since, TimePoint now);

  // Records the generation to which the newest known process of `vm` conforms.
  void Confirm(const std::string& vm, uint64_t generation);

  // Drops memberships that no VM has in force any more. Returns true if shares
  // may have changed.
  bool DropObsoleteMemberships(const RefusalTracker& refusals, TimePoint now);

  // Share of `vm` in `amount`: of a rate, divided over all VMs, or of a link
  // budget, divided over the VMs of the source region.
  int64_t RateShare(const std::string& vm, int64_t amount) const;
  int64_t LinkShare(const std::string& vm, const std::string& region,
                    int64_t amount) const;
  // Slots that `vm` owns of an instance with `slots`. Within one membership the
  // shares sum exactly to `slots`, and none shrinks when `slots` grows.
  int64_t SlotShare(const std::string& vm, const std::string& upstream,
                    int64_t slots) const;

  // VMs whose share this VM may use, and until when: those that precede it on
  // the ring of every membership with only absent VMs between.
  std::map<std::string, TimePoint> Inheritable(const RefusalTracker& refusals,
                                               TimePoint now) const;

  // VMs to probe: the nearest ring predecessor, each one before a predecessor
  // that refuses connections, and the VMs whose missing confirmation keeps an
  // older membership in force.
  std::vector<std::string> ProbeTargets(const RefusalTracker& refusals,
                                        TimePoint now) const;

  // VMs of the newest membership that are not retired, in ring order.
  const std::vector<EntryVm>& ring() const;
  // VMs that own slots of the instance by the newest membership, and the ring
  // successor of each, which inherits them.
  std::vector<std::string> SlotHolders(const std::string& upstream) const;
  const std::string& RegionOf(const std::string& zone) const;
  // True if only the newest membership is in force on all VMs except those in
  // `retiring`.
  bool IsConverged(const std::vector<std::string>& retiring,
                   TimePoint now) const;

 private:
  struct Group {
    std::vector<std::pair<std::string, int64_t>> members;  // id, weight
    int64_t total = 0;
  };
  // The entry VMs and regions that one or more successive generations share.
  struct Membership {
    uint64_t first_generation = 0;
    std::vector<EntryVm> ring;
    std::map<std::string, std::string> region_of_zone;
    Group all;
    std::map<std::string, Group> by_zone;
    std::map<std::string, Group> by_region;

    const Group& SlotOwners(const std::string& zone) const;
    // Position of a VM on the ring; the size of the ring if absent.
    size_t IndexOf(const std::string& vm) const;
  };

  static Membership BuildMembership(const Config& config);
  static int64_t WeightIn(const Group& group, const std::string& vm);
  bool IsConfirmed(const std::string& vm, uint64_t generation) const;
  // VMs of `membership` that have not confirmed `generation`, without those
  // retired for so long that their loans have ended.
  std::vector<std::string> Unconfirmed(const Membership& membership,
                                       uint64_t generation,
                                       TimePoint now) const;

  std::string vm_id_;
  std::vector<Membership> memberships_;  // oldest first
  std::unordered_map<std::string, std::string> zone_of_instance_;
  // A new process does not know older memberships, so it owns nothing until the
  // VMs of its first membership have confirmed baseline_generation_ or are
  // absent.
  bool blocked_ = true;
  uint64_t baseline_generation_ = 0;
  std::map<std::string, uint64_t> confirmed_;
  // Time at which this VM learned that a VM is retired.
  std::map<std::string, TimePoint> retired_at_;
  TimePoint all_absent_since_ = TimePoint::max();
};

}  // namespace rwf
