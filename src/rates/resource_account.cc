#include "rates/resource_account.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rwf {
namespace {

constexpr int64_t kNanosPerSecond = 1'000'000'000;

template <typename Quotas>
Slice Sum(const Quotas& quotas) {
  Slice sum;
  for (const auto& quota : quotas) sum += quota.slice;
  return sum;
}

}  // namespace

ResourceAccount::ResourceAccount(bool is_slots, TimePoint now,
                                 TimePoint own_active_from)
    : is_slots_(is_slots), updated_at_(now), own_active_from_(own_active_from) {
  Recompute();
}

void ResourceAccount::Refill(TimePoint now) {
  if (now <= updated_at_) return;
  const int64_t elapsed = (now - updated_at_).count();
  updated_at_ = now;
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
    const TimePoint at = std::max(next_event_, updated_at_);
    Refill(at);
    ExpireQuotas(at);
    Recompute();
  }
}

void ResourceAccount::ExpireQuotas(TimePoint at) {
  std::erase_if(lent_, [&](const LentQuota& p) { return p.end <= at; });
  for (const BorrowedQuota& quota : borrowed_) {
    if (quota.end > at || quota.held == 0) continue;
    for (HeldSlot& held : held_slots_) {
      if (held.lender != quota.lender || held.loan_id != quota.loan_id ||
          held.incarnation != quota.incarnation) {
        continue;
      }
      expired_slots_.push_back(held.slot_id);
      held.slot_id = 0;
    }
  }
  std::erase_if(held_slots_,
                [](const HeldSlot& held) { return held.slot_id == 0; });
  std::erase_if(borrowed_, [&](const BorrowedQuota& p) { return p.end <= at; });
}

void ResourceAccount::Recompute() {
  own_active_ = updated_at_ >= own_active_from_;
  Slice sum = own_active_ ? own_ : Slice{};
  next_event_ = own_active_ ? TimePoint::max() : own_active_from_;
  for (const LentQuota& quota : lent_) {
    sum -= quota.slice;
    next_event_ = std::min(next_event_, quota.end);
  }
  for (const BorrowedQuota& quota : borrowed_) {
    sum += quota.slice;
    next_event_ = std::min(next_event_, quota.end);
  }
  usable_ = NotNegative(sum);
  level_ = std::min(level_, usable_.capacity);
}

void ResourceAccount::SetOwn(const Slice& own, TimePoint now) {
  Advance(now);
  own_ = own;
  Recompute();
}

void ResourceAccount::SetOwnActiveFrom(TimePoint own_active_from,
                                       TimePoint now) {
  Advance(now);
  own_active_from_ = own_active_from;
  Recompute();
}

int64_t ResourceAccount::OwnHeldSlots() const {
  return std::count_if(
      held_slots_.begin(), held_slots_.end(),
      [](const HeldSlot& held) { return held.lender.empty(); });
}

Slice ResourceAccount::OwnRemaining() const {
  Slice remaining = own_active_ ? own_ : Slice{};
  for (const LentQuota& quota : lent_) {
    if (quota.inherited_from.empty()) remaining -= quota.slice;
  }
  if (is_slots_) remaining.capacity -= OwnHeldSlots();
  return remaining;
}

Slice ResourceAccount::InheritedRemaining(const std::string& vm) const {
  Slice remaining;
  for (const BorrowedQuota& quota : borrowed_) {
    if (!quota.IsInherited() || quota.lender != vm) continue;
    remaining += quota.slice;
    remaining.capacity -= quota.held;
  }
  for (const LentQuota& quota : lent_) {
    if (quota.inherited_from == vm) remaining -= quota.slice;
  }
  return remaining;
}

bool ResourceAccount::Conforms() const {
  if (!OwnRemaining().Covers(Slice{})) return false;
  return std::all_of(
      borrowed_.begin(), borrowed_.end(), [&](const BorrowedQuota& p) {
        return !p.IsInherited() || InheritedRemaining(p.lender).Covers(Slice{});
      });
}

