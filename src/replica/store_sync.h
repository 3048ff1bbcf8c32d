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
// lowest rendezvous rank among `live_in_zone` (which contains `vm`).
bool IsStoreWatcher(const std::string& zone, const std::string& vm,
                    const std::vector<std::string>& live_in_zone);

// The last contact with the store that this VM knows of, its own or one
// reported by peers. A contact is named by the VM that had it and a number of
// that VM that grows, so that a report passed around in a circle does not make
// the contact look more recent each time.
class StoreContact {
 public:
  StoreContact(std::string self, uint64_t first_sequence)
      : self_(std::move(self)), sequence_(first_sequence) {}

  // The store answered a call of this VM.
  void OnAnswer(TimePoint now);
  // What a peer's heartbeat says.
  void OnHeartbeat(const wire::HeartbeatT& heartbeat, TimePoint now);
  // Fills the store contact fields of a heartbeat.
  void Fill(wire::HeartbeatT* heartbeat, TimePoint now) const;

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
  const std::pair<const std::string, Contact>* newest_ = nullptr;
};

// Keeps the configuration replica in step with the store. A watcher has one
// watch pending; the other VMs read the manifest only when neither they nor
// their peers had contact with the store for a while. Also completes the audit
// record of the manifest in force when its writer did not.
class StoreSync {
 public:
  // The store is asked to answer a watch after this time; a watch that is
  // silent for longer is given up and renewed.
  static constexpr Duration kWatchTimeout = std::chrono::seconds(10);
  static constexpr Duration kWatchGrace = std::chrono::seconds(2);
  // Other VMs poll when the last known contact is older than kQuietLimit, every
  // kPollPeriod, less up to half of it.
  static constexpr Duration kQuietLimit = std::chrono::seconds(25);
  static constexpr Duration kPollPeriod = std::chrono::seconds(30);
  // A missing audit record is completed by a watcher this long after the
  // adoption, plus up to the same time.
  static constexpr Duration kAuditDelay = std::chrono::seconds(3);

  struct Counters {
    uint64_t calls = 0;
    uint64_t failures = 0;
    uint64_t watches = 0;
    uint64_t polls = 0;
    uint64_t late_answers = 0;  // of calls given up before
    uint64_t audit_completed = 0;
  };

  // All pointers outlive this object.
  StoreSync(Store* store, ConfigReplica* replica, StoreContact* contact,
            CallBudget* budget, Random* random);

  // Whether this VM watches the store; by IsStoreWatcher over the live VMs.
  void SetWatcher(bool watcher) { watcher_ = watcher; }
  // Called every 100 ms or so; makes at most one new call.
  void Tick(TimePoint now);

  const Counters& counters() const { return counters_; }
  bool watcher() const { return watcher_; }

 private:
  enum class Call { kNone, kWatch, kGet, kSection, kAudit };

  bool Begin(Call call, Duration give_up_after, TimePoint now);
  // True if `number` is the call that is awaited. Notes the store contact.
  template <typename T>
  bool End(uint64_t number, const Result<T>& result, TimePoint now);
  void OnManifest(uint64_t number, const Result<StoreValue>& result,
                  TimePoint now);
  void FetchSection(const Digest& digest, TimePoint now);
  void CheckAudit(TimePoint now);

  Store* store_;
  ConfigReplica* replica_;
  StoreContact* contact_;
  CallBudget* budget_;
  Random* random_;
  Backoff backoff_;
  bool watcher_ = false;
  Call call_ = Call::kNone;
  uint64_t call_number_ = 0;
  TimePoint give_up_at_{};
  TimePoint not_before_{};
  std::optional<TimePoint> next_poll_;
  uint64_t manifest_version_ = 0;
  size_t next_section_ = 0;
  uint64_t audit_generation_ = 0;  // known to be recorded, or being awaited
  uint64_t audited_ = 0;
  TimePoint audit_at_{};
  std::string audit_text_;  // to be written
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
