#include "once/claim_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "once/idempotency_key.h"

namespace rwf {
namespace {

constexpr uint64_t kLifetimeSeconds = kKeyLifetime / std::chrono::seconds(1);
// Counted for each outcome besides its texts.
constexpr size_t kOutcomeOverhead = 128;

size_t SizeOf(const wire::StoredOutcomeT& outcome) {
  return outcome.body.size() + outcome.content_type.size() + kOutcomeOverhead;
}

}  // namespace

ClaimLedger::ClaimLedger(uint64_t incarnation, size_t max_claims)
    : incarnation_(incarnation), max_claims_(max_claims) {
  assert(max_claims_ > 0);
}

wire::ClaimReplyT ClaimLedger::OnClaim(const VmProcess& asker,
                                       const wire::ClaimRequestT& request,
                                       TimePoint now, WallTime wall) {
  wire::ClaimReplyT reply;
  reply.request_id = request.request_id;
  reply.claim = request.claim;
  const auto answer = [&](wire::ClaimVerdict verdict) {
    reply.verdict = verdict;
    return std::move(reply);
  };
  if (request.home_incarnation != incarnation_) {
    return answer(wire::ClaimVerdict::kWrongIncarnation);
  }
  Advance(wall);
  auto it = claims_.find(request.claim);
  if (it == claims_.end() && claims_.size() >= max_claims_) {
    // Memory is bounded by expiring the oldest keys early, never by forgetting
    // a claim whose key is still accepted.
    RaiseHorizon(by_mint_.begin()->first);
  }
  if (request.minted_unix_s <= horizon_unix_s_) {
    return answer(wire::ClaimVerdict::kExpired);
  }
  if (it == claims_.end()) {
    it = claims_.emplace(request.claim, Claim{}).first;
    by_mint_[request.minted_unix_s].push_back(request.claim);
  }
  Claim& claim = it->second;
  if (claim.state != State::kReleased && claim.body != request.body) {
    return answer(wire::ClaimVerdict::kBodyMismatch);
  }
  switch (claim.state) {
    case State::kReleased:
      claim.body = request.body;
      claim.state = State::kRunning;
      claim.attempt = ++last_attempt_;
      claim.request_id = request.request_id;
      claim.runner = asker;
      claim.granted_at = now;
      break;
    case State::kRunning:
      if (now - claim.granted_at > kRunLimit) {
        claim.state = State::kPresumed;
        return answer(wire::ClaimVerdict::kUnknown);
      }
      // The same request again: its first reply may be lost.
      if (claim.runner != asker || claim.request_id != request.request_id) {
        return answer(wire::ClaimVerdict::kInProgress);
      }
      break;
    case State::kCompleted:
      if (claim.outcome == nullptr) {
        return answer(wire::ClaimVerdict::kUnknown);
      }
      reply.outcome = std::make_unique<wire::StoredOutcomeT>(*claim.outcome);
      return answer(wire::ClaimVerdict::kDone);
    case State::kPresumed:
    case State::kUnknown:
      return answer(wire::ClaimVerdict::kUnknown);
  }
  reply.attempt = claim.attempt;
  return answer(wire::ClaimVerdict::kGranted);
}

void ClaimLedger::OnResult(const wire::ClaimResultT& result, TimePoint) {
  const auto it = claims_.find(result.claim);
  if (it == claims_.end()) return;
  Claim& claim = it->second;
  if (claim.attempt != result.attempt) return;
  if (claim.state != State::kRunning && claim.state != State::kPresumed) return;
  switch (result.end) {
    case wire::ClaimEnd::kCompleted:
      claim.state = State::kCompleted;
      if (result.outcome != nullptr) Store(it->first, &claim, *result.outcome);
      break;
    case wire::ClaimEnd::kNotRun:
      claim.state = State::kReleased;
      break;
    case wire::ClaimEnd::kOutcomeUnknown:
      claim.state = State::kUnknown;
      break;
  }
}

void ClaimLedger::OnPeerDead(const VmProcess& process, TimePoint) {
  for (auto& [id, claim] : claims_) {
    if (claim.state != State::kRunning || claim.runner.vm != process.vm ||
        claim.runner.incarnation > process.incarnation) {
      continue;
    }
    claim.state = State::kPresumed;
  }
}

void ClaimLedger::OnTick(TimePoint, WallTime wall) { Advance(wall); }

uint64_t ClaimLedger::MintTime(WallTime wall) {
  Advance(wall);
  return std::max(latest_unix_s_, horizon_unix_s_ + 1);
}

void ClaimLedger::Advance(WallTime wall) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(wall).time_since_epoch().count();
  latest_unix_s_ =
      std::max(latest_unix_s_, static_cast<uint64_t>(std::max<int64_t>(
                                   static_cast<int64_t>(seconds), 0)));
  if (latest_unix_s_ > kLifetimeSeconds) {
    RaiseHorizon(latest_unix_s_ - kLifetimeSeconds);
  }
}

void ClaimLedger::RaiseHorizon(uint64_t minted_unix_s) {
  horizon_unix_s_ = std::max(horizon_unix_s_, minted_unix_s);
  while (!by_mint_.empty() && by_mint_.begin()->first <= horizon_unix_s_) {
    for (const Digest& id : by_mint_.begin()->second) {
      const auto it = claims_.find(id);
      assert(it != claims_.end());
      if (it->second.outcome != nullptr) DropOutcome(&it->second);
      claims_.erase(it);
    }
    by_mint_.erase(by_mint_.begin());
  }
}

ClaimLedger::OutcomeList& ClaimLedger::ListFor(
    const wire::StoredOutcomeT& outcome) {
  return outcome.body.size() > kLargeOutcomeBytes ? large_outcomes_
                                                  : small_outcomes_;
}

void ClaimLedger::Store(const Digest& id, Claim* claim,
                        const wire::StoredOutcomeT& outcome) {
  if (outcome.body.size() > kMaxOutcomeBytes) {
    ++dropped_outcomes_;
    return;
  }
  claim->outcome = std::make_unique<wire::StoredOutcomeT>(outcome);
  OutcomeList& list = ListFor(outcome);
  claim->stored = list.insert(list.end(), id);
  stored_bytes_ += SizeOf(outcome);
  while (stored_bytes_ > kMaxStoredBytes) {
    const OutcomeList& oldest =
        large_outcomes_.empty() ? small_outcomes_ : large_outcomes_;
    DropOutcome(&claims_.find(oldest.front())->second);
    ++dropped_outcomes_;
  }
}

void ClaimLedger::DropOutcome(Claim* claim) {
  stored_bytes_ -= SizeOf(*claim->outcome);
  ListFor(*claim->outcome).erase(claim->stored);
  claim->outcome.reset();
}

}  // namespace rwf
