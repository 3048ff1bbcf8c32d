#include "traffic/workspace_limiter.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace rwf {
namespace {

// Retry delay for callers whose limit could not be decided.
constexpr Duration kUndecidedRetryAfter = std::chrono::milliseconds(300);

}  // namespace

void WorkspaceLimiter::SetLimits(
    const std::vector<TrafficWorkspace>& workspaces, TimePoint now) {
  keeper_.SetLimits(workspaces, now);
  ChooseKeepers(now);
}

void WorkspaceLimiter::SetPeers(const std::vector<LimitPeer>& peers,
                                TimePoint now) {
  const bool is_same = std::equal(
      peers.begin(), peers.end(), peers_.begin(), peers_.end(),
      [](const LimitPeer& a, const LimitPeer& b) {
        return a.vm == b.vm && a.is_heard == b.is_heard &&
               a.can_keep == b.can_keep && a.may_admit == b.may_admit &&
               a.is_unregistered == b.is_unregistered &&
               a.passed_over == b.passed_over;
      });
  peers_ = peers;
  if (!is_same) ChooseKeepers(now);
}

void WorkspaceLimiter::SetRegistered(bool is_registered, bool is_known_to_all,
                                     TimePoint now) {
  if (is_registered == is_registered_ && is_known_to_all == is_known_to_all_)
    return;
  is_registered_ = is_registered;
  is_known_to_all_ = is_known_to_all;
  UpdateParts(now);
}

void WorkspaceLimiter::UpdatePassedOver(TimePoint now) {
  std::set<std::string> names;
  for (const LimitPeer& it : peers_) {
    if (!it.is_heard || silent_.contains(it.vm)) names.insert(it.vm);
  }
  if (names == *passed_over_) return;
  std::erase_if(passed_over_since_,
                [&](const auto& it) { return !names.contains(it.first); });
  for (const std::string& it : names) passed_over_since_.try_emplace(it, now);
  passed_over_ =
      std::make_shared<const std::set<std::string>>(std::move(names));
}

void WorkspaceLimiter::UpdateParts(TimePoint now) {
  LimitVotes::Own own{self_, *passed_over_, {}, is_registered_};
  parts_change_at_.reset();
  for (const auto& [vm, since] : passed_over_since_) {
    const TimePoint end = since + report_delay_;
    if (end <= now) continue;
    own.recently_passed_over.insert(vm);
    parts_change_at_ = std::min(end, parts_change_at_.value_or(end));
  }
  // A VM that is cut off when it starts may be unknown to all others.
  const bool hears_any =
      std::any_of(peers_.begin(), peers_.end(),
                  [](const LimitPeer& it) { return it.is_heard; });
  own.has_vote = is_registered_ && (hears_any || is_known_to_all_);
  votes_ = LimitVotes(std::move(own), peers_);
  if (!was_settled_) return;
  keeper_.SetParts(
      [this](const std::string& workspace, Keeping keeping) {
        return votes_.PartOf(workspace, keeping);
      },
      now);
}

void WorkspaceLimiter::SetLeaving(bool is_leaving, TimePoint now) {
  if (is_leaving == is_leaving_) return;
  is_leaving_ = is_leaving;
  ChooseKeepers(now);
}

const std::string& WorkspaceLimiter::KeeperOf(const std::string& workspace) {
  std::string& keeper = keepers_[workspace];
  if (!keeper.empty()) return keeper;
  const uint64_t seed = Hash64(workspace);
  uint64_t best = 0;
  for (const LimitPeer& it : peers_) {
    if (!it.can_keep || silent_.contains(it.vm)) continue;
    const uint64_t score = Hash64(it.vm, seed);
    if (!keeper.empty() && score <= best) continue;
    keeper = it.vm;
    best = score;
  }
  const bool is_self_better = !is_leaving_ && Hash64(self_, seed) > best;
  if (keeper.empty() || is_self_better) keeper = self_;
  return keeper;
}

