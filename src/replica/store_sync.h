#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "replica/call_budget.h"
#include "replica/config_replica.h"
#include "replica/store.h"

namespace rwf {

// Returns true if `vm` is one of the two VMs of its zone that watch the store:
// those of lowest rendezvous rank among `live_vms`, the live VMs of the zone
// including `vm`.
bool IsStoreWatcher(const std::string& zone, const std::string& vm,
                    const std::vector<std::string>& live_vms);

// Tracks the most recent contact with the store, made by this VM or reported by
// peers. A contact is identified by its VM and an increasing sequence number of
// that VM, so that a report forwarded in a loop does not make the contact look
// more recent.
class StoreContact {
 public:
  StoreContact(std::string self, uint64_t initial_sequence)
      : self_(std::move(self)), sequence_(initial_sequence) {}

  // Records a response to a call made at `called_at`. The data read is at least
  // as recent as the call, while the response may be handled much later, for
  // instance after the process was paused.
  void OnResponse(TimePoint called_at);
  // Merges the store contact reported in a heartbeat of a peer.
  void OnHeartbeat(const wire::HeartbeatT& heartbeat, TimePoint now);
  // Sets the store contact fields of a heartbeat.
  void AddToHeartbeat(wire::HeartbeatT* heartbeat, TimePoint now) const;

  // Time since the most recent contact, or Duration::max() if there is none.
  Duration Age(TimePoint now) const;

 private:
  struct Contact {
    uint64_t sequence = 0;
    TimePoint at{};
  };

  std::string self_;
  uint64_t sequence_;
  std::unordered_map<std::string, Contact> contacts_;
  std::string newest_;  // VM of the most recent contact
};

// Synchronizes the configuration replica with the store. A watcher keeps one
// watch pending. The other VMs poll the manifest only if neither they nor their
// peers had contact with the store within kMaxContactAge. A watcher also writes
// the audit record of the newest manifest if its writer failed to do so.
class StoreSync {
 public:
  // A watch ends in the store after kWatchTimeout. Without a response within
  // another kWatchGrace, the watch is abandoned and restarted.
  static constexpr Duration kWatchTimeout = std::chrono::seconds(9);
  static constexpr Duration kWatchGrace = std::chrono::seconds(1);
  // Other VMs poll while the most recent contact is older than kMaxContactAge,
  // with a random interval between half of kPollPeriod and all of it.
  static constexpr Duration kMaxContactAge = std::chrono::seconds(25);
  static constexpr Duration kPollPeriod = std::chrono::seconds(30);
  // Replaces kPollPeriod until the first configuration is adopted.
  static constexpr Duration kStartupPollPeriod = std::chrono::seconds(2);
  // After an outage a change must be in force within 3 s, of which a lost call
  // takes Store::kCallTimeout. The store needs no longer backoff for its
  // protection: the call budget limits the watchers, the poll period the other
  // VMs.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(750);
  // A watcher checks for a missing audit record after a random delay of one to
  // two times kAuditDelay since it read the manifest.
  static constexpr Duration kAuditDelay = std::chrono::seconds(3);

  struct Counters {
    uint64_t calls = 0;
    uint64_t failures = 0;
    uint64_t watches = 0;
    uint64_t polls = 0;
    uint64_t late_responses = 0;  // to calls that have timed out
    uint64_t audit_records_completed = 0;
  };

  // All pointers must outlive this object.
  StoreSync(Store* store, ConfigReplica* replica, StoreContact* contact,
            CallBudget* budget, Random* random);

  // Sets whether this VM watches the store, as IsStoreWatcher decides.
  void SetWatcher(bool watcher) { is_watcher_ = watcher; }
  // Called about every 100 ms. Starts at most one store call.
  void Tick(TimePoint now);

  const Counters& counters() const { return counters_; }
  bool is_watcher() const { return is_watcher_; }

 private:
  enum class Call { kNone, kWatch, kGet, kSection, kAuditRead, kAuditWrite };

  // Starts a call if the call budget allows it.
  bool TryBegin(Call call, Duration timeout, TimePoint now);
  // Records the result of the call `number`. Returns false if that call has
  // already timed out.
  bool End(uint64_t number, TimePoint called_at, const Error* error,
           TimePoint now);
  void RecordFailure(TimePoint now);
  // Returns a callback that does nothing once this object is destroyed.
  template <typename T>
  Store::Callback<T> MakeCallback(void (StoreSync::*handler)(const T&, bool,
                                                             TimePoint),
                                  TimePoint now);
  // `awaited` is false if the call had already timed out.
  void OnManifest(const StoreValue& value, bool awaited, TimePoint now);
  void OnSection(const StoreValue& value, bool awaited, TimePoint now);
  void OnAudit(const StoreValue& value, bool awaited, TimePoint now);
  void OnAuditWritten(const SwapOutcome& outcome, bool awaited, TimePoint now);
  bool FetchSection(TimePoint now);
  bool CheckAudit(TimePoint now);
  bool ReadManifest(TimePoint now);

  Store* store_;
  ConfigReplica* replica_;
  StoreContact* contact_;
  CallBudget* budget_;
  Random* random_;
  Backoff backoff_{kMaxBackoff};
  bool is_watcher_ = false;
  Call call_ = Call::kNone;
  uint64_t call_number_ = 0;
  TimePoint call_deadline_{};
  TimePoint not_before_{};
  std::optional<TimePoint> next_poll_;
  uint64_t manifest_version_ = 0;
  bool fetching_sections_ = false;  // of a manifest read from the store
  size_t next_section_ = 0;
  Manifest latest_manifest_;         // read from the store
  uint64_t audited_generation_ = 0;  // its audit record exists
  bool audit_missing_ = false;
  TimePoint audit_check_at_{};
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