int64_t ResourceAccount::FreeSlots() const {
  int64_t free = std::max<int64_t>(OwnRemaining().capacity, 0);
  for (const BorrowedQuota& quota : borrowed_) {
    const int64_t remaining = quota.IsInherited()
                                  ? InheritedRemaining(quota.lender).capacity
                                  : quota.slice.capacity - quota.held;
    free += std::max<int64_t>(remaining, 0);
  }
  return std::clamp<int64_t>(usable_.capacity - HeldSlots(), 0, free);
}

bool ResourceAccount::Acquire(uint64_t slot_id, TimePoint now) {
  Advance(now);
  if (usable_.capacity <= HeldSlots()) return false;
  if (OwnRemaining().capacity > 0) {
    held_slots_.push_back({slot_id, "", 0, 0});
    return true;
  }
  BorrowedQuota* best = nullptr;
  for (BorrowedQuota& quota : borrowed_) {
    const int64_t remaining = quota.IsInherited()
                                  ? InheritedRemaining(quota.lender).capacity
                                  : quota.slice.capacity - quota.held;
    if (remaining <= 0) continue;
    if (best == nullptr || quota.end > best->end) best = &quota;
  }
  if (best == nullptr) return false;
  ++best->held;
  held_slots_.push_back(
      {slot_id, best->lender, best->incarnation, best->loan_id});
  return true;
}

bool ResourceAccount::Release(uint64_t slot_id, TimePoint now) {
  Advance(now);
  std::erase(expired_slots_, slot_id);
  const auto it = std::find_if(
      held_slots_.begin(), held_slots_.end(),
      [&](const HeldSlot& held) { return held.slot_id == slot_id; });
  if (it == held_slots_.end()) return false;
  if (!it->lender.empty()) {
    BorrowedQuota* quota =
        FindBorrowed(it->lender, it->incarnation, it->loan_id);
    assert(quota != nullptr && quota->held > 0);
    --quota->held;
  }
  held_slots_.erase(it);
  Rebind();
  return true;
}

void ResourceAccount::Rebind() {
  if (!is_slots_ || OwnRemaining().capacity <= 0) return;
  for (HeldSlot& held : held_slots_) {
    if (held.lender.empty()) continue;
    --FindBorrowed(held.lender, held.incarnation, held.loan_id)->held;
    held = HeldSlot{held.slot_id, "", 0, 0};
    return;
  }
}

const ResourceAccount::HeldSlot* ResourceAccount::Find(uint64_t slot_id) const {
  for (const HeldSlot& held : held_slots_) {
    if (held.slot_id == slot_id) return &held;
  }
  return nullptr;
}

TimePoint ResourceAccount::HeldUntil(uint64_t slot_id) const {
  const HeldSlot* held = Find(slot_id);
  if (held == nullptr) return TimePoint::min();
  if (held->lender.empty()) return TimePoint::max();
  for (const BorrowedQuota& quota : borrowed_) {
    if (quota.lender == held->lender && quota.loan_id == held->loan_id &&
        quota.incarnation == held->incarnation) {
      return quota.end;
    }
  }
  return TimePoint::min();
}

std::vector<uint64_t> ResourceAccount::TakeExpired() {
  return std::exchange(expired_slots_, {});
}

int64_t ResourceAccount::Lend(LentQuota quota, int64_t level, TimePoint now) {
  Advance(now);
  const Slice remaining = quota.inherited_from.empty()
                              ? OwnRemaining()
                              : InheritedRemaining(quota.inherited_from);
  assert(NotNegative(remaining).Covers(quota.slice));
  // Tokens are lent only with capacity that covers them, so that the levels and
  // the tokens in transit never sum to more than the burst.
  const int64_t transferred =
      is_slots_ ? 0
                : std::clamp<int64_t>(level, 0,
                                      std::min(level_, quota.slice.capacity));
  level_ -= transferred;
  lent_.push_back(std::move(quota));
  Recompute();
  return transferred;
}

