#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/metrics.h"
#include "gateway/buffer_account.h"
#include "gateway/change_relay.h"
#include "gateway/event_log.h"
#include "gateway/fleet.h"
#include "gateway/forwarder.h"
#include "gateway/front_server.h"
#include "gateway/notice_decoder.h"
#include "gateway/registration.h"
#include "gateway/relayed_store.h"
#include "gateway/store_decoder.h"
#include "gateway/store_watch.h"
#include "gateway/upstream_pool.h"

namespace rwf {

// Settings of one gateway process. Limits that the operators have agreed with
// their callers come from the deployment.
struct GatewaySettings {
  FleetVm self;
  HeaderNames header_names;
  // Maximum time for which a withdrawn key may still be accepted.
  Duration max_key_withdrawal_delay{};
  // Time from SIGTERM to SIGKILL.
  Duration stop_timeout{};
  // Fraction of a region's requests that may move within two seconds.
  double max_shift = 0;
  double retry_ratio = 0;  // retries as a fraction of the requests
  double retry_extra = 0;  // additional retries of all VMs together
  Duration retry_window{};
  LimitTolerance limit_tolerance;
  // Requests without capacity wait at this VM where that pays.
  bool waits_for_capacity = false;
  int64_t memory_mb = 0;        // of the VM; zero: not known
  int64_t max_descriptors = 0;  // of the VM; zero: not known
  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

// The data path of one entry VM: forwards requests of callers to upstreams
// according to the configuration and the reports of the other VMs.
class Gateway {
 public:
  // Requests with keys are refused once the configuration has not been
  // confirmed for this fraction of max_key_withdrawal_delay. The rest covers
  // one second in which the store's watches may be silent, and requests in
  // flight.
  static constexpr double kKeyFreshnessFraction = 0.7;
  // Instances whose entries expire within this time after a store outage may be
  // alive: their leases could not be renewed during the outage.
  static constexpr Duration kOutageGracePeriod = std::chrono::seconds(4);
  // Such instances are removed unless they register again within this time
  // after the store is reachable.
  static constexpr Duration kReregistrationTimeout =
      std::chrono::milliseconds(2000);
  // An instance that was removed and is listed again by an older copy of the
  // store is not used until its entry has stayed for this time: longer than the
  // entry of an instance that no longer writes to the store.
  static constexpr Duration kRestoredEntryDelay = std::chrono::seconds(6);
  // An entry whose instance is to start later than this from now is unusable:
  // all later entries of the instance would count as outdated.
  static constexpr Duration kMaxClockDifference = std::chrono::hours(24);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(150);
  // Fraction of stop_timeout in which new requests are accepted; the rest must
  // suffice for the longest request.
  static constexpr double kServeFraction = 0.42;
  // The process exits at least this long before SIGKILL.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(150);

  Gateway(EventLoop* loop, GatewaySettings settings, RevisionStore* store,
          const StoreDecoder* decoder, const NoticeDecoder* notice_decoder,
          EventLog* log);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  // Starts listening for callers and watching the store.
  Result<void> Start();
  // Starts a planned stop: removes this VM from look-ups, keeps serving for a
  // part of stop_timeout and stops the loop once all requests are finished.
  void BeginStop();

  bool IsReady() const;
  const Fleet& fleet() const { return fleet_; }
  Metrics* metrics() { return &metrics_; }

 private:
  struct EntryVersion {
    int64_t started_ms = 0;
    int64_t sequence = 0;
    // Era of the store in which the entry was removed.
    std::optional<uint64_t> removed_in_era;
  };
  // An entry that expired after a store outage, or that is missing in a new era
  // of the store, and may be written again.
  struct Lapse {
    TimePoint since{};
    bool is_new_era = false;
  };
  // An entry of an instance that was removed before the store returned to an
  // older copy, which lists the instance again.
  struct RestoredEntry {
    InstanceEntry entry;
    StoreRevision revision;
    TimePoint since{};
  };
  void OnItem(const StoreItem& item);
  void OnRemoved(const std::string& key);
  void OnLoaded();
  void OnFleetSecret(const std::string& secret);
  void ScheduleSecretWrite();
  void WriteSecret();
  // `revision` is that of the entry in the store.
  void Apply(std::shared_ptr<const Catalog> catalog,
             const StoreRevision& revision);
  void Apply(const InstanceEntry& entry, const StoreRevision& revision);
  void OnUnusable(const std::string& key, const UnusableEntry& entry);
  void RemoveInstance(const std::string& id, const char* reason);
  void EndEvacuation(const std::string& zone);
  // Removes what has lapsed and has not been written again in time.
  void RemoveLapsed(TimePoint now);
  // Uses the instances whose restored entries have stayed.
  void ApplyRestored(TimePoint now);
  // Returns whether `entry` may be that of an instance that has left since.
  bool IsRestored(const InstanceEntry& entry,
                  const StoreRevision& revision) const;
  void SetRetryBounds();
  // Starts a line on what is known of the store.
  EventLog::Line StoreLine(std::string_view event,
                           const StoreRevision& revision) const;
  void ConnectWatchLog();
  // Connects the components that relay store changes between VMs.
  void ConnectRelay();
  RelayedStore::Callbacks RelayCallbacks();
  // Takes in what other VMs heard from instances.
  void ConnectNotices();
  // Exchanges claims on the limits of workspaces with the other VMs.
  void ConnectLimits();
  void TickLimits();
  // Passes on the messages and decisions of the limiter.
  void FlushLimits();
  // Exchanges crash suspicions with the other VMs.
  void ConnectCrashWatch();
  Duration MaxColdStart() const;
  void Tick();
  // Returns how long the store has been reachable without an outage; zero if it
  // is failing now.
  Duration StoreContact(TimePoint now) const;
  void ContinueStop();
  bool AreKeysFresh() const;

  EventLoop* loop_;
  GatewaySettings settings_;
  const StoreDecoder* decoder_;
  EventLog* log_;
  Metrics metrics_;
  KeyFreshness freshness_;
  InstanceRegistry registry_;
  InstanceNotices notices_;
  Placement placement_;
  WorkspaceLimiter limiter_;
  AttemptBudget budget_;
  CrashWatch crashes_;
  BufferAccount buffers_;
  UpstreamPool pool_;
  Fleet fleet_;
  ChangeRelay relay_;
  RelayedStore store_;
  StoreWatch watch_;
  Registration registration_;
  std::unique_ptr<FrontServer> front_;
  std::unique_ptr<Forwarder> forwarder_;
  std::map<std::string, EntryVersion> entry_versions_;
  std::map<std::string, Lapse> lapsed_instances_;
  std::map<std::string, RestoredEntry> restored_entries_;
  // Zones whose evacuation is missing in a new era, with the time at which that
  // was found.
  std::map<std::string, TimePoint> lapsed_evacuations_;
  std::vector<std::string> services_;
  bool is_leaving_ = false;
  bool were_keys_fresh_ = false;
  std::string relay_vm_;  // source of store changes; empty: the store itself
  TimePoint started_at_{};
  TimePoint stop_started_at_{};
  bool is_listener_closed_ = false;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> limit_timer_;
  std::unique_ptr<Timer> stop_timer_;
  std::unique_ptr<Timer> secret_timer_;
};

}  // namespace rwf
