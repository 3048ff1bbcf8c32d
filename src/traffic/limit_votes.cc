#include "traffic/limit_votes.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash.h"

namespace rwf {
namespace {

// Part of the votes that count before their VMs have told of them.
constexpr double kPendingVoteWeight = 0.25;

}  // namespace

LimitVotes::LimitVotes(Own own, const std::vector<LimitPeer>& peers)
    : own_(std::move(own)) {
  // VMs of the former version send no list: they are assumed to hear all.
  static const std::set<std::string> kNone;
  std::map<std::set<std::string>, Group> groups;
  double heard = 1;
  is_clear_ = own_.passed_over.empty();
  for (const LimitPeer& it : peers) {
    const std::set<std::string>& passed_over =
        it.passed_over == nullptr ? kNone : *it.passed_over;
    is_clear_ = is_clear_ && passed_over.empty() && it.is_heard;
    if (!it.may_admit) continue;
    ++vms_;
    // A VM that says itself that it keeps no limits is no candidate.
    if (!it.is_heard || it.can_keep) candidates_.push_back(it.vm);
    if (!it.is_heard) continue;
    ++heard;
    if (passed_over.contains(own_.vm)) continue;
    Group& group = groups[passed_over];
    ++group.voters;
    if (!it.is_unregistered) ++group.registered;
  }
  reach_ = heard / vms_;
  if (is_clear_) return;
  for (auto& [passed_over, group] : groups) {
    for (size_t n = 0; n < candidates_.size(); ++n) {
      const std::string& vm = candidates_[n];
      if (passed_over.contains(vm)) continue;
      group.rivals.push_back(n);
      if (!own_.recently_passed_over.contains(vm))
        group.lasting_rivals.push_back(n);
    }
    groups_.push_back(std::move(group));
  }
}

LimitPart LimitVotes::PartOf(const std::string& workspace,
                             Keeping keeping) const {
  // Until the reports tell, a VM that does not reply to claims may be keeping
  // the limit for others.
  const LimitPart uncertain{reach_, reach_ * LimitKeeper::kUncertainFraction};
  if (keeping == Keeping::kUncertain) return uncertain;
  if (is_clear_) return keeping == Keeping::kYes ? LimitPart{} : uncertain;
  const uint64_t seed = Hash64(workspace);
  const uint64_t own_score = Hash64(own_.vm, seed);
  std::vector<bool> is_better;
  is_better.reserve(candidates_.size());
  for (const std::string& it : candidates_)
    is_better.push_back(Hash64(it, seed) > own_score);
  const auto has_better = [&](const std::vector<size_t>& rivals) {
    return std::any_of(rivals.begin(), rivals.end(),
                       [&](size_t n) { return is_better[n]; });
  };
  // This VM sends its own claims to the keeper that it selected.
  const bool votes_for_self = keeping == Keeping::kYes;
  double voters = votes_for_self ? 1 : 0;
  double registered = votes_for_self && own_.has_vote ? 1 : 0;
  for (const Group& it : groups_) {
    if (!has_better(it.rivals)) {
      voters += it.voters;
      registered += it.registered;
    } else if (!has_better(it.lasting_rivals)) {
      registered += it.registered * kPendingVoteWeight;
    }
  }
  // While all VMs choose this one, it does not matter whether they are
  // registered: the store may be away for all of them.
  if (voters >= vms_) return {};
  const double part = registered / vms_;
  if (keeping == Keeping::kNo && part <= 0) return uncertain;
  return {part, part};
}

}  // namespace rwf
