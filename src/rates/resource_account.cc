#include "rates/resource_account.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rwf {
namespace {

constexpr int64_t kNanosPerSecond = 1'000'000'000;

template <typename Pieces>
Slice Sum(const Pieces& pieces) {
  Slice sum;
  for (const auto& piece : pieces) sum += piece.slice;
  return sum;
}

}  // namespace

ResourceAccount::ResourceAccount(bool is_slots, TimePoint now,
                                 TimePoint own_from)
    : is_slots_(is_slots), at_(now), own_from_(own_from) {
  Recompute();
}

void ResourceAccount::Refill(TimePoint now) {
  if (now <= at_) return;
  const int64_t elapsed = (now - at_).count();
  at_ = now;
  if (level_ >= usable_.capacity) {
    remainder_ = 0;
    return;
  }
  int64_t product = 0;
  if (__builtin_mul_overflow(usable_.rate, elapsed, &product) ||
      __builtin_add_overflow(product, remainder_, &product)) {
    const __int128 wide =
        static_cast<__int128>(usable_.rate) * elapsed + remainder_;
    const __int128 gain = wide / kNanosPerSecond;
    remainder_ = static_cast<int64_t>(wide % kNanosPerSecond);
    level_ = gain > usable_.capacity - level_
                 ? usable_.capacity
                 : level_ + static_cast<int64_t>(gain);
    return;
  }
  remainder_ = product % kNanosPerSecond;
  level_ = std::min(
      usable_.capacity,
      level_ + std::min(product / kNanosPerSecond, usable_.capacity - level_));
}

void ResourceAccount::RunEvents(TimePoint now) {
  while (next_event_ <= now) {
    const TimePoint at = std::max(next_event_, at_);
    Refill(at);
    EndPieces(at);
    Recompute();
  }
}

void ResourceAccount::EndPieces(TimePoint at) {
  std::erase_if(lent_, [&](const LentPiece& p) { return p.end <= at; });
  for (const BorrowedPiece& piece : borrowed_) {
    if (piece.end > at || piece.held == 0) continue;
    for (Held& held : held_) {
      if (held.lender != piece.lender || held.loan_id != piece.loan_id ||
          held.incarnation != piece.incarnation) {
        continue;
      }
      ended_.push_back(held.token);
      held.token = 0;
    }
  }
  std::erase_if(held_, [](const Held& held) { return held.token == 0; });
  std::erase_if(borrowed_, [&](const BorrowedPiece& p) { return p.end <= at; });
}

void ResourceAccount::Recompute() {
  own_active_ = at_ >= own_from_;
  Slice sum = own_active_ ? own_ : Slice{};
  next_event_ = own_active_ ? TimePoint::max() : own_from_;
  for (const LentPiece& piece : lent_) {
    sum -= piece.slice;
    next_event_ = std::min(next_event_, piece.end);
  }
  for (const BorrowedPiece& piece : borrowed_) {
    sum += piece.slice;
    next_event_ = std::min(next_event_, piece.end);
  }
  usable_ = NotNegative(sum);
  level_ = std::min(level_, usable_.capacity);
}

void ResourceAccount::SetOwn(const Slice& own, TimePoint now) {
  Advance(now);
  own_ = own;
  Recompute();
}

void ResourceAccount::SetOwnFrom(TimePoint own_from, TimePoint now) {
  Advance(now);
  own_from_ = own_from;
  Recompute();
}

int64_t ResourceAccount::OwnHeld() const {
  return std::count_if(held_.begin(), held_.end(),
                       [](const Held& held) { return held.lender.empty(); });
}

Slice ResourceAccount::OwnLeft() const {
  Slice left = own_active_ ? own_ : Slice{};
  for (const LentPiece& piece : lent_) {
    if (piece.inherited_from.empty()) left -= piece.slice;
  }
  if (is_slots_) left.capacity -= OwnHeld();
  return left;
}

Slice ResourceAccount::InheritedLeft(const std::string& vm) const {
  Slice left;
  for (const BorrowedPiece& piece : borrowed_) {
    if (!piece.IsInherited() || piece.lender != vm) continue;
    left += piece.slice;
    left.capacity -= piece.held;
  }
  for (const LentPiece& piece : lent_) {
    if (piece.inherited_from == vm) left -= piece.slice;
  }
  return left;
}