// A VM that does not reply but is counted as reachable may be keeping a limit
// for others.
Keeping WorkspaceLimiter::KeepingOf(const std::string& workspace) {
  if (KeeperOf(workspace) != self_) return Keeping::kNo;
  const uint64_t seed = Hash64(workspace);
  const uint64_t own_score = Hash64(self_, seed);
  const bool has_rival =
      !silent_.empty() &&
      std::any_of(peers_.begin(), peers_.end(), [&](const LimitPeer& it) {
        return it.is_heard && silent_.contains(it.vm) &&
               Hash64(it.vm, seed) > own_score;
      });
  return has_rival ? Keeping::kUncertain : Keeping::kYes;
}

bool WorkspaceLimiter::CanKeep(const std::string& vm) const {
  return !silent_.contains(vm) &&
         std::any_of(peers_.begin(), peers_.end(), [&](const LimitPeer& it) {
           return it.vm == vm && it.can_keep;
         });
}

void WorkspaceLimiter::ChooseKeepers(TimePoint now) {
  const auto former = std::exchange(keepers_, {});
  UpdatePassedOver(now);
  std::vector<LimitClaim> given_up = keeper_.SetKept(
      [this](const std::string& it) { return KeepingOf(it); }, now);
  UpdateParts(now);
  if (was_settled_) {
    for (LimitClaim& it : given_up) {
      const std::string keeper = KeeperOf(it.name);
      SendClaims(keeper, {std::move(it)}, {}, now);
    }
  }
  empty_.RemoveUnless([this](const std::string& name, const std::string& vm) {
    return keeper_.HasLimit(name) && KeeperOf(name) == vm;
  });
  for (const auto& [workspace, vm] : former) {
    const bool is_lost = vm != self_ && !CanKeep(vm);
    if (is_lost && keeper_.HasLimit(workspace)) unconfirmed_.insert(workspace);
  }
  std::vector<std::string> lost;
  for (const auto& [vm, claims] : sent_) {
    if (!CanKeep(vm)) lost.push_back(vm);
  }
  for (const std::string& vm : lost) {
    for (const Ticket it : Recall(vm)) Ask(it, now);
  }
}

std::vector<WorkspaceLimiter::Ticket> WorkspaceLimiter::Recall(
    const std::string& vm) {
  std::vector<Ticket> out;
  for (const SentClaims& it : sent_[vm]) {
    for (const LimitClaim& claim : it.claims) {
      Use& use = unclaimed_[claim.name];
      use.admitted += claim.admitted;
      use.returned += claim.returned;
    }
    out.insert(out.end(), it.tickets.begin(), it.tickets.end());
  }
  sent_.erase(vm);
  scarce_.erase(vm);
  return out;
}

bool WorkspaceLimiter::NeedsGrant(const std::string& keeper,
                                  const std::string& workspace) const {
  if (unconfirmed_.contains(workspace)) return true;
  const auto it = scarce_.find(keeper);
  return it != scarce_.end() && it->second.contains(workspace);
}

WorkspaceLimiter::Result WorkspaceLimiter::Admit(const std::string& workspace,
                                                 Ticket ticket, TimePoint now) {
  if (!keeper_.HasLimit(workspace)) return {};
  if (!is_deciding_) {
    waiting_[ticket] = {workspace, now};
    ++counters_.asked;
    return {Admission::kWaiting, {}};
  }
  const std::string& keeper = KeeperOf(workspace);
  if (keeper == self_) {
    if (keeper_.TryTake(workspace, now)) return {};
    ++counters_.refused;
    return {Admission::kRefused, keeper_.RetryAfter(workspace, now)};
  }
  if (!NeedsGrant(keeper, workspace)) {
    empty_.Remove(workspace);
    ++unclaimed_[workspace].admitted;
    ++counters_.free;
    return {};
  }
  if (empty_.Contains(workspace, keeper)) {
    if (empty_.TryTake(workspace)) return {};
    ++counters_.refused;
    ++counters_.refused_at_once;
    return {Admission::kRefused, keeper_.RetryAfter(workspace, now)};
  }
  waiting_[ticket] = {workspace, now};
  ++counters_.asked;
  Ask(ticket, now);
  return {Admission::kWaiting, {}};
}

