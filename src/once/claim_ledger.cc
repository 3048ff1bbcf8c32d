#include "once/claim_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "once/idempotency_key.h"

namespace rwf {
namespace {

constexpr uint64_t kLifetimeSeconds = kKeyLifetime / std::chrono::seconds(1);
// Added to the size of each outcome for its fixed part.
constexpr size_t kOutcomeOverheadBytes = 128;

size_t SizeOf(const wire::StoredOutcomeT& outcome) {
  return outcome.body.size() + outcome.content_type.size() +
         kOutcomeOverheadBytes;
}

}  // namespace

ClaimLedger::ClaimLedger(uint64_t incarnation, size_t max_claims)
    : incarnation_(incarnation), max_claims_(max_claims) {
  assert(max_claims_ > 0);
}

wire::ClaimReplyT ClaimLedger::OnClaim(const VmProcess& requester,
                                       const wire::ClaimRequestT& request,
                                       TimePoint now, WallTime wall) {
  wire::ClaimReplyT reply;
  reply.request_id = request.request_id;
  reply.claim = request.claim;
  const auto reply_with = [&](wire::ClaimVerdict verdict) {
    reply.verdict = verdict;
    return std::move(reply);
  };
  if (request.home_incarnation != incarnation_) {
    return reply_with(wire::ClaimVerdict::kWrongIncarnation);
  }
  AdvanceClock(wall);
  auto it = claims_.find(request.claim);
  if (it == claims_.end() && claims_.size() >= max_claims_) {
    // Memory is bounded by expiring the oldest keys early. A claim whose key is
    // still accepted is never removed.
    AdvanceHorizon(claims_by_mint_time_.begin()->first);
  }
  if (request.minted_unix_s <= expiry_horizon_unix_s_) {
    return reply_with(wire::ClaimVerdict::kExpired);
  }
  if (it == claims_.end()) {
    it = claims_.emplace(request.claim, Claim{}).first;
    claims_by_mint_time_[request.minted_unix_s].push_back(request.claim);
  }
  Claim& claim = it->second;
  if (claim.state != State::kReleased && claim.body != request.body) {
    return reply_with(wire::ClaimVerdict::kBodyMismatch);
  }
  switch (claim.state) {
    case State::kReleased:
      claim.body = request.body;
      claim.state = State::kRunning;
      claim.attempt = ++last_attempt_;
      claim.request_id = request.request_id;
      claim.runner = requester;
      claim.granted_at = now;
      break;
    case State::kRunning:
      if (now - claim.granted_at > kRunTimeout) {
        claim.state = State::kRunnerPresumedDead;
        return reply_with(wire::ClaimVerdict::kUnknown);
      }
      // A repeat of the same request gets the grant again, because the first
      // reply may be lost.
      if (claim.runner != requester || claim.request_id != request.request_id) {
        return reply_with(wire::ClaimVerdict::kInProgress);
      }
      break;
    case State::kCompleted:
      if (claim.outcome == nullptr) {
        return reply_with(wire::ClaimVerdict::kUnknown);
      }
      reply.outcome = std::make_unique<wire::StoredOutcomeT>(*claim.outcome);
      return reply_with(wire::ClaimVerdict::kDone);
    case State::kRunnerPresumedDead:
    case State::kUnknown:
      return reply_with(wire::ClaimVerdict::kUnknown);
  }
  reply.attempt = claim.attempt;
  return reply_with(wire::ClaimVerdict::kGranted);
}

void ClaimLedger::OnResult(const wire::ClaimResultT& result, TimePoint) {
  const auto it = claims_.find(result.claim);
  if (it == claims_.end()) return;
  Claim& claim = it->second;
  if (claim.attempt != result.attempt) return;
  if (claim.state != State::kRunning &&
      claim.state != State::kRunnerPresumedDead)
    return;
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
    claim.state = State::kRunnerPresumedDead;
  }
}

void ClaimLedger::OnTick(TimePoint, WallTime wall) { AdvanceClock(wall); }

uint64_t ClaimLedger::MintTime(WallTime wall) {
  AdvanceClock(wall);
  return std::max(latest_unix_s_, expiry_horizon_unix_s_ + 1);
}

void ClaimLedger::AdvanceClock(WallTime wall) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(wall).time_since_epoch().count();
  latest_unix_s_ =
      std::max(latest_unix_s_, static_cast<uint64_t>(std::max<int64_t>(
                                   static_cast<int64_t>(seconds), 0)));
  if (latest_unix_s_ > kLifetimeSeconds) {
    AdvanceHorizon(latest_unix_s_ - kLifetimeSeconds);
  }
}

void ClaimLedger::AdvanceHorizon(uint64_t minted_unix_s) {
  expiry_horizon_unix_s_ = std::max(expiry_horizon_unix_s_, minted_unix_s);
  while (!claims_by_mint_time_.empty() &&
         claims_by_mint_time_.begin()->first <= expiry_horizon_unix_s_) {
    for (const Digest& id : claims_by_mint_time_.begin()->second) {
      const auto it = claims_.find(id);
      assert(it != claims_.end());
      if (it->second.outcome != nullptr) DropOutcome(&it->second);
      claims_.erase(it);
    }
    claims_by_mint_time_.erase(claims_by_mint_time_.begin());
  }
}

ClaimLedger::OutcomeList& ClaimLedger::OutcomeListFor(
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
  OutcomeList& list = OutcomeListFor(outcome);
  claim->list_position = list.insert(list.end(), id);
  stored_bytes_ += SizeOf(outcome);
  while (stored_bytes_ > kMaxStoredBytes) {
    const OutcomeList& eviction_list =
        large_outcomes_.empty() ? small_outcomes_ : large_outcomes_;
    DropOutcome(&claims_.find(eviction_list.front())->second);
    ++dropped_outcomes_;
  }
}

void ClaimLedger::DropOutcome(Claim* claim) {
  stored_bytes_ -= SizeOf(*claim->outcome);
  OutcomeListFor(*claim->outcome).erase(claim->list_position);
  claim->outcome.reset();
}

}  // namespace rwf
