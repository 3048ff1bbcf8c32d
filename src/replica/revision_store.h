#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "replica/store.h"

namespace rwf {

// One item of the store as it was last written. `revision` counts all changes
// of the store.
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool is_deleted = false;
  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// One page of a range in key order, and the store's revision at the time.
struct ItemPage {
  std::vector<StoreItem> items;
  bool has_more = false;
  uint64_t revision = 0;
};

// Changes since a revision. Without events: none until `revision`.
struct ChangeSet {
  std::vector<StoreItem> events;
  uint64_t revision = 0;
  // Everything is known up to this long after the call was made, which may be
  // before it. Not set: up to the call, or its end if it waited in full.
  std::optional<Duration> current_after;
};

struct GrantedLease {
  uint64_t id = 0;
  Duration ttl{};
};

// A write of one key. Holds if the key's revision is `expected_revision`
// (0: the key does not exist) where `is_conditional`.
struct ItemWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // 0: none
  bool is_conditional = false;
  uint64_t expected_revision = 0;
};

// A key-value service whose changes carry one growing revision. Calls return at
// once and call back exactly once, later. Errors are those of StoreErrc; a
// write without an answer ends with kUnknownOutcome.
class RevisionStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~RevisionStore() = default;

  // Items whose key starts with `prefix` and sorts after `after`. Current as of
  // the call. Given up after `timeout`.
  virtual void Range(const std::string& prefix, const std::string& after,
                     Duration timeout, Callback<ItemPage> done) = 0;
  // Answers with the changes after `revision` as soon as there is one, or
  // without any after `wait`. kHistoryGone: read everything again.
  virtual void Watch(const std::string& prefix, uint64_t revision,
                     Duration wait, Callback<ChangeSet> done) = 0;
  // The revision of the write; kConflict if the condition does not hold,
  // kNotHeld if the lease has ended.
  virtual void Write(const ItemWrite& write, Callback<uint64_t> done) = 0;
  virtual void Grant(Duration ttl, Callback<GrantedLease> done) = 0;
  // Extends the lease by its time from now; kNotHeld once it has ended.
  virtual void KeepAlive(uint64_t lease, Callback<bool> done) = 0;
  // Ends the lease and removes its keys.
  virtual void Release(uint64_t lease, Callback<bool> done) = 0;
};

}  // namespace rwf
