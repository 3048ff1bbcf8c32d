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

// True if `vm` is one of the VMs of its zone that watch the store: the two of
// lowest rendezvous rank among `live_vms` (which contains `vm`).
bool IsStoreWatcher(const std::string& zone, const std::string& vm,
                    const std::vector<std::string>& live_vms);

// The last contact with the store that this VM knows of, its own or one
// reported by peers. A contact is named by the VM that had it and a number of
// that VM that grows, so that a report passed around in a circle does not make
// the contact look more recent each time.
class StoreContact {
 public:
  StoreContact(std::string self, uint64_t initial_sequence)
      : self_(std::move(self)), sequence_(initial_sequence) {}

  // The store answered a call that this VM made at `called_at`. What was read
  // is at least as recent as that; the arrival of the answer may be much later,
  // for instance after a pause.
  void OnResponse(TimePoint called_at);
  // What a peer's heartbeat says.
  void OnHeartbeat(const wire::HeartbeatT& heartbeat, TimePoint now);
  // Fills the store contact fields of a heartbeat.
  void AddToHeartbeat(wire::HeartbeatT* heartbeat, TimePoint now) const;

  // Time since the last known contact; none known: Duration::max().
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

// Keeps the configuration replica in step with the store. A watcher has one
// watch pending; the other VMs read the manifest only when neither they nor
// their peers had contact with the store for a while. Also completes the audit
// record of the manifest in force when its writer did not.
class StoreSync {
 public:
  // The store is asked to answer a watch after kWatchTimeout; a watch that is
  // silent for kWatchGrace more is given up and renewed.
  static constexpr Duration kWatchTimeout = std::chrono::seconds(9);
  static constexpr Duration kWatchGrace = std::chrono::seconds(1);
  // Other VMs poll when the last known contact is older than kMaxContactAge,
  // every kPollPeriod, less up to half of it.
  static constexpr Duration kMaxContactAge = std::chrono::seconds(25);
  static constexpr Duration kPollPeriod = std::chrono::seconds(30);
  // Without a configuration the store is asked every kStartupPollPeriod.
  static constexpr Duration kStartupPollPeriod = std::chrono::seconds(2);
  // After an outage a change has to be in force within 3 s, of which a call
  // that got lost takes Store::kCallTimeout. More backoff is not needed to
  // protect the store: the call budget bounds the watchers, the poll period the
  // others.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(750);
  // A missing audit record is completed by a watcher this long after the
  // adoption, plus up to the same time.
  static constexpr Duration kAuditDelay = std::chrono::seconds(3);

  struct Counters {
    uint64_t calls = 0;
    uint64_t failures = 0;
    uint64_t watches = 0;
    uint64_t polls = 0;
    uint64_t late_responses = 0;  // of calls given up before
    uint64_t audit_records_completed = 0;
  };

  // All pointers outlive this object.
  StoreSync(Store* store, ConfigReplica* replica, StoreContact* contact,
            CallBudget* budget, Random* random);

  // Whether this VM watches the store; by IsStoreWatcher over the live VMs.
  void SetWatcher(bool watcher) { is_watcher_ = watcher; }
  // Called every 100 ms or so; makes at most one new call.
  void Tick(TimePoint now);

  const Counters& counters() const { return counters_; }
  bool is_watcher() const { return is_watcher_; }

 private:
  enum class Call { kNone, kWatch, kGet, kSection, kAuditRead, kAuditWrite };

  // Takes a call of the budget. False: not now.
  bool TryBegin(Call call, Duration timeout, TimePoint now);
  // Notes that the call `number` was answered. False if it was given up before.
  bool End(uint64_t number, TimePoint called_at, const Error* error,
           TimePoint now);
  void RecordFailure(TimePoint now);
  // A callback that runs only while this object exists.
  template <typename T>
  Store::Callback<T> MakeCallback(void (StoreSync::*handler)(const T&, bool,
                                                             TimePoint),
                                  TimePoint now);
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
  bool fetching_sections_ = false;  // sections of a manifest read here
  size_t next_section_ = 0;
  Manifest latest_manifest_;         // newest one read from the store
  uint64_t audited_generation_ = 0;  // generation whose audit record was seen
  bool audit_missing_ = false;
  TimePoint audit_check_at_{};
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
