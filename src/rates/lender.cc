#include "rates/lender.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace rwf {
namespace {

// A loan from an inherited share lasts no longer than the proof that its owner
// is absent. Loans shorter than this could not be renewed in time.
constexpr Duration kMinLoanDuration = std::chrono::milliseconds(600);

// Loans below own share / kMinLoanDivisor are not made: they cost messages and
// cover almost no demand.
constexpr int64_t kMinLoanDivisor = 64;

// How long a request of a peer counts as current demand.
constexpr Duration kPeerDemandWindow = std::chrono::seconds(1);

int64_t CountRecentBorrowers(const Resource& resource, TimePoint now) {
  return std::count_if(resource.peer_demands.begin(),
                       resource.peer_demands.end(), [&](const auto& it) {
                         return now - it.second.last_request_at <
                                kPeerDemandWindow;
                       });
}

// Own and inherited shares less the own need, before loans are subtracted.
Slice Lendable(const Resource& resource, TimePoint now) {
  const ResourceAccount& account = resource.account;
  Slice all = account.IsOwnActive() ? account.own() : Slice{};
  all += account.InheritedSum();
  return NotNegative(all - OwnNeed(resource, now));
}

}  // namespace

bool Lender::IsNewer(const std::string& peer,
                     const wire::LoanRequestT& request) {
  LatestRequest& latest = latest_requests_[peer];
  if (request.borrower_incarnation < latest.incarnation) return false;
  if (request.borrower_incarnation == latest.incarnation &&
      request.request_id <= latest.request_id) {
    return false;
  }
  latest = {request.borrower_incarnation, request.request_id};
  return true;
}

bool Lender::MayRenew(const Resource& resource, const LentQuota& quota,
                      TimePoint now) const {
  const ResourceAccount& account = resource.account;
  Slice outstanding;
  Slice lent_to_peer;
  for (const LentQuota& other : account.lent()) {
    if (other.renewal_denied && &other != &quota) continue;
    outstanding += other.slice;
    if (other.borrower == quota.borrower) lent_to_peer += other.slice;
  }
  const Slice lendable = Lendable(resource, now);
  if (!lendable.Covers(outstanding)) return false;
  // While the requests of other peers are unmet, a borrower keeps at most an
  // equal part.
  const bool others_unmet =
      std::any_of(resource.peer_demands.begin(), resource.peer_demands.end(),
                  [&](const auto& it) {
                    return it.first != quota.borrower && it.second.is_unmet &&
                           now - it.second.last_request_at < kPeerDemandWindow;
                  });
  if (!others_unmet) return true;
  const int64_t n = std::max<int64_t>(CountRecentBorrowers(resource, now), 1);
  return Slice{lendable.rate / n, lendable.capacity / n}.Covers(lent_to_peer);
}

void Lender::LendFrom(Resource* resource, const std::string& source,
                      const std::string& peer, Slice* wanted,
                      const Slice& spare, int64_t tokens, TimePoint end,
                      TimePoint now, wire::LoanGrantT* grant) {
  ResourceAccount& account = resource->account;
  const Slice remaining = source.empty() ? account.OwnRemaining()
                                         : account.InheritedRemaining(source);
  Slice slice = NotNegative(Min(Min(remaining, spare), *wanted));
  const Slice& own = account.own();
  if (slice.IsZero() ||
      (slice.rate < std::min(own.rate / kMinLoanDivisor, wanted->rate) &&
       slice.capacity <
           std::min(own.capacity / kMinLoanDivisor, wanted->capacity))) {
    return;
  }
  const uint64_t loan_id = ++last_loan_id_;
  const int64_t level =
      account.Lend({peer, loan_id, slice, end, source, false}, tokens, now);
  auto item = std::make_unique<wire::LoanItemT>();
  item->kind = resource->kind;
  item->name = resource->name;
  item->loan_id = loan_id;
  item->level = resource->IsSlots() ? slice.capacity : level;
  item->rate = slice.rate;
  item->capacity = slice.capacity;
  grant->grants.push_back(std::move(item));
  *wanted -= slice;
  ++items_lent_;
}

wire::LoanGrantT Lender::HandleRequest(const std::string& peer,
                                       const wire::LoanRequestT& request,
                                       const FindResource& find,
                                       TimePoint now) {
  wire::LoanGrantT grant;
  grant.request_id = request.request_id;
  grant.lender_incarnation = incarnation_;
  Duration duration = kLoanDuration;
  if (!IsNewer(peer, request)) return grant;

  // A grant has one duration for all its items, which the shortest inherited
  // share limits. Own shares stay reserved for the full loan duration in any
  // case.
  const auto inherited_end = [&](const ResourceAccount& account,
                                 const std::string& vm) {
    for (const BorrowedQuota& quota : account.borrowed()) {
      if (quota.IsInherited() && quota.lender == vm) return quota.end;
    }
    return TimePoint::min();
  };
  const auto bounded_end = [&](const ResourceAccount& account,
                               const std::string& source) {
    const TimePoint full = now + kLoanDuration;
    if (source.empty()) return full;
    return std::min(full, inherited_end(account, source));
  };
  const auto limit_duration = [&](TimePoint end) {
    duration = std::min(
        duration, Duration(std::chrono::milliseconds(ToMillis(end - now))));
  };

  for (const auto& ask : request.asks) {
    Resource* resource = find(ask->kind, ask->name);
    if (resource == nullptr) continue;
    ResourceAccount& account = resource->account;
    account.Advance(now);
    if (ask->loan_id != 0) {
      for (LentQuota& quota : account.lent()) {
        if (quota.borrower != peer || quota.loan_id != ask->loan_id) continue;
        const TimePoint end = bounded_end(account, quota.inherited_from);
        quota.renewal_denied =
            end - now < kMinLoanDuration || !MayRenew(*resource, quota, now);
        if (quota.renewal_denied) break;
        quota.end = std::max(quota.end, end);
        limit_duration(end);
        auto item = std::make_unique<wire::LoanItemT>(*ask);
        item->level = 0;
        item->rate = quota.slice.rate;
        item->capacity = quota.slice.capacity;
        grant.grants.push_back(std::move(item));
        break;
      }
      continue;
    }
    const Slice asked = NotNegative({ask->rate, ask->capacity});
    Slice wanted = asked;
    // For requests that wait at the peer, tokens may be lent beyond what the
    // averages leave over, with the capacity that carries them.
    const auto spare = [&] {
      Slice remaining =
          NotNegative(Lendable(*resource, now) - account.LentSum());
      const int64_t tokens =
          std::min(ask->level, LendableTokens(*resource, now));
      remaining.capacity = std::max(remaining.capacity, tokens);
      return remaining;
    };
    LendFrom(resource, "", peer, &wanted, spare(),
             LendableTokens(*resource, now), now + kLoanDuration, now, &grant);
    std::vector<std::string> sources;
    for (const BorrowedQuota& quota : account.borrowed()) {
      if (quota.IsInherited()) sources.push_back(quota.lender);
    }
    for (const std::string& vm : sources) {
      const TimePoint end = bounded_end(account, vm);
      if (end - now < kMinLoanDuration || wanted.IsZero()) continue;
      const size_t before = grant.grants.size();
      LendFrom(resource, vm, peer, &wanted, spare(),
               LendableTokens(*resource, now), end, now, &grant);
      if (grant.grants.size() > before) limit_duration(end);
    }
    resource->peer_demands[peer] = {now, !wanted.IsZero()};
  }
  grant.duration_ms = static_cast<uint32_t>(ToMillis(duration));
  return grant;
}

}  // namespace rwf
