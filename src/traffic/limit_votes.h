#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "traffic/limit_keeper.h"
#include "traffic/limit_messages.h"

namespace rwf {

// Calculates which part of each rate this VM may refill: that of the VMs which
// send it their claims on that limit (docs/design/limit-keeping.md). So no part
// is refilled by two VMs, also where some VMs hear both and some only one.
class LimitVotes {
 public:
  struct Own {
    std::string vm;
    std::set<std::string> passed_over;
    // VMs that were passed over so recently that the others may not have told
    // yet whether they do so too.
    std::set<std::string> recently_passed_over;
    bool has_vote = true;
  };

  LimitVotes() = default;
  LimitVotes(Own own, const std::vector<LimitPeer>& peers);

  // Returns the part of the rate of `workspace` that this VM may refill.
  LimitPart PartOf(const std::string& workspace, Keeping keeping) const;
  // Returns the fraction of the VMs that this VM hears, including itself.
  double reach() const { return reach_; }

 private:
  // VMs that pass over the same VMs.
  struct Group {
    double voters = 0;
    double registered = 0;
    // Candidates other than this VM that they may choose, by index, and those
    // that remain if they too pass over what this VM lately did.
    std::vector<size_t> rivals;
    std::vector<size_t> lasting_rivals;
  };

  Own own_;
  double vms_ = 1;
  double reach_ = 1;
  // Every VM hears every other one.
  bool is_clear_ = true;
  std::vector<std::string> candidates_;
  std::vector<Group> groups_;
};

}  // namespace rwf
