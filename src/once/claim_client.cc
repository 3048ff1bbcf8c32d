#include "once/claim_client.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace rwf {
namespace {

struct RefusalInfo {
  const char* code;
  int status;
};

// Indexed by ClaimRefusal.
constexpr std::array<RefusalInfo, 6> kRefusals = {{
    {"in-progress", 409},
    {"outcome-unknown", 409},
    {"key-reused", 422},
    {"idempotency-key-expired", 409},
    {"idempotency-key-invalid", 400},
    {"home-unreachable", 503},
}};

ClaimDecision Refuse(uint64_t request_id, ClaimRefusal refusal) {
  ClaimDecision decision;
  decision.action = ClaimAction::kRefuse;
  decision.request_id = request_id;
  decision.refusal = refusal;
  decision.run_outcome = RunOutcome::kUnknown;
  return decision;
}

}  // namespace

const char* ClaimRefusalCode(ClaimRefusal refusal) {
  return kRefusals[static_cast<size_t>(refusal)].code;
}

int ClaimRefusalStatus(ClaimRefusal refusal) {
  return kRefusals[static_cast<size_t>(refusal)].status;
}

const char* RunOutcomeName(RunOutcome outcome) {
  return outcome == RunOutcome::kNotRun ? "not-run" : "unknown";
}

ClaimClient::ClaimClient(VmProcess self, ClaimLedger* ledger)
    : self_(std::move(self)), ledger_(ledger) {}

ClaimDecision ClaimClient::RefuseKey(const std::error_code& code) {
  ClaimDecision decision = Refuse(0, ClaimRefusal::kKeyInvalid);
  if (code == IdempotencyKeyErrc::kExpired) {
    decision.refusal = ClaimRefusal::kKeyExpired;
  }
  // A well-formed key may be valid on a VM with other secrets or another clock,
  // and an attempt may have run there.
  if (code == IdempotencyKeyErrc::kMalformed) {
    decision.run_outcome = RunOutcome::kNotRun;
  }
  return decision;
}

ClaimDecision ClaimClient::Begin(const IdempotencyKey& key, const Digest& claim,
                                 const Digest& request, TimePoint deadline,
                                 TimePoint now, WallTime wall) {
  EvictExpired(now);
  const uint64_t id = ++last_request_id_;
  Request& it = requests_[id];
  it.home = key.vm;
  it.message.request_id = id;
  it.message.claim = claim;
  it.message.body = request;
  it.message.home_incarnation = key.incarnation;
  it.message.minted_unix_s = key.minted_unix_s;
  it.expires_at = now + kKeyLifetime;
  ++waiting_;
  if (key.vm == self_.vm) {
    const wire::ClaimReplyT reply =
        ledger_->OnClaim(self_, it.message, now, wall);
    ClaimDecision decision = Decide(id, &it, reply);
    if (decision.action != ClaimAction::kRun) requests_.erase(id);
    return decision;
  }
  SetTimer(id, &it, deadline);
  outbox_.push_back({it.home, it.message});
  ClaimDecision decision;
  decision.request_id = id;
  return decision;
}

ClaimDecision ClaimClient::Decide(uint64_t request_id, Request* request,
                                  const wire::ClaimReplyT& reply) {
  assert(request->state == State::kWaiting);
  --waiting_;
  request->state = State::kDecided;
  switch (reply.verdict) {
    case wire::ClaimVerdict::kGranted: {
      ++running_;
      request->state = State::kRunning;
      request->accepted_attempt = reply.attempt;
      ClaimDecision decision;
      decision.action = ClaimAction::kRun;
      decision.request_id = request_id;
      return decision;
    }
    case wire::ClaimVerdict::kDone: {
      if (reply.outcome == nullptr) break;
      ClaimDecision decision;
      decision.action = ClaimAction::kReplay;
      decision.request_id = request_id;
      decision.outcome = *reply.outcome;
      return decision;
    }
    case wire::ClaimVerdict::kInProgress:
      return Refuse(request_id, ClaimRefusal::kInProgress);
    case wire::ClaimVerdict::kBodyMismatch:
      return Refuse(request_id, ClaimRefusal::kKeyReused);
    case wire::ClaimVerdict::kExpired:
      return Refuse(request_id, ClaimRefusal::kKeyExpired);
    case wire::ClaimVerdict::kUnknown:
    case wire::ClaimVerdict::kWrongIncarnation:
      break;
  }
  return Refuse(request_id, ClaimRefusal::kOutcomeUnknown);
}

std::vector<ClaimDecision> ClaimClient::OnReply(const std::string& vm,
                                                const wire::ClaimReplyT& reply,
                                                TimePoint now) {
  const auto found = requests_.find(reply.request_id);
  if (found == requests_.end()) return {};
  Request& request = found->second;
  if (request.home != vm || request.message.claim != reply.claim) return {};
  const bool is_grant = reply.verdict == wire::ClaimVerdict::kGranted;
  if (request.state == State::kWaiting) {
    const ClaimDecision decision = Decide(reply.request_id, &request, reply);
    if (request.state != State::kRunning) {
      Retain(reply.request_id, &request, now);
    }
    return {decision};
  }
  // A grant that was not accepted cannot have been used. An accepted grant is
  // in use, or its result has been sent.
  if (is_grant && reply.attempt != request.accepted_attempt) {
    ReleaseGrant(vm, reply);
  }
  if (request.state == State::kGivenUp) request.state = State::kDecided;
  return {};
}

