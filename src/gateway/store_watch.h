#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// Follows all keys of the store: loads them once and then watches for changes.
// Loads again if the store has discarded the history, has begun a new era or a
// reply shows that changes were missed. The revisions delivered for a key never
// decrease.
class StoreWatch {
 public:
  // Wait time of one watch call. It bounds how long a dead connection or a
  // watch that delivers nothing goes unnoticed, and the age of the last
  // confirmation: with the call margin, kBatchDelay and one more load, that age
  // stays below 3 s, and keys are refused after 3.5 s. It is not shorter
  // because every call to the store has a cost.
  static constexpr Duration kWatchWait = std::chrono::milliseconds(1900);
  // Pause after a change before the next watch call. Changes often come in
  // groups, so this saves calls.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(300);
  // Timeouts for loading one page. Without contact to the store, most calls use
  // the short timeout, so that its recovery is noticed soon; one in three
  // allows for a slow store.
  static constexpr Duration kLoadTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
  static constexpr int kAttemptsPerFullTimeout = 3;
  // Failures in a row over at least this time count as an outage.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(600);
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(200);

  // `boot_now` returns the time of a clock that keeps running while the VM is
  // suspended.
  StoreWatch(EventLoop* loop, RevisionStore* store,
             std::function<TimePoint()> boot_now);
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();

  bool is_loaded() const { return is_loaded_; }
  bool is_connected() const { return is_connected_; }
  // Monotonic time of the last successful call and of the last failed call.
  TimePoint last_success() const { return last_success_; }
  TimePoint last_failure() const { return last_failure_; }
  // End and start of the last outage. A single failed call is not an outage:
  // the store may close a waiting watch at any time.
  TimePoint outage_end() const { return outage_end_; }
  TimePoint outage_begin() const { return outage_begin_; }
  bool had_outage() const { return outage_end_ != TimePoint{}; }
  bool is_failing() const { return failures_ > 0; }
  const StoreRevision& revision() const { return revision_; }
  size_t key_count() const { return known_keys_.size(); }
  uint64_t loads() const { return loads_; }
  // Whether the keys of the present era have been loaded. Until then, keys that
  // are removed were lost by the return of the store to an older copy.
  bool is_era_loaded() const { return era_ == revision_.era; }

  // The highest revision that the copy may have held with which the present era
  // began.
  const StoreRevision& era_begin() const { return era_begin_; }

  // A key was written or is seen for the first time. Not emitted if a new era
  // shows the known value of a key again.
  sigc::signal<void(const StoreItem&)> signal_item;
  sigc::signal<void(const std::string& key)> signal_removed;
  // Each change in the order of arrival, including deletions of unknown keys.
  // In a new era, all keys of the store change.
  sigc::signal<void(const StoreItem&)> signal_change;
  // The store has begun a new era. Emitted before its first change.
  sigc::signal<void(const StoreRevision& last, const StoreRevision& first)>
      signal_new_era;
  // All keys have been loaded, for the first time or again. Emitted before
  // signal_confirmed for the same load.
  sigc::signal<void()> signal_loaded;
  // A load begins because changes were missed, with the reason.
  sigc::signal<void(const std::string& reason)> signal_reload;
  // The changes up to this revision lack keys that were added and removed in
  // between. Emitted after the changes.
  sigc::signal<void(const StoreRevision&)> signal_gap;
  // All changes made before this time are known.
  sigc::signal<void(TimePoint boot_time)> signal_confirmed;
  sigc::signal<void(bool connected, const std::string& reason)>
      signal_connection;

 private:
  struct KnownKey {
    StoreRevision revision;
    uint64_t value_hash = 0;
    // Not read yet in the present era.
    bool is_of_former_era = false;
  };
  void Load(const std::string& after);
  void Reload(const std::string& reason);
  void BeginEra(const StoreRevision& first);
  void OnPage(Result<ItemPage> page);
  void FinishLoad();
  void Watch();
  void OnChanges(Result<ChangeSet> changes);
  void Deliver(const StoreItem& item);
  void RecordSuccess();
  void HandleFailure(const Error& error);
  void ScheduleRetry();

  EventLoop* loop_;
  RevisionStore* store_;
  std::function<TimePoint()> boot_now_;
  std::map<std::string, KnownKey> known_keys_;
  std::set<std::string> loading_keys_;
  StoreRevision revision_;
  // Revision of the first page of the load in progress.
  std::optional<StoreRevision> load_revision_;
  std::optional<uint64_t> era_;  // not set before the first page
  StoreRevision era_begin_;
  bool is_loaded_ = false;
  bool needs_load_ = true;
  bool is_connected_ = false;
  bool has_signaled_connection_ = false;
  TimePoint requested_at_{};  // boot time of the current call
  TimePoint load_requested_at_{};
  TimePoint last_success_{};
  TimePoint last_failure_{};
  TimePoint failing_since_{};
  TimePoint outage_end_{};
  TimePoint outage_begin_{};
  Duration backoff_ = kInitialBackoff;
  int failures_ = 0;  // since the last success
  uint64_t loads_ = 0;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace rwf
