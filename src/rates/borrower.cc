#include "rates/borrower.h"

#include <algorithm>

namespace rwf {
namespace {

// After this time without a reply, a request no longer counts as pending. A
// later grant is still accepted until the loan would have ended.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

// Back-off after a reply that is late or grants less than was requested.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoffWhileWaiting = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);

// Minimum time before a surplus loan is returned, so that short lulls cause no
// messages.
constexpr Duration kMinLoanUse = kRenewInterval;

// Minimum age of the last renewal at which renewals are added to a request that
// is sent for another reason.
constexpr Duration kEarlyRenewInterval = std::chrono::milliseconds(300);

// While no request waits, a shortfall of at most need / kMinShortfallDivisor is
// not borrowed.
constexpr int64_t kMinShortfallDivisor = 32;

}  // namespace

void Borrower::ReturnLoan(Resource* resource, const BorrowedQuota& quota,
                          TimePoint now) {
  const std::pair<std::string, uint64_t> lender(quota.lender,
                                                quota.incarnation);
  const uint64_t loan_id = quota.loan_id;
  if (!resource->account.Drop(lender.first, lender.second, loan_id, now)) {
    return;
  }
  returns_[lender].push_back(loan_id);
  ++items_returned_;
}

void Borrower::ReturnSurplus(Resource* resource, const Slice& want,
                             TimePoint now) {
  if (now < resource->keep_loans_until) return;
  // Keeps a reserve of 25%, so that noise in the demand does not cause
  // borrowing again.
  const Slice keep{want.rate + want.rate / 4,
                   want.capacity + want.capacity / 4};
  const std::vector<BorrowedQuota> quotas = resource->account.borrowed();
  Slice have = resource->account.BorrowedSum();
  for (const BorrowedQuota& quota : quotas) {
    if (quota.IsInherited() || quota.held > 0) continue;
    // After its tokens are spent, a loan without refill rate is of no use here.
    if (!resource->IsSlots() && quota.slice.rate == 0 &&
        resource->account.level() + quota.slice.capacity <=
            resource->account.usable().capacity) {
      have -= quota.slice;
      ReturnLoan(resource, quota, now);
      continue;
    }
    if (resource->waiting > 0 || now - quota.borrowed_at < kMinLoanUse)
      continue;
    if (!want.IsZero() && !(have - quota.slice).Covers(keep)) continue;
    have -= quota.slice;
    ReturnLoan(resource, quota, now);
  }
}

void Borrower::PlanAsks(Resource* resource, TimePoint now, Asks* asks) {
  ResourceAccount& account = resource->account;
  const bool idle = resource->demand.IsIdle(now) && resource->waiting == 0;
  if (idle && account.borrowed().empty()) return;
  account.Advance(now);
  resource->demand.Sample(now);

  const Slice need = OwnNeed(*resource, now);
  Slice base = account.IsOwnActive() ? account.own() : Slice{};
  base += account.InheritedSum();
  base -= account.LentSum();
  const Slice want = NotNegative(need - base);
  ReturnSurplus(resource, want, now);
  if (idle) return;

  const Slice have = account.BorrowedSum();
  Slice shortfall = NotNegative(want - have);
  const Slice min_shortfall{need.rate / kMinShortfallDivisor,
                            need.capacity / kMinShortfallDivisor};
  if (resource->waiting == 0 && shortfall.rate <= min_shortfall.rate &&
      shortfall.capacity <= min_shortfall.capacity) {
    return;
  }
  shortfall.capacity = std::max(shortfall.capacity, TokenShortfall(*resource));
  shortfall = Min(shortfall, NotNegative(resource->fleet_total - base - have));
  std::set<std::string> asked;
  for (const auto& [id, request] : outstanding_requests_) {
    if (request.timed_out) continue;
    for (const Ask& ask : request.asks) {
      if (ask.resource != resource) continue;
      shortfall -= ask.asked;
      asked.insert(request.peer);
    }
  }
  shortfall = NotNegative(shortfall);
  if (shortfall.IsZero()) return;

  std::vector<std::string> lenders;
  for (const std::string& peer : resource->candidates) {
    if (asked.contains(peer)) continue;
    const auto it = resource->backoffs.find(peer);
    if (it != resource->backoffs.end()) {
      // A back-off that began without waiting requests is cut to
      // kMaxBackoffWhileWaiting once requests wait.
      const TimePoint not_before =
          resource->waiting > 0
              ? std::min(it->second.not_before, it->second.not_before -
                                                    it->second.backoff +
                                                    kMaxBackoffWhileWaiting)
              : it->second.not_before;
      if (now < not_before) continue;
    }
    lenders.push_back(peer);
  }
  if (lenders.empty()) return;
  const auto n = static_cast<int64_t>(lenders.size());
  if (resource->IsSlots()) {
    for (const std::string& peer : lenders) {
      if (shortfall.capacity == 0) break;
      const int64_t part = (shortfall.capacity + n - 1) / n;
      (*asks)[peer].push_back({resource, {0, part}, 0});
      shortfall.capacity -= std::min(part, shortfall.capacity);
    }
    return;
  }
  const Slice part{(shortfall.rate + n - 1) / n,
                   (shortfall.capacity + n - 1) / n};
  const int64_t tokens =
      std::min(TokenShortfall(*resource), shortfall.capacity);
  for (const std::string& peer : lenders) {
    (*asks)[peer].push_back({resource, part, (tokens + n - 1) / n});
  }
}

std::unique_ptr<wire::LoanRequestT> Borrower::BuildRequest(
    const std::string& peer, const std::vector<Ask>& asks, Resources* resources,
    TimePoint now) {
  auto request = std::make_unique<wire::LoanRequestT>();
  request->borrower_incarnation = incarnation_;
  const auto add = [&](const Resource& resource, uint64_t loan_id,
                       const Slice& slice, int64_t tokens) {
    auto item = std::make_unique<wire::LoanItemT>();
    item->kind = resource.kind;
    item->name = resource.name;
    item->loan_id = loan_id;
    item->level = tokens;
    item->rate = slice.rate;
    item->capacity = slice.capacity;
    request->asks.push_back(std::move(item));
  };
  OutstandingRequest outstanding{peer, now, asks, {}};
  TimePoint& renewed_at =
      renewed_at_.try_emplace(peer, TimePoint::min()).first->second;
  const Duration interval = asks.empty() ? kRenewInterval : kEarlyRenewInterval;
  if (renewed_at == TimePoint::min() || now - renewed_at >= interval) {
    for (Resource& resource : *resources) {
      for (const BorrowedQuota& quota : resource.account.borrowed()) {
        if (quota.lender != peer || quota.IsInherited()) continue;
        add(resource, quota.loan_id, quota.slice, 0);
        outstanding.renewals.insert(quota.loan_id);
      }
    }
    if (!outstanding.renewals.empty()) renewed_at = now;
  }
  for (const Ask& ask : asks) add(*ask.resource, 0, ask.asked, ask.tokens);
  if (request->asks.empty()) return nullptr;
  request->request_id = ++last_request_id_;
  outstanding_requests_.emplace(request->request_id, std::move(outstanding));
  ++requests_sent_;
  return request;
}

std::vector<LoanMessages> Borrower::Tick(Resources* resources, TimePoint now) {
  MarkTimedOut(now);
  Asks asks;
  for (Resource& resource : *resources) {
    PlanAsks(&resource, now, &asks);
    for (const BorrowedQuota& quota : resource.account.borrowed()) {
      if (!quota.IsInherited()) asks.try_emplace(quota.lender);
    }
  }
  std::vector<LoanMessages> out;
  for (auto& [lender, ids] : returns_) {
    auto loan_return = std::make_unique<wire::LoanReturnT>();
    loan_return->lender_incarnation = lender.second;
    loan_return->loan_ids = std::move(ids);
    out.push_back({lender.first, std::move(loan_return), nullptr});
  }
  returns_.clear();
  for (const auto& [peer, peer_asks] : asks) {
    auto request = BuildRequest(peer, peer_asks, resources, now);
    if (request != nullptr) out.push_back({peer, nullptr, std::move(request)});
  }
  return out;
}

void Borrower::MarkTimedOut(TimePoint now) {
  std::erase_if(outstanding_requests_, [&](const auto& it) {
    return now - it.second.sent_at > kLoanDuration;
  });
  for (auto& [id, request] : outstanding_requests_) {
    if (request.timed_out || now - request.sent_at < kReplyTimeout) continue;
    request.timed_out = true;
    for (const Ask& ask : request.asks) {
      UpdateBackoff(ask.resource, request.peer, ask.asked, Slice{}, now);
    }
  }
}

void Borrower::UpdateBackoff(Resource* resource, const std::string& peer,
                             const Slice& asked, const Slice& granted,
                             TimePoint now) {
  Resource::PeerBackoff& state = resource->backoffs[peer];
  if (granted.Covers(asked)) {
    state = {};
    return;
  }
  if (granted.IsZero()) {
    const Duration max_backoff =
        resource->waiting > 0 ? kMaxBackoffWhileWaiting : kMaxBackoff;
    state.backoff = std::clamp(state.backoff * 2, kInitialBackoff, max_backoff);
  } else {
    state.backoff = kInitialBackoff;
  }
  state.not_before = now + state.backoff;
}

void Borrower::OnGrant(const std::string& peer, const wire::LoanGrantT& grant,
                       const FindResource& find, TimePoint now) {
  const auto it = outstanding_requests_.find(grant.request_id);
  if (it == outstanding_requests_.end() || it->second.peer != peer) {
    ++grants_ignored_;
    return;
  }
  const OutstandingRequest request = std::move(it->second);
  outstanding_requests_.erase(it);
  const Duration duration = std::min<Duration>(
      kLoanDuration, std::chrono::milliseconds(grant.duration_ms));
  const TimePoint end = request.sent_at + BorrowerDuration(duration);
  std::map<Resource*, Slice> granted;
  for (const auto& item : grant.grants) {
    Resource* found = find(item->kind, item->name);
    if (found == nullptr) continue;
    Resource& resource = *found;
    if (request.renewals.contains(item->loan_id)) {
      // Extend does not revive a quota that has ended or was returned.
      if (resource.account.Extend(peer, grant.lender_incarnation, item->loan_id,
                                  end, now)) {
        ++items_renewed_;
      }
      continue;
    }
    const Slice slice = NotNegative({item->rate, item->capacity});
    if (end <= now || slice.IsZero()) {
      returns_[{peer, grant.lender_incarnation}].push_back(item->loan_id);
      ++grants_ignored_;
      continue;
    }
    granted[&resource] += slice;
    resource.account.AddBorrowed(
        {peer, grant.lender_incarnation, item->loan_id, slice, end, now, 0},
        item->level, now);
    ++items_borrowed_;
  }
  for (const Ask& ask : request.asks) {
    UpdateBackoff(ask.resource, peer, ask.asked, granted[ask.resource], now);
  }
}

void Borrower::OnRecall(const std::string& peer, const Slice& asked,
                        Resource* resource, TimePoint now) {
  Slice to_return = NotNegative(asked);
  const std::vector<BorrowedQuota> quotas = resource->account.borrowed();
  for (const BorrowedQuota& quota : quotas) {
    if (to_return.IsZero()) return;
    if (quota.lender != peer || quota.IsInherited() || quota.held > 0) continue;
    to_return = NotNegative(to_return - quota.slice);
    ReturnLoan(resource, quota, now);
  }
}

}  // namespace rwf