void WorkspaceLimiter::Ask(Ticket ticket, TimePoint now) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end()) return;
  const std::string& workspace = it->second.workspace;
  const std::string& keeper = KeeperOf(workspace);
  if (keeper == self_) {
    const bool has_token = keeper_.TryTake(workspace, now);
    Decide(ticket, has_token,
           has_token ? Duration::zero() : keeper_.RetryAfter(workspace, now),
           now);
    return;
  }
  LimitClaim claim{workspace, 0, 0, 1};
  if (const auto use = unclaimed_.find(workspace); use != unclaimed_.end()) {
    claim.admitted = use->second.admitted;
    claim.returned = use->second.returned;
    unclaimed_.erase(use);
  }
  SendClaims(keeper, {std::move(claim)}, {ticket}, now);
}

void WorkspaceLimiter::SendClaims(const std::string& vm,
                                  std::vector<LimitClaim> claims,
                                  std::vector<Ticket> tickets, TimePoint now) {
  const uint64_t id = next_id_++;
  sent_[vm].push_back({id, now, claims, std::move(tickets)});
  messages_.push_back({vm, {id, std::move(claims)}});
}

void WorkspaceLimiter::Decide(Ticket ticket, bool is_admitted,
                              Duration retry_after, TimePoint now) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end()) return;
  if (it->second.is_cancelled) {
    if (is_admitted) Return(it->second.workspace, now);
  } else {
    if (!is_admitted) ++counters_.refused;
    decisions_.push_back({ticket, is_admitted, retry_after});
  }
  waiting_.erase(it);
}

void WorkspaceLimiter::Cancel(Ticket ticket) {
  const auto it = waiting_.find(ticket);
  if (it != waiting_.end()) it->second.is_cancelled = true;
}

void WorkspaceLimiter::Return(const std::string& workspace, TimePoint now) {
  if (!keeper_.HasLimit(workspace)) return;
  if (KeeperOf(workspace) == self_) {
    keeper_.Return(workspace, now);
    return;
  }
  ++unclaimed_[workspace].returned;
}

void WorkspaceLimiter::Settle(TimePoint now) {
  was_settled_ = true;
  settled_at_ = now;
  UpdateParts(now);
  const bool has_predecessors =
      std::any_of(peers_.begin(), peers_.end(), [](const LimitPeer& it) {
        return it.can_keep && it.kept_for >= LimitKeeper::kHandoverTime;
      });
  keeper_.Restart(has_predecessors, now);
}

void WorkspaceLimiter::BeginDeciding(TimePoint now) {
  is_deciding_ = true;
  std::vector<Ticket> tickets;
  for (const auto& [ticket, it] : waiting_) tickets.push_back(ticket);
  for (const Ticket it : tickets) Ask(it, now);
}

void WorkspaceLimiter::Tick(TimePoint now) {
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kPauseThreshold)
    keeper_.Restart(true, now);
  ticked_at_ = now;
  bool has_new_silent = false;
  for (const auto& [vm, claims] : sent_) {
    if (claims.empty() || now - claims.front().sent_at < kReplyTimeout)
      continue;
    has_new_silent = silent_.insert(vm).second || has_new_silent;
    ++counters_.timeouts;
  }
  if (has_new_silent) ChooseKeepers(now);
  if (parts_change_at_ && now >= *parts_change_at_) UpdateParts(now);
  if (!was_settled_ && IsSettled(now)) Settle(now);
  if (was_settled_ && !is_deciding_ && now - settled_at_ >= kAnnounceTime)
    BeginDeciding(now);
  if (is_deciding_) ClaimUses(now);
  std::vector<Ticket> expired;
  for (const auto& [ticket, it] : waiting_) {
    const Duration limit = is_deciding_ ? kMaxWait : kSettleTime + kMaxWait;
    if (now - it.since >= limit) expired.push_back(ticket);
  }
  for (const Ticket it : expired) {
    ++counters_.expired;
    Decide(it, false, kUndecidedRetryAfter, now);
  }
}

