#include "rates/lender.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace rwf {
namespace {

// Loans of inherited shares are no longer than the proof that the VM is gone;
// shorter ones than this could not be renewed in time.
constexpr Duration kShortestLoan = std::chrono::milliseconds(600);

// Pieces below this part of the own share are not lent: they cost messages and
// cover nothing.
constexpr int64_t kSmallestPart = 64;

// How long a peer that got less than it asked for counts as waiting for more.
constexpr Duration kAskerMemory = std::chrono::seconds(1);

int64_t CountRecent(const Resource& resource, TimePoint now) {
  return std::count_if(resource.askers.begin(), resource.askers.end(),
                       [&](const auto& it) {
                         return now - it.second.last_asked < kAskerMemory;
                       });
}

// Own and inherited share less the own need, before any loan.
Slice Lendable(const Resource& resource, TimePoint now) {
  const ResourceAccount& account = resource.account;
  Slice all = account.IsOwnActive() ? account.own() : Slice{};
  all += account.InheritedSum();
  return NotNegative(all - OwnNeed(resource, now));
}

}  // namespace

bool Lender::IsNewer(const std::string& peer,
                     const wire::LoanRequestT& request) {
  Newest& newest = newest_[peer];
  if (request.borrower_incarnation < newest.incarnation) return false;
  if (request.borrower_incarnation == newest.incarnation &&
      request.request_id <= newest.request_id) {
    return false;
  }
  newest = {request.borrower_incarnation, request.request_id};
  return true;
}

bool Lender::MayRenew(const Resource& resource, const LentPiece& piece,
                      TimePoint now) const {
  const ResourceAccount& account = resource.account;
  Slice running;
  Slice of_peer;
  for (const LentPiece& other : account.lent()) {
    if (other.not_renewed && &other != &piece) continue;
    running += other.slice;
    if (other.borrower == piece.borrower) of_peer += other.slice;
  }
  const Slice lendable = Lendable(resource, now);
  if (!lendable.Covers(running)) return false;
  // While others go short, one borrower keeps no more than an equal part.
  const bool others_short = std::any_of(
      resource.askers.begin(), resource.askers.end(), [&](const auto& it) {
        return it.first != piece.borrower && it.second.short_of_it &&
               now - it.second.last_asked < kAskerMemory;
      });
  if (!others_short) return true;
  const int64_t n = std::max<int64_t>(CountRecent(resource, now), 1);
  return Slice{lendable.rate / n, lendable.capacity / n}.Covers(of_peer);
}

void Lender::LendFrom(Resource* resource, const std::string& source,
                      const std::string& peer, Slice* wanted,
                      const Slice& spare, int64_t tokens, TimePoint end,
                      TimePoint now, wire::LoanGrantT* grant) {
  ResourceAccount& account = resource->account;
  const Slice left =
      source.empty() ? account.OwnLeft() : account.InheritedLeft(source);
  Slice slice = NotNegative(Min(Min(left, spare), *wanted));
  const Slice& own = account.own();
  if (slice.IsZero() ||
      (slice.rate < std::min(own.rate / kSmallestPart, wanted->rate) &&
       slice.capacity <
           std::min(own.capacity / kSmallestPart, wanted->capacity))) {
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

wire::LoanGrantT Lender::Answer(const std::string& peer,
                                const wire::LoanRequestT& request,
                                const FindResource& find, TimePoint now) {
  wire::LoanGrantT grant;
  grant.request_id = request.request_id;
  grant.lender_incarnation = incarnation_;
  Duration duration = kLoanDuration;
  if (!IsNewer(peer, request)) return grant;

  // What inherited shares can back decides the duration of the whole answer.
  // Own shares are set aside for the full time whatever the answer says.
  const auto inherited_end = [&](const ResourceAccount& account,
                                 const std::string& vm) {
    for (const BorrowedPiece& piece : account.borrowed()) {
      if (piece.IsInherited() && piece.lender == vm) return piece.end;
    }
    return TimePoint::min();
  };
  const auto bounded_end = [&](const ResourceAccount& account,
                               const std::string& source) {
    const TimePoint full = now + kLoanDuration;
    if (source.empty()) return full;
    return std::min(full, inherited_end(account, source));
  };
  const auto lower_duration = [&](TimePoint end) {
    duration = std::min(
        duration, Duration(std::chrono::milliseconds(ToMillis(end - now))));
  };

  for (const auto& ask : request.asks) {
    Resource* resource = find(ask->kind, ask->name);
    if (resource == nullptr) continue;
    ResourceAccount& account = resource->account;
    account.Advance(now);
    if (ask->loan_id != 0) {
      for (LentPiece& piece : account.lent()) {
        if (piece.borrower != peer || piece.loan_id != ask->loan_id) continue;
        const TimePoint end = bounded_end(account, piece.inherited_from);
        piece.not_renewed =
            end - now < kShortestLoan || !MayRenew(*resource, piece, now);
        if (piece.not_renewed) break;
        piece.end = std::max(piece.end, end);
        lower_duration(end);
        auto item = std::make_unique<wire::LoanItemT>(*ask);
        item->level = 0;
        item->rate = piece.slice.rate;
        item->capacity = piece.slice.capacity;
        grant.grants.push_back(std::move(item));
        break;
      }
      continue;
    }
    const Slice asked = NotNegative({ask->rate, ask->capacity});
    Slice wanted = asked;
    // Requests that wait at the peer may also have tokens, with the capacity
    // that carries them, beyond what the averages leave over.
    const auto spare = [&] {
      Slice left = NotNegative(Lendable(*resource, now) - account.LentSum());
      const int64_t tokens = std::min(ask->level, TokensToLend(*resource, now));
      left.capacity = std::max(left.capacity, tokens);
      return left;
    };
    LendFrom(resource, "", peer, &wanted, spare(), TokensToLend(*resource, now),
             now + kLoanDuration, now, &grant);
    std::vector<std::string> sources;
    for (const BorrowedPiece& piece : account.borrowed()) {
      if (piece.IsInherited()) sources.push_back(piece.lender);
    }
    for (const std::string& vm : sources) {
      const TimePoint end = bounded_end(account, vm);
      if (end - now < kShortestLoan || wanted.IsZero()) continue;
      const size_t before = grant.grants.size();
      LendFrom(resource, vm, peer, &wanted, spare(),
               TokensToLend(*resource, now), end, now, &grant);
      if (grant.grants.size() > before) lower_duration(end);
    }
    resource->askers[peer] = {now, !wanted.IsZero()};
  }
  grant.duration_ms = static_cast<uint32_t>(ToMillis(duration));
  return grant;
}

}  // namespace rwf