bool ResourceAccount::Conforms() const {
  if (!OwnLeft().Covers(Slice{})) return false;
  return std::all_of(
      borrowed_.begin(), borrowed_.end(), [&](const BorrowedPiece& p) {
        return !p.IsInherited() || InheritedLeft(p.lender).Covers(Slice{});
      });
}

int64_t ResourceAccount::FreeSlots() const {
  int64_t free = std::max<int64_t>(OwnLeft().capacity, 0);
  for (const BorrowedPiece& piece : borrowed_) {
    const int64_t left = piece.IsInherited()
                             ? InheritedLeft(piece.lender).capacity
                             : piece.slice.capacity - piece.held;
    free += std::max<int64_t>(left, 0);
  }
  return std::clamp<int64_t>(usable_.capacity - HeldSlots(), 0, free);
}

bool ResourceAccount::Acquire(uint64_t token, TimePoint now) {
  Advance(now);
  if (usable_.capacity <= HeldSlots()) return false;
  if (OwnLeft().capacity > 0) {
    held_.push_back({token, "", 0, 0});
    return true;
  }
  BorrowedPiece* best = nullptr;
  for (BorrowedPiece& piece : borrowed_) {
    const int64_t left = piece.IsInherited()
                             ? InheritedLeft(piece.lender).capacity
                             : piece.slice.capacity - piece.held;
    if (left <= 0) continue;
    if (best == nullptr || piece.end > best->end) best = &piece;
  }
  if (best == nullptr) return false;
  ++best->held;
  held_.push_back({token, best->lender, best->incarnation, best->loan_id});
  return true;
}

bool ResourceAccount::Release(uint64_t token, TimePoint now) {
  Advance(now);
  std::erase(ended_, token);
  const auto it =
      std::find_if(held_.begin(), held_.end(),
                   [&](const Held& held) { return held.token == token; });
  if (it == held_.end()) return false;
  if (!it->lender.empty()) {
    BorrowedPiece* piece =
        FindBorrowed(it->lender, it->incarnation, it->loan_id);
    assert(piece != nullptr && piece->held > 0);
    --piece->held;
  }
  held_.erase(it);
  Rebind();
  return true;
}

void ResourceAccount::Rebind() {
  if (!is_slots_ || OwnLeft().capacity <= 0) return;
  for (Held& held : held_) {
    if (held.lender.empty()) continue;
    --FindBorrowed(held.lender, held.incarnation, held.loan_id)->held;
    held = Held{held.token, "", 0, 0};
    return;
  }
}

const ResourceAccount::Held* ResourceAccount::Find(uint64_t token) const {
  for (const Held& held : held_) {
    if (held.token == token) return &held;
  }
  return nullptr;
}

TimePoint ResourceAccount::HeldUntil(uint64_t token) const {
  const Held* held = Find(token);
  if (held == nullptr) return TimePoint::min();
  if (held->lender.empty()) return TimePoint::max();
  for (const BorrowedPiece& piece : borrowed_) {
    if (piece.lender == held->lender && piece.loan_id == held->loan_id &&
        piece.incarnation == held->incarnation) {
      return piece.end;
    }
  }
  return TimePoint::min();
}

std::vector<uint64_t> ResourceAccount::TakeEnded() {
  return std::exchange(ended_, {});
}

int64_t ResourceAccount::Lend(LentPiece piece, int64_t level, TimePoint now) {
  Advance(now);
  const Slice left = piece.inherited_from.empty()
                         ? OwnLeft()
                         : InheritedLeft(piece.inherited_from);
  assert(NotNegative(left).Covers(piece.slice));
  // Tokens travel only within the capacity that travels with them, so that
  // levels and tokens on the way never sum to more than the burst.
  const int64_t moved =
      is_slots_ ? 0
                : std::clamp<int64_t>(level, 0,
                                      std::min(level_, piece.slice.capacity));
  level_ -= moved;
  lent_.push_back(std::move(piece));
  Recompute();
  return moved;
}

bool ResourceAccount::EndLent(const std::string& borrower, uint64_t loan_id,
                              TimePoint now) {
  Advance(now);
  const size_t n = std::erase_if(lent_, [&](const LentPiece& p) {
    return p.borrower == borrower && p.loan_id == loan_id;
  });
  if (n == 0) return false;
  Recompute();
  return true;
}