void WorkspaceLimiter::ClaimUses(TimePoint now) {
  for (const EmptyLimits::Unused& it : empty_.TakeUnused(now))
    unclaimed_[it.name].returned += it.tokens;
  std::map<std::string, uint32_t> wanted;
  for (const EmptyLimits::Request& it : empty_.TakeRequests(now)) {
    unclaimed_.try_emplace(it.name);
    wanted[it.name] = it.wanted;
  }
  std::map<std::string, std::vector<LimitClaim>> claims;  // by keeper
  for (const auto& [name, use] : std::exchange(unclaimed_, {})) {
    const std::string& keeper = KeeperOf(name);
    LimitClaim claim{name, use.admitted, use.returned, 0};
    if (keeper == self_) {
      keeper_.OnClaims({claim}, now);
      continue;
    }
    if (const auto it = wanted.find(name); it != wanted.end())
      claim.wanted = it->second;
    claims[keeper].push_back(std::move(claim));
  }
  for (auto& [vm, it] : claims) {
    for (const LimitClaim& claim : it) {
      if (claim.wanted > 0) empty_.OnSent(claim.name, next_id_);
    }
    SendClaims(vm, std::move(it), {}, now);
  }
}

LimitReply WorkspaceLimiter::OnClaims(const LimitClaims& claims,
                                      TimePoint now) {
  return {claims.id, keeper_.OnClaims(claims.claims, now)};
}

void WorkspaceLimiter::OnReply(const std::string& vm, const LimitReply& reply,
                               TimePoint now) {
  if (silent_.erase(vm) > 0) ChooseKeepers(now);
  for (const LimitVerdict& it : reply.verdicts) {
    if (KeeperOf(it.name) == vm) unconfirmed_.erase(it.name);
    if (it.is_scarce) {
      scarce_[vm].insert(it.name);
    } else if (const auto names = scarce_.find(vm); names != scarce_.end()) {
      names->second.erase(it.name);
    }
  }
  const auto sent = sent_.find(vm);
  if (reply.id == 0 || sent == sent_.end()) return;
  const auto pos =
      std::find_if(sent->second.begin(), sent->second.end(),
                   [&](const SentClaims& it) { return it.id == reply.id; });
  if (pos == sent->second.end()) return;
  const std::vector<Ticket> tickets = std::move(pos->tickets);
  sent->second.erase(pos);
  if (sent->second.empty()) sent_.erase(sent);
  std::map<std::string, LimitVerdict> verdicts;
  for (const LimitVerdict& it : reply.verdicts) {
    if (empty_.OnGranted(it.name, reply.id, it.granted, it.retry_after, now))
      continue;
    verdicts[it.name] = it;
    const bool is_empty = it.granted == 0 && it.retry_after > Duration::zero();
    if (is_empty && KeeperOf(it.name) == vm)
      empty_.OnRefused(it.name, vm, it.retry_after, now);
  }
  for (const Ticket ticket : tickets) {
    const auto it = waiting_.find(ticket);
    if (it == waiting_.end()) continue;
    LimitVerdict& verdict = verdicts[it->second.workspace];
    const bool is_admitted = verdict.granted > 0;
    if (is_admitted) --verdict.granted;
    Decide(ticket, is_admitted, verdict.retry_after, now);
  }
  // Grants for requests that no longer wait.
  for (const auto& [name, it] : verdicts) {
    if (it.granted > 0) unclaimed_[name].returned += it.granted;
  }
}

void WorkspaceLimiter::OnScarceLimits(const std::string& vm,
                                      const std::vector<std::string>& names,
                                      TimePoint now) {
  if (silent_.erase(vm) > 0) ChooseKeepers(now);
  if (names.empty()) {
    scarce_.erase(vm);
    return;
  }
  scarce_[vm] = {names.begin(), names.end()};
}

std::vector<WorkspaceLimiter::Message> WorkspaceLimiter::TakeMessages() {
  return std::exchange(messages_, {});
}

std::vector<WorkspaceLimiter::Decision> WorkspaceLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace rwf
