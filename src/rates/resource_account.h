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
struct BorrowedPiece {
  std::string lender;
  uint64_t incarnation = 0;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  TimePoint since;
  int64_t held = 0;  // slots of it in use

  bool IsInherited() const { return loan_id == 0; }
};

// A part of the own share, or of an inherited one, that a peer may use.
struct LentPiece {
  std::string borrower;
  uint64_t loan_id = 0;
  Slice slice;
  TimePoint end;
  std::string inherited_from;  // empty: own share
  bool not_renewed = false;    // runs out, to be used here again
};

// What this VM may use of one resource: a token bucket, or a number of slots.
// The usable slice is own - lent + borrowed + inherited. Pieces end by time;
// each call brings the account to `now` first, so that no use is counted to a
// piece that has ended. `now` never makes time go back.
class ResourceAccount {
 public:
  struct Held {
    uint64_t token = 0;
    std::string lender;  // empty: own slot
    uint64_t incarnation = 0;
    uint64_t loan_id = 0;
  };

  // The own share is used from `own_from` on.
  ResourceAccount(bool is_slots, TimePoint now, TimePoint own_from);

  // Changes the own share or the time from which it is used.
  void SetOwn(const Slice& own, TimePoint now);
  void SetOwnFrom(TimePoint own_from, TimePoint now);

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
  bool Acquire(uint64_t token, TimePoint now);
  bool Release(uint64_t token, TimePoint now);
  // Null if the token holds no slot.
  const Held* Find(uint64_t token) const;
  TimePoint HeldUntil(uint64_t token) const;
  int64_t FreeSlots() const;
  int64_t HeldSlots() const { return static_cast<int64_t>(held_.size()); }
  // Tokens whose piece ended; clears the list.
  std::vector<uint64_t> TakeEnded();

  // Lends `slice` with up to `level` tokens until `end`. The caller has checked
  // it against Lendable. Returns the tokens that go with it.
  int64_t Lend(LentPiece piece, int64_t level, TimePoint now);
  // Ends a lent piece that the borrower gave back. False if there is none.
  bool EndLent(const std::string& borrower, uint64_t loan_id, TimePoint now);

  // Adds a piece with its tokens, or only moves the end of one that is there.
  void AddBorrowed(BorrowedPiece piece, int64_t level, TimePoint now);
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
  Slice OwnLeft() const;
  Slice InheritedLeft(const std::string& vm) const;
  // All that the lent pieces and held slots take fits into what they come from.
  bool Conforms() const;

  const Slice& own() const { return own_; }
  const Slice& usable() const { return usable_; }
  int64_t level() const { return level_; }
  bool IsOwnActive() const { return own_active_; }
  const std::vector<BorrowedPiece>& borrowed() const { return borrowed_; }
  std::vector<LentPiece>& lent() { return lent_; }
  const std::vector<LentPiece>& lent() const { return lent_; }
  // Sum of borrowed pieces, without the inherited ones.
  Slice BorrowedSum() const;
  Slice InheritedSum() const;
  Slice LentSum() const;

  // When the level reaches `amount` if no piece is renewed; nullopt if never.
  std::optional<Duration> TimeToReach(int64_t amount) const;

 private:
  void Refill(TimePoint now);
  void RunEvents(TimePoint now);
  void EndPieces(TimePoint at);
  // Recomputes the usable slice and the next event, and cuts the level.
  void Recompute();
  BorrowedPiece* FindBorrowed(const std::string& lender, uint64_t incarnation,
                              uint64_t loan_id);
  // Moves one held borrowed slot to a free own one, so that it need not end.
  void Rebind();
  int64_t OwnHeld() const;

  bool is_slots_;
  Slice own_;
  Slice usable_;
  int64_t level_ = 0;
  int64_t remainder_ = 0;  // of refill, in units per 1e9
  TimePoint at_;
  TimePoint own_from_;
  bool own_active_ = false;
  TimePoint next_event_ = TimePoint::min();
  std::vector<BorrowedPiece> borrowed_;
  std::vector<LentPiece> lent_;
  std::vector<Held> held_;
  std::vector<uint64_t> ended_;
};

}  // namespace rwf