void ClaimClient::ReleaseGrant(const std::string& home,
                               const wire::ClaimReplyT& reply) {
  wire::ClaimResultT result;
  result.claim = reply.claim;
  result.attempt = reply.attempt;
  result.end = wire::ClaimEnd::kNotRun;
  outbox_.push_back({home, std::move(result)});
}

ClaimDecision ClaimClient::GiveUp(uint64_t request_id, Request* request,
                                  TimePoint now) {
  assert(request->state == State::kWaiting);
  --waiting_;
  request->state = State::kGivenUp;
  request->repeat_interval = kInitialRepeatInterval;
  SetTimer(request_id, request, now + request->repeat_interval);
  Retain(request_id, request, now);
  return Refuse(request_id, ClaimRefusal::kHomeUnreachable);
}

std::vector<ClaimDecision> ClaimClient::OnUnreachable(const std::string& vm,
                                                      TimePoint now) {
  std::vector<uint64_t> ids;
  for (const auto& [id, request] : requests_) {
    if (request.state == State::kWaiting && request.home == vm) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  std::vector<ClaimDecision> out;
  out.reserve(ids.size());
  for (const uint64_t id : ids) {
    out.push_back(GiveUp(id, &requests_.at(id), now));
  }
  return out;
}

std::vector<ClaimDecision> ClaimClient::OnTick(TimePoint now) {
  EvictExpired(now);
  std::vector<ClaimDecision> out;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto [due, id] = *timers_.begin();
    timers_.erase(timers_.begin());
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.due != due) continue;
    Request& request = found->second;
    if (request.state == State::kWaiting) {
      out.push_back(GiveUp(id, &request, now));
    } else if (request.state == State::kGivenUp) {
      outbox_.push_back({request.home, request.message});
      request.repeat_interval =
          std::min(request.repeat_interval * 2, kMaxRepeatInterval);
      SetTimer(id, &request, now + request.repeat_interval);
    }
  }
  return out;
}

void ClaimClient::Cancel(uint64_t request_id, TimePoint now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return;
  if (found->second.state != State::kWaiting) return;
  GiveUp(request_id, &found->second, now);
}

void ClaimClient::Finish(uint64_t request_id, wire::ClaimEnd end,
                         const wire::StoredOutcomeT* outcome, TimePoint now) {
  const auto found = requests_.find(request_id);
  assert(found != requests_.end());
  Request& request = found->second;
  assert(request.state == State::kRunning);
  --running_;
  wire::ClaimResultT result;
  result.claim = request.message.claim;
  result.attempt = request.accepted_attempt;
  result.end = end;
  if (end == wire::ClaimEnd::kCompleted && outcome != nullptr &&
      outcome->body.size() <= ClaimLedger::kMaxOutcomeBytes) {
    result.outcome = std::make_unique<wire::StoredOutcomeT>(*outcome);
  }
  if (request.home == self_.vm) {
    ledger_->OnResult(result, now);
    requests_.erase(found);
    return;
  }
  outbox_.push_back({request.home, result});
  sent_results_.push_back({now, request.home, std::move(result)});
  if (sent_results_.size() > kMaxRetainedResults) sent_results_.pop_front();
  request.state = State::kDecided;
  Retain(request_id, &request, now);
}

void ClaimClient::OnReachable(const std::string& vm, TimePoint now) {
  EvictExpired(now);
  for (const SentResult& sent : sent_results_) {
    if (sent.home == vm) outbox_.push_back({vm, sent.message});
  }
}

std::vector<ClaimMessage> ClaimClient::TakeOutbox() {
  return std::exchange(outbox_, {});
}

void ClaimClient::SetTimer(uint64_t request_id, Request* request,
                           TimePoint due) {
  request->due = due;
  timers_.emplace(due, request_id);
}

void ClaimClient::Retain(uint64_t request_id, Request* request, TimePoint now) {
  request->expires_at = now + kKeyLifetime;
  retained_.push_back(request_id);
  // If a request is evicted early, a late grant is not returned and the claim
  // stays in progress at the home VM until ClaimLedger::kRunTimeout.
  if (retained_.size() > kMaxRetainedRequests) {
    requests_.erase(retained_.front());
    retained_.pop_front();
  }
}

void ClaimClient::EvictExpired(TimePoint now) {
  while (!retained_.empty()) {
    const auto found = requests_.find(retained_.front());
    if (found != requests_.end()) {
      if (found->second.expires_at > now) break;
      requests_.erase(found);
    }
    retained_.pop_front();
  }
  while (!sent_results_.empty() &&
         now - sent_results_.front().at > kResultRetention) {
    sent_results_.pop_front();
  }
}

}  // namespace rwf
