#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "replica/store.h"

namespace rwf {

// A point in the history of the store. A store that is restored from an older
// copy begins a new era: it gives out the numbers after the copy again, for
// other changes. Within an era the numbers increase with each change, and each
// revision of an era is later than all revisions of the eras before.
struct StoreRevision {
  constexpr StoreRevision() = default;
  constexpr StoreRevision(uint64_t era, uint64_t number)
      : era(era), number(number) {}

  uint64_t era = 0;
  uint64_t number = 0;
  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) = default;
};

// The latest version of one item. `revision` is the revision of the store at
// which it was written, in the era in which it was read.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
  bool is_deleted = false;
  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// One page of a range in key order, and the revision of the store at which it
// was read.
struct ItemPage {
  std::vector<StoreItem> items;
  bool has_more = false;
  StoreRevision revision;
};

// Changes since a revision. If there are no events, nothing has changed up to
// `revision`.
struct ChangeSet {
  std::vector<StoreItem> events;
  StoreRevision revision;
  // The changes are complete up to this offset from the start of the call. The
  // offset may be negative. If not set, they are complete up to the start of
  // the call, or up to its end if it waited for the full time.
  std::optional<Duration> current_after;
  // Keys that were added and removed again since the requested revision may be
  // missing among the events.
  bool has_gap = false;
};

struct GrantedLease {
  uint64_t id = 0;
  Duration ttl{};
};

// A write of one key. If `is_conditional`, it succeeds only if the revision of
// the key is `expected_revision` (number 0 if the key must not exist).
struct ItemWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // 0 if none
  bool is_conditional = false;
  StoreRevision expected_revision;
};

// A key-value store with a single revision that increases with each change.
// Results of one call belong to one era.
// Calls are asynchronous: each returns immediately and runs its callback
// exactly once, later. Errors are those of StoreErrc; a write without a
// response fails with kUnknownOutcome.
class RevisionStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~RevisionStore() = default;

  // Reads items whose key starts with `prefix` and sorts after `after`. The
  // result is at least as recent as the call. Fails if there is no response
  // within `timeout`.
  virtual void Range(const std::string& prefix, const std::string& after,
                     Duration timeout, Callback<ItemPage> done) = 0;
  // Returns the changes after `revision` as soon as there are any, or an empty
  // set after `wait`. Fails with kHistoryGone if the store has discarded the
  // history since then or has begun another era; the caller has to read
  // everything again.
  virtual void Watch(const std::string& prefix, const StoreRevision& revision,
                     Duration wait, Callback<ChangeSet> done) = 0;
  // Returns the revision of the write. Fails with kConflict if the condition
  // does not hold and with kNotHeld if the lease has expired.
  virtual void Write(const ItemWrite& write, Callback<StoreRevision> done) = 0;
  virtual void Grant(Duration ttl, Callback<GrantedLease> done) = 0;
  // Extends the lease by its TTL from now. Fails with kNotHeld if it has
  // expired.
  virtual void KeepAlive(uint64_t lease, Callback<bool> done) = 0;
  // Revokes the lease and deletes its keys.
  virtual void Release(uint64_t lease, Callback<bool> done) = 0;
};

}  // namespace rwf
