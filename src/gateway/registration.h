#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// Registers this VM in the store under a lease, so that its peers discover it
// and learn when it has stopped.
class Registration {
 public:
  // Longer than keys are accepted without store contact: by the time the entry
  // of an unreachable VM expires, that VM has stopped accepting requests with
  // keys.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(2500);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
  // From this time after the start of its last successful renewal, this VM has
  // no part of the limits of its own. The entry lasts 1.5 s longer.
  static constexpr Duration kFenceTime = std::chrono::milliseconds(6500);
  // By this time after this VM has seen its own entry, all VMs that accept keys
  // have seen it: their view of the store is at most 3.5 s old.
  static constexpr Duration kVisibleDelay = std::chrono::seconds(4);

  Registration(EventLoop* loop, RevisionStore* store, std::string key,
               std::string value);
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  void Start();
  // Removes the entry of this VM.
  void Stop();
  // Handles changes of the store, of any key. The entry is written again at
  // once if it is missing or is that of a former process.
  void OnChange(const StoreItem& item);
  // All items of the store have been passed to OnChange().
  void OnLoaded();

  // Whether the entry was seen in the store and has been renewed since.
  bool IsConfirmed(TimePoint now) const {
    return is_seen_ && now - renewed_at_ < kFenceTime;
  }
  bool IsKnownToAll(TimePoint now) const {
    return is_seen_ && now - seen_since_ >= kVisibleDelay;
  }
  // Times at which the entry was found missing or replaced.
  uint64_t losses() const { return losses_; }

  sigc::signal<void(bool is_removed)> signal_lost;

 private:
  void Grant();
  // Writes the entry on the condition that the store holds what this VM last
  // knew of.
  void Write();
  void Renew();
  void Schedule(Duration delay, void (Registration::*step)());

  EventLoop* loop_;
  RevisionStore* store_;
  std::string key_;
  std::string value_;
  uint64_t lease_ = 0;
  bool is_loaded_ = false;
  bool is_writing_ = false;
  // The store holds the entry of this process, as seen by the watch.
  bool is_seen_ = false;
  // Of the entry in the store; number 0 if there is none.
  StoreRevision revision_;
  StoreRevision latest_revision_;  // of a write or removal of the entry
  // Start of the last call that set or renewed the lease.
  TimePoint renewed_at_{};
  TimePoint seen_since_{};
  uint64_t losses_ = 0;
  bool is_stopped_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
