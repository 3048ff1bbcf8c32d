#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "rates/slice.h"

namespace rwf {

// A part of another VM's share in use here. `incarnation` and `loan_id` are 0
// for the inherited share of a dead VM.
struct BorrowedQuota {
  std::string lender;
  uint64_t incarnation = 0;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  TimePoint borrowed_at;
  int64_t held = 0;  // slots of it in use

  bool IsInherited() const { return loan_id == 0; }
};

// A part of the own share, or of an inherited one, that a peer may use.
struct LentQuota {
  std::string borrower;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  std::string inherited_from;   // empty: own share
  bool renewal_denied = false;  // runs out, to be used here again
};

// What this VM may use of one resource: a token bucket, or a number of slots.
// The usable slice is own - lent + borrowed + inherited. Pieces end by time;
// each call brings the account to `now` first, so that no use is counted to a
// piece that has ended. `now` never makes time go back.
class ResourceAccount {
 public:
  struct HeldSlot {
    uint64_t slot_id = 0;
    std::string lender;  // empty: own slot
    uint64_t incarnation = 0;
    uint64_t loan_id = 0;
  };

  // The own share is used from `own_active_from` on.
  ResourceAccount(bool is_slots, TimePoint now, TimePoint own_active_from);

  // Changes the own share or the time from which it is used.
  void SetOwn(const Slice& own, TimePoint now);
  void SetOwnActiveFrom(TimePoint own_active_from, TimePoint now);

  void Advance(TimePoint now) {
    if (now >= next_event_) RunEvents(now);
    Refill(now);
  }

  // Takes `amount` from the bucket, or nothing.
  bool Take(int64_t amount, TimePoint now) {
    Advance(now);
    if (level_ < amount) return false;
    level_ -= amount;
    return true;
  }

  // Slots. The token ids are the caller's.
  bool Acquire(uint64_t slot_id, TimePoint now);
  bool Release(uint64_t slot_id, TimePoint now);
  // Null if the token holds no slot.
  const HeldSlot* Find(uint64_t slot_id) const;
  TimePoint HeldUntil(uint64_t slot_id) const;
  int64_t FreeSlots() const;
  int64_t HeldSlots() const { return static_cast<int64_t>(held_slots_.size()); }
  // Tokens whose piece ended; clears the list.
  std::vector<uint64_t> TakeExpired();

  // Lends `slice` with up to `level` tokens until `end`. The caller has checked
  // it against Lendable. Returns the tokens that go with it.
  int64_t Lend(LentQuota quota, int64_t level, TimePoint now);
  // Ends a lent piece that the borrower gave back. False if there is none.
  bool EndLoan(const std::string& borrower, uint64_t loan_id, TimePoint now);

  // Adds a piece with its tokens, or only moves the end of one that is there.
  void AddBorrowed(BorrowedQuota quota, int64_t level, TimePoint now);
  // Moves the end of a borrowed piece; false if it has ended.
  bool Extend(const std::string& lender, uint64_t incarnation, uint64_t loan_id,
              TimePoint end, TimePoint now);
  // Stops using a piece at once; false if it is absent or a slot of it is held.
  bool Drop(const std::string& lender, uint64_t incarnation, uint64_t loan_id,
            TimePoint now);
  // Sets, extends or (with a zero slice) resizes the share inherited from `vm`.
  void Inherit(const std::string& vm, const Slice& slice, TimePoint end,
               TimePoint now);

  // Part of the own share, and of that inherited from `vm`, that is neither
  // lent nor held as slots. Negative parts after the share shrank.
  Slice OwnRemaining() const;
  Slice InheritedRemaining(const std::string& vm) const;
  // All that the lent pieces and held slots take fits into what they come from.
  bool Conforms() const;

  const Slice& own() const { return own_; }
  const Slice& usable() const { return usable_; }
  int64_t level() const { return level_; }
  bool IsOwnActive() const { return own_active_; }
  const std::vector<BorrowedQuota>& borrowed() const { return borrowed_; }
  std::vector<LentQuota>& lent() { return lent_; }
  const std::vector<LentQuota>& lent() const { return lent_; }
  // Sum of borrowed pieces, without the inherited ones.
  Slice BorrowedSum() const;
  Slice InheritedSum() const;
  Slice LentSum() const;

  // When the level reaches `amount` if no piece is renewed; nullopt if never.
  std::optional<Duration> TimeToReach(int64_t amount) const;

 private:
  void Refill(TimePoint now);
  void RunEvents(TimePoint now);
  void ExpireQuotas(TimePoint at);
  // Recomputes the usable slice and the next event, and cuts the level.
  void Recompute();
  BorrowedQuota* FindBorrowed(const std::string& lender, uint64_t incarnation,
                              uint64_t loan_id);
  // Moves one held borrowed slot to a free own one, so that it need not end.
  void Rebind();
  int64_t OwnHeldSlots() const;

  bool is_slots_;
  Slice own_;
  Slice usable_;
  int64_t level_ = 0;
  int64_t remainder_ = 0;  // of refill, in units per 1e9
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
