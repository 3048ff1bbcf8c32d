#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// Follows everything in the store: reads it whole once, then waits for changes.
// Reads again when the store has dropped the history or an answer shows that
// changes were missed. Deliveries of one key never go back in revision.
class StoreWatch {
 public:
  // Bounds both the time in which a silent connection or a watch that hears
  // nothing is noticed and the age of the last confirmation: with the margin of
  // the call, a gathering pause and one more read it stays below 3 s, and keys
  // are refused after 3.5 s. Every call is paid for, so it is not shorter.
  static constexpr Duration kWatchWait = std::chrono::milliseconds(1900);
  // Changes often come in groups; waiting this long after one spares calls.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(300);
  // Time for one page. Without contact most calls end early, so that a store
  // that is back is noticed soon; each third one allows for a slow store.
  static constexpr Duration kLoadTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
  static constexpr int kAttemptsPerFullTimeout = 3;
  // Failures for this long without an answer between them are an outage.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(600);
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(200);

  // `boot_now` reads a clock that goes on while the VM is suspended.
  StoreWatch(EventLoop* loop, RevisionStore* store,
             std::function<TimePoint()> boot_now);
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();

  bool is_loaded() const { return is_loaded_; }
  bool is_connected() const { return is_connected_; }
  // Monotonic time of the last answer and of the last failed call.
  TimePoint last_success() const { return last_success_; }
  TimePoint last_failure() const { return last_failure_; }
  // End and begin of the last outage. A call that fails alone is none: the
  // store may cut a waiting watch at any time.
  TimePoint outage_end() const { return outage_end_; }
  TimePoint outage_begin() const { return outage_begin_; }
  bool had_outage() const { return outage_end_ != TimePoint{}; }
  bool is_failing() const { return failures_ > 0; }
  uint64_t revision() const { return revision_; }

  // A key was written, or is seen for the first time.
  sigc::signal<void(const StoreItem&)> signal_item;
  sigc::signal<void(const std::string& key)> signal_removed;
  // Each change as it is heard of, also of keys that were not known here.
  sigc::signal<void(const StoreItem&)> signal_change;
  // Everything has been read once, or once more.
  sigc::signal<void()> signal_loaded;
  // All changes before this time are known.
  sigc::signal<void(TimePoint boot_time)> signal_confirmed;
  sigc::signal<void(bool connected, const std::string& reason)>
      signal_connection;

 private:
  void Load(const std::string& after);
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
  std::map<std::string, uint64_t> known_revisions_;  // revision by key
  std::map<std::string, uint64_t> loading_revisions_;
  uint64_t revision_ = 0;
  uint64_t load_revision_ = 0;
  bool is_loaded_ = false;
  bool needs_load_ = true;
  bool is_connected_ = false;
  bool has_signaled_connection_ = false;
  TimePoint requested_at_{};  // boot time of the call under way
  TimePoint load_requested_at_{};
  TimePoint last_success_{};
  TimePoint last_failure_{};
  TimePoint failing_since_{};
  TimePoint outage_end_{};
  TimePoint outage_begin_{};
  Duration backoff_ = kInitialBackoff;
  int failures_ = 0;  // since the last answer
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace rwf