bool ResourceAccount::EndLoan(const std::string& borrower, uint64_t loan_id,
                              TimePoint now) {
  Advance(now);
  const size_t n = std::erase_if(lent_, [&](const LentQuota& p) {
    return p.borrower == borrower && p.loan_id == loan_id;
  });
  if (n == 0) return false;
  Recompute();
  return true;
}

BorrowedQuota* ResourceAccount::FindBorrowed(const std::string& lender,
                                             uint64_t incarnation,
                                             uint64_t loan_id) {
  for (BorrowedQuota& quota : borrowed_) {
    if (quota.lender == lender && quota.incarnation == incarnation &&
        quota.loan_id == loan_id) {
      return &quota;
    }
  }
  return nullptr;
}

void ResourceAccount::AddBorrowed(BorrowedQuota quota, int64_t level,
                                  TimePoint now) {
  Advance(now);
  if (quota.end <= now) return;
  if (Extend(quota.lender, quota.incarnation, quota.loan_id, quota.end, now)) {
    return;
  }
  const int64_t transferred =
      std::clamp<int64_t>(level, 0, quota.slice.capacity);
  borrowed_.push_back(std::move(quota));
  Recompute();
  if (!is_slots_) level_ = std::min(level_ + transferred, usable_.capacity);
}

bool ResourceAccount::Extend(const std::string& lender, uint64_t incarnation,
                             uint64_t loan_id, TimePoint end, TimePoint now) {
  Advance(now);
  BorrowedQuota* quota = FindBorrowed(lender, incarnation, loan_id);
  if (quota == nullptr) return false;
  quota->end = std::max(quota->end, end);
  Recompute();
  return true;
}

bool ResourceAccount::Drop(const std::string& lender, uint64_t incarnation,
                           uint64_t loan_id, TimePoint now) {
  Advance(now);
  const BorrowedQuota* quota = FindBorrowed(lender, incarnation, loan_id);
  if (quota == nullptr || quota->held > 0) return false;
  borrowed_.erase(borrowed_.begin() + (quota - borrowed_.data()));
  Recompute();
  return true;
}

void ResourceAccount::Inherit(const std::string& vm, const Slice& slice,
                              TimePoint end, TimePoint now) {
  Advance(now);
  BorrowedQuota* quota = FindBorrowed(vm, 0, 0);
  if (quota == nullptr) {
    if (slice.IsZero() || end <= now) return;
    borrowed_.push_back({vm, 0, 0, slice, end, now, 0});
  } else {
    quota->slice = slice;
    quota->end = std::max(quota->end, end);
  }
  Recompute();
}

Slice ResourceAccount::BorrowedSum() const {
  return Sum(borrowed_) - InheritedSum();
}

Slice ResourceAccount::InheritedSum() const {
  Slice sum;
  for (const BorrowedQuota& quota : borrowed_) {
    if (quota.IsInherited()) sum += quota.slice;
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
  if (!own_active_) steps.push_back({own_active_from_, own_});
  for (const LentQuota& quota : lent_) {
    sum -= quota.slice;
    steps.push_back({quota.end, quota.slice});
  }
  for (const BorrowedQuota& quota : borrowed_) {
    sum += quota.slice;
    steps.push_back({quota.end, Slice{} - quota.slice});
  }
  std::sort(steps.begin(), steps.end(),
            [](const Step& a, const Step& b) { return a.at < b.at; });
  steps.push_back({TimePoint::max(), Slice{}});
  TimePoint at = updated_at_;
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
        // A duration that would overflow counts as never.
        if (nanos > INT64_MAX / 2) return std::nullopt;
        return at - updated_at_ + Duration(static_cast<int64_t>(nanos));
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
