#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "rates/slice.h"

namespace rwf {

// A part of another VM's share that this VM may use. `incarnation` and
// `loan_id` are 0 for the inherited share of a failed VM.
struct BorrowedQuota {
  std::string lender;
  uint64_t incarnation = 0;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  TimePoint borrowed_at;
  int64_t held = 0;  // number of its slots in use

  bool IsInherited() const { return loan_id == 0; }
};

// A part of the own share, or of an inherited one, that a peer may use.
struct LentQuota {
  std::string borrower;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  std::string inherited_from;   // empty: own share
  bool renewal_denied = false;  // expires, and this VM uses it again
};

// What this VM may use of one resource: a token bucket, or a number of slots.
// The usable slice is own - lent + borrowed + inherited. Quotas expire by time;
// each call first advances the account to `now`, so that no use counts against
// an expired quota. A `now` before that of an earlier call does not move the
// account back.
class ResourceAccount {
 public:
  struct HeldSlot {
    uint64_t slot_id = 0;
    std::string lender;  // empty: own slot
    uint64_t incarnation = 0;
    uint64_t loan_id = 0;
  };

  // The own share becomes usable at `own_active_from`.
  ResourceAccount(bool is_slots, TimePoint now, TimePoint own_active_from);

  // Changes the own share or the time from which it is usable.
  void SetOwn(const Slice& own, TimePoint now);
  void SetOwnActiveFrom(TimePoint own_active_from, TimePoint now);

  void Advance(TimePoint now) {
    if (now >= next_event_) RunEvents(now);
    Refill(now);
  }

  // Takes `amount` from the bucket if it holds that much.
  bool Take(int64_t amount, TimePoint now) {
    Advance(now);
    if (level_ < amount) return false;
    level_ -= amount;
    return true;
  }

  // Slots. The caller chooses the ids.
  bool Acquire(uint64_t slot_id, TimePoint now);
  bool Release(uint64_t slot_id, TimePoint now);
  // Returns null if the id holds no slot.
  const HeldSlot* Find(uint64_t slot_id) const;
  TimePoint HeldUntil(uint64_t slot_id) const;
  int64_t FreeSlots() const;
  int64_t HeldSlots() const { return static_cast<int64_t>(held_slots_.size()); }
  // Ids of slots whose quota has expired; clears the list.
  std::vector<uint64_t> TakeExpired();

  // Lends `quota` with up to `level` tokens. The caller has checked that the
  // remaining share covers it. Returns the number of tokens lent.
  int64_t Lend(LentQuota quota, int64_t level, TimePoint now);
  // Ends a loan that the borrower returned. False if there is none.
  bool EndLoan(const std::string& borrower, uint64_t loan_id, TimePoint now);

  // Adds a quota with `level` tokens, or extends the one that has the same ids.
  void AddBorrowed(BorrowedQuota quota, int64_t level, TimePoint now);
  // Extends a borrowed quota to `end`; false if it has expired.
  bool Extend(const std::string& lender, uint64_t incarnation, uint64_t loan_id,
              TimePoint end, TimePoint now);
  // Removes a quota at once; false if it is absent or one of its slots is held.
  bool Drop(const std::string& lender, uint64_t incarnation, uint64_t loan_id,
            TimePoint now);
  // Sets, resizes or extends the share inherited from `vm`. An `end` at or
  // before `now` only resizes it.
  void Inherit(const std::string& vm, const Slice& slice, TimePoint end,
               TimePoint now);

  // Part of the own share, and of the share inherited from `vm`, that is
  // neither lent nor held as slots. Negative where the share shrank below that.
  Slice OwnRemaining() const;
  Slice InheritedRemaining(const std::string& vm) const;
  // True if lent quotas and held slots fit into the shares that they come from.
  bool Conforms() const;

  const Slice& own() const { return own_; }
  const Slice& usable() const { return usable_; }
  int64_t level() const { return level_; }
  bool IsOwnActive() const { return own_active_; }
  const std::vector<BorrowedQuota>& borrowed() const { return borrowed_; }
  std::vector<LentQuota>& lent() { return lent_; }
  const std::vector<LentQuota>& lent() const { return lent_; }
  // Sum of the borrowed quotas without the inherited shares.
  Slice BorrowedSum() const;
  Slice InheritedSum() const;
  Slice LentSum() const;

  // Time until the level reaches `amount` if no quota is renewed; nullopt if
  // never.
  std::optional<Duration> TimeToReach(int64_t amount) const;

 private:
  void Refill(TimePoint now);
  void RunEvents(TimePoint now);
  void ExpireQuotas(TimePoint at);
  // Recomputes the usable slice and the next event, and limits the level to the
  // usable capacity.
  void Recompute();
  BorrowedQuota* FindBorrowed(const std::string& lender, uint64_t incarnation,
                              uint64_t loan_id);
  // Moves one held slot from a borrowed quota to a free own slot, so that it
  // does not expire.
  void Rebind();
  int64_t OwnHeldSlots() const;

  bool is_slots_;
  Slice own_;
  Slice usable_;
  int64_t level_ = 0;
  int64_t remainder_ = 0;  // of the refill, in billionths of a unit
  TimePoint updated_at_;
  TimePoint own_active_from_;
  bool own_active_ = false;
  TimePoint next_event_ = TimePoint::min();
  std::vector<BorrowedQuota> borrowed_;
  std::vector<LentQuota> lent_;
  std::vector<HeldSlot> held_slots_;
  std::vector<uint64_t> expired_slots_;
};

}  // namespace rwf
