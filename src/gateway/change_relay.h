#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/store_watch.h"
#include "replica/revision_store.h"
#include "wire/messages_generated.h"

namespace rwf {

// Relays store changes seen by this VM to other VMs, so that only a few VMs
// watch the store. Keeps the latest change of each key for a limited time, of
// one era: VMs that know another era have to load.
// Performs no I/O. Times are of a clock that keeps running while the VM is
// suspended, so that replies state the true age of the data even after a
// suspension.
class ChangeRelay {
 public:
  // How long changes are kept: several times the interval between two requests
  // of a VM that is up to date.
  static constexpr Duration kRetention = std::chrono::seconds(15);
  // Above this number, the two oldest gaps are merged.
  static constexpr size_t kMaxGaps = 16;

  // Passes on what `watch` receives. Both must outlive the connection.
  // `boot_now` returns the time of a clock that keeps running while the VM is
  // suspended.
  void Follow(StoreWatch* watch, const std::function<TimePoint()>& boot_now);

  // All keys were loaded at this revision. A load does not tell of keys that
  // were added and removed since the last watched revision, so requests for
  // changes after a revision in between cannot be answered. Must be called
  // before OnConfirmed for the same load.
  void OnLoaded(const StoreRevision& revision);
  // Changes up to this revision lack keys that were added and removed in
  // between.
  void OnGap(const StoreRevision& revision);
  // Must be called in the order in which the changes arrive.
  void OnChange(const StoreItem& change, TimePoint now);
  // All changes made before `confirmed_at` have been passed to OnChange, and
  // the store is known up to `revision`. Replies to pending requests that have
  // changes or can no longer be answered.
  void OnConfirmed(const StoreRevision& revision, TimePoint confirmed_at,
                   TimePoint now);
  // The store has begun a new era. Until its keys are loaded, VMs are told to
  // ask the store themselves.
  void OnNewEra(uint64_t era, TimePoint now);
  // The store is unreachable. Tells all waiting VMs to ask the store
  // themselves.
  void OnLost(TimePoint now);
  void OnRequest(const std::string& vm, const wire::ChangesRequestT& request,
                 TimePoint now);
  // Replies to expired requests and evicts old changes. Must be called several
  // times a second.
  void Tick(TimePoint now);

  sigc::signal<void(const std::string& vm, const wire::ChangesReplyT& reply)>
      signal_reply;

 private:
  struct Change {
    StoreItem item;
    TimePoint received_at{};
  };
  struct PendingRequest {
    std::string vm;
    uint64_t id = 0;
    StoreRevision revision;
    TimePoint requested_at{};
    TimePoint expires_at{};
  };
  // Revisions between `after` and `before`, both excluded, in which changes are
  // not known individually.
  struct Gap {
    StoreRevision after;
    StoreRevision before;
  };
  bool HasChanges(const PendingRequest& it) const;
  bool IsHistoryGone(const PendingRequest& it) const;
  bool HasGapSince(const StoreRevision& revision) const;
  void Reply(const PendingRequest& it, TimePoint now);

  // Latest change of each key, by revision.
  std::map<StoreRevision, std::vector<Change>> changes_;
  std::map<std::string, StoreRevision> revision_of_;
  std::vector<PendingRequest> pending_;
  std::vector<Gap> gaps_;  // by revision
  StoreRevision revision_;
  // Up to which all changes are known. A load alone does not tell of keys that
  // were removed before their page was read.
  StoreRevision watched_revision_;
  // The next confirmation is that of a load.
  bool is_confirming_load_ = false;
  // Requests for changes after an earlier revision cannot be answered.
  StoreRevision oldest_revision_;
  TimePoint confirmed_at_{};
  bool is_store_connected_ = false;
};

}  // namespace rwf
