#include "rates/borrower.h"

#include <algorithm>

namespace rwf {
namespace {

// A request without answer for this long no longer counts as being on its way;
// an answer is still taken until the loan would have ended.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(250);

// After an answer that gave less than asked.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kLongestBackoffWaiting = std::chrono::milliseconds(250);
constexpr Duration kLongestBackoff = std::chrono::seconds(1);

// A loan is kept at least this long, so that short lulls cause no messages.
constexpr Duration kShortestUse = kRenewInterval;

// Renewals that ride along with a request sent for another reason.
constexpr Duration kEarlyRenewal = std::chrono::milliseconds(300);

// More is asked for ahead of need only from this part of the need on.
constexpr int64_t kAheadPart = 32;

}  // namespace

void Borrower::Return(Resource* resource, const BorrowedPiece& piece,
                      TimePoint now) {
  const std::pair<std::string, uint64_t> lender(piece.lender,
                                                piece.incarnation);
  const uint64_t loan_id = piece.loan_id;
  if (!resource->account.Drop(lender.first, lender.second, loan_id, now)) {
    return;
  }
  returns_[lender].push_back(loan_id);
  ++items_returned_;
}

void Borrower::ReturnSpare(Resource* resource, const Slice& want,
                           TimePoint now) {
  if (now < resource->keep_until) return;
  // A quarter more is kept, so that noise does not cause borrowing again.
  const Slice keep{want.rate + want.rate / 4,
                   want.capacity + want.capacity / 4};
  const std::vector<BorrowedPiece> pieces = resource->account.borrowed();
  Slice have = resource->account.BorrowedSum();
  for (const BorrowedPiece& piece : pieces) {
    if (piece.IsInherited() || piece.held > 0) continue;
    // Once the tokens it brought are used, capacity alone serves nobody here.
    if (!resource->IsSlots() && piece.slice.rate == 0 &&
        resource->account.level() + piece.slice.capacity <=
            resource->account.usable().capacity) {
      have -= piece.slice;
      Return(resource, piece, now);
      continue;
    }
    if (resource->waiting > 0 || now - piece.since < kShortestUse) continue;
    if (!want.IsZero() && !(have - piece.slice).Covers(keep)) continue;
    have -= piece.slice;
    Return(resource, piece, now);
  }
}

void Borrower::Plan(Resource* resource, TimePoint now, Asks* asks) {
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
  ReturnSpare(resource, want, now);
  if (idle) return;

  const Slice have = account.BorrowedSum();
  Slice missing = NotNegative(want - have);
  const Slice ahead{need.rate / kAheadPart, need.capacity / kAheadPart};
  if (resource->waiting == 0 && missing.rate <= ahead.rate &&
      missing.capacity <= ahead.capacity) {
    return;
  }
  missing.capacity = std::max(missing.capacity, TokensShort(*resource));
  missing = Min(missing, NotNegative(resource->whole - base - have));
  std::set<std::string> asked;
  for (const auto& [id, request] : outstanding_) {
    if (request.is_late) continue;
    for (const Ask& ask : request.asks) {
      if (ask.resource != resource) continue;
      missing -= ask.asked;
      asked.insert(request.peer);
    }
  }
  missing = NotNegative(missing);
  if (missing.IsZero()) return;

  std::vector<std::string> open;
  for (const std::string& peer : resource->candidates) {
    if (asked.contains(peer)) continue;
    const auto it = resource->peers.find(peer);
    if (it != resource->peers.end()) {
      // Requests that wait shorten a back-off begun without any.
      const TimePoint not_before =
          resource->waiting > 0
              ? std::min(it->second.not_before, it->second.not_before -
                                                    it->second.backoff +
                                                    kLongestBackoffWaiting)
              : it->second.not_before;
      if (now < not_before) continue;
    }
    open.push_back(peer);
  }
  if (open.empty()) return;
  const auto n = static_cast<int64_t>(open.size());
  if (resource->IsSlots()) {
    for (const std::string& peer : open) {
      if (missing.capacity == 0) break;
      const int64_t part = (missing.capacity + n - 1) / n;
      (*asks)[peer].push_back({resource, {0, part}, 0});
      missing.capacity -= std::min(part, missing.capacity);
    }
    return;
  }
  const Slice part{(missing.rate + n - 1) / n, (missing.capacity + n - 1) / n};
  const int64_t tokens = std::min(TokensShort(*resource), missing.capacity);
  for (const std::string& peer : open) {
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
  Outstanding outstanding{peer, now, asks, {}};
  TimePoint& renewed_at =
      renewed_at_.try_emplace(peer, TimePoint::min()).first->second;
  const Duration due = asks.empty() ? kRenewInterval : kEarlyRenewal;
  if (renewed_at == TimePoint::min() || now - renewed_at >= due) {
    for (Resource& resource : *resources) {
      for (const BorrowedPiece& piece : resource.account.borrowed()) {
        if (piece.lender != peer || piece.IsInherited()) continue;
        add(resource, piece.loan_id, piece.slice, 0);
        outstanding.renewals.insert(piece.loan_id);
      }
    }
    if (!outstanding.renewals.empty()) renewed_at = now;
  }
  for (const Ask& ask : asks) add(*ask.resource, 0, ask.asked, ask.tokens);
  if (request->asks.empty()) return nullptr;
  request->request_id = ++last_request_id_;
  outstanding_.emplace(request->request_id, std::move(outstanding));
  ++requests_sent_;
  return request;
}

std::vector<LoanMessages> Borrower::Tick(Resources* resources, TimePoint now) {
  NoteLate(now);
  Asks asks;
  for (Resource& resource : *resources) {
    Plan(&resource, now, &asks);
    for (const BorrowedPiece& piece : resource.account.borrowed()) {
      if (!piece.IsInherited()) asks.try_emplace(piece.lender);
    }
  }
  std::vector<LoanMessages> out;
  for (auto& [lender, ids] : returns_) {
    auto give_back = std::make_unique<wire::LoanReturnT>();
    give_back->lender_incarnation = lender.second;
    give_back->loan_ids = std::move(ids);
    out.push_back({lender.first, std::move(give_back), nullptr});
  }
  returns_.clear();
  for (const auto& [peer, peer_asks] : asks) {
    auto request = BuildRequest(peer, peer_asks, resources, now);
    if (request != nullptr) out.push_back({peer, nullptr, std::move(request)});
  }
  return out;
}

void Borrower::NoteLate(TimePoint now) {
  std::erase_if(outstanding_, [&](const auto& it) {
    return now - it.second.sent_at > kLoanDuration;
  });
  for (auto& [id, request] : outstanding_) {
    if (request.is_late || now - request.sent_at < kAnswerPatience) continue;
    request.is_late = true;
    for (const Ask& ask : request.asks) {
      NoteAnswer(ask.resource, request.peer, ask.asked, Slice{}, now);
    }
  }
}

void Borrower::NoteAnswer(Resource* resource, const std::string& peer,
                          const Slice& asked, const Slice& granted,
                          TimePoint now) {
  Resource::PeerState& state = resource->peers[peer];
  if (granted.Covers(asked)) {
    state = {};
    return;
  }
  if (granted.IsZero()) {
    const Duration longest =
        resource->waiting > 0 ? kLongestBackoffWaiting : kLongestBackoff;
    state.backoff = std::clamp(state.backoff * 2, kFirstBackoff, longest);
  } else {
    state.backoff = kFirstBackoff;
  }
  state.not_before = now + state.backoff;
}

void Borrower::OnGrant(const std::string& peer, const wire::LoanGrantT& grant,
                       const FindResource& find, TimePoint now) {
  const auto it = outstanding_.find(grant.request_id);
  if (it == outstanding_.end() || it->second.peer != peer) {
    ++grants_ignored_;
    return;
  }
  const Outstanding request = std::move(it->second);
  outstanding_.erase(it);
  const Duration duration = std::min<Duration>(
      kLoanDuration, std::chrono::milliseconds(grant.duration_ms));
  const TimePoint end = request.sent_at + BorrowerDuration(duration);
  std::map<Resource*, Slice> granted;
  for (const auto& item : grant.grants) {
    Resource* found = find(item->kind, item->name);
    if (found == nullptr) continue;
    Resource& resource = *found;
    if (request.renewals.contains(item->loan_id)) {
      // A piece that has ended or was returned must not come back.
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
    NoteAnswer(ask.resource, peer, ask.asked, granted[ask.resource], now);
  }
}

void Borrower::OnRecall(const std::string& peer, const Slice& asked,
                        Resource* resource, TimePoint now) {
  Slice open = NotNegative(asked);
  const std::vector<BorrowedPiece> pieces = resource->account.borrowed();
  for (const BorrowedPiece& piece : pieces) {
    if (open.IsZero()) return;
    if (piece.lender != peer || piece.IsInherited() || piece.held > 0) continue;
    open = NotNegative(open - piece.slice);
    Return(resource, piece, now);
  }
}

}  // namespace rwf