BorrowedPiece* ResourceAccount::FindBorrowed(const std::string& lender,
                                             uint64_t incarnation,
                                             uint64_t loan_id) {
  for (BorrowedPiece& piece : borrowed_) {
    if (piece.lender == lender && piece.incarnation == incarnation &&
        piece.loan_id == loan_id) {
      return &piece;
    }
  }
  return nullptr;
}

void ResourceAccount::AddBorrowed(BorrowedPiece piece, int64_t level,
                                  TimePoint now) {
  Advance(now);
  if (piece.end <= now) return;
  if (Extend(piece.lender, piece.incarnation, piece.loan_id, piece.end, now)) {
    return;
  }
  const int64_t moved = std::clamp<int64_t>(level, 0, piece.slice.capacity);
  borrowed_.push_back(std::move(piece));
  Recompute();
  if (!is_slots_) level_ = std::min(level_ + moved, usable_.capacity);
}

bool ResourceAccount::Extend(const std::string& lender, uint64_t incarnation,
                             uint64_t loan_id, TimePoint end, TimePoint now) {
  Advance(now);
  BorrowedPiece* piece = FindBorrowed(lender, incarnation, loan_id);
  if (piece == nullptr) return false;
  piece->end = std::max(piece->end, end);
  Recompute();
  return true;
}

bool ResourceAccount::Drop(const std::string& lender, uint64_t incarnation,
                           uint64_t loan_id, TimePoint now) {
  Advance(now);
  const BorrowedPiece* piece = FindBorrowed(lender, incarnation, loan_id);
  if (piece == nullptr || piece->held > 0) return false;
  borrowed_.erase(borrowed_.begin() + (piece - borrowed_.data()));
  Recompute();
  return true;
}

void ResourceAccount::Inherit(const std::string& vm, const Slice& slice,
                              TimePoint end, TimePoint now) {
  Advance(now);
  BorrowedPiece* piece = FindBorrowed(vm, 0, 0);
  if (piece == nullptr) {
    if (slice.IsZero() || end <= now) return;
    borrowed_.push_back({vm, 0, 0, slice, end, now, 0});
  } else {
    piece->slice = slice;
    piece->end = std::max(piece->end, end);
  }
  Recompute();
}

Slice ResourceAccount::BorrowedSum() const {
  return Sum(borrowed_) - InheritedSum();
}

Slice ResourceAccount::InheritedSum() const {
  Slice sum;
  for (const BorrowedPiece& piece : borrowed_) {
    if (piece.IsInherited()) sum += piece.slice;
  }
  return sum;
}

Slice ResourceAccount::LentSum() const { return Sum(lent_); }

std::optional<Duration> ResourceAccount::TimeToReach(int64_t amount) const {
  if (level_ >= amount) return Duration::zero();
  struct Step {
    TimePoint at;
    Slice change;
  };
  std::vector<Step> steps;
  Slice sum = own_active_ ? own_ : Slice{};
  if (!own_active_) steps.push_back({own_from_, own_});
  for (const LentPiece& piece : lent_) {
    sum -= piece.slice;
    steps.push_back({piece.end, piece.slice});
  }
  for (const BorrowedPiece& piece : borrowed_) {
    sum += piece.slice;
    steps.push_back({piece.end, Slice{} - piece.slice});
  }
  std::sort(steps.begin(), steps.end(),
            [](const Step& a, const Step& b) { return a.at < b.at; });
  steps.push_back({TimePoint::max(), Slice{}});
  TimePoint at = at_;
  int64_t level = level_;
  for (const Step& step : steps) {
    const Slice usable = NotNegative(sum);
    level = std::min(level, usable.capacity);
    if (usable.rate > 0 && usable.capacity >= amount) {
      const __int128 nanos =
          (static_cast<__int128>(amount - level) * kNanosPerSecond +
           usable.rate - 1) /
          usable.rate;
      if (step.at == TimePoint::max() || nanos <= (step.at - at).count()) {
        // A sum that would not fit is as good as never.
        if (nanos > INT64_MAX / 2) return std::nullopt;
        return at - at_ + Duration(static_cast<int64_t>(nanos));
      }
    }
    if (step.at == TimePoint::max()) break;
    const int64_t gain =
        FloorShare(usable.rate, (step.at - at).count(), kNanosPerSecond);
    level = std::min(level + gain, usable.capacity);
    at = step.at;
    sum += step.change;
  }
  return std::nullopt;
}

}  // namespace rwf
