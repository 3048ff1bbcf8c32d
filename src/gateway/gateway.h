#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/metrics.h"
#include "gateway/change_relay.h"
#include "gateway/event_log.h"
#include "gateway/fleet.h"
#include "gateway/forwarder.h"
#include "gateway/front_server.h"
#include "gateway/registration.h"
#include "gateway/relayed_store.h"
#include "gateway/store_decoder.h"
#include "gateway/store_watch.h"
#include "gateway/upstream_pool.h"

namespace rwf {

// Settings of one gateway process. Durations and ratios that the operators have
// agreed on with their callers come with the deployment.
struct GatewaySettings {
  FleetVm self;
  HeaderNames header_names;
  // A key counts for at most this long after it was withdrawn.
  Duration max_key_withdrawal_delay{};
  // From SIGTERM to SIGKILL.
  Duration stop_timeout{};
  double max_shift = 0;    // part of a region's requests, within two seconds
  double retry_ratio = 0;  // sends beyond the first, of the requests
  double retry_extra = 0;  // and on top, of all VMs together
  Duration retry_window{};
  FleetLimiter::Tolerance limit_tolerance;
  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

// The data path of one entry VM: takes requests of callers to upstreams, as the
// configuration and the other VMs say.
class Gateway {
 public:
  // Keys are refused when the configuration was not confirmed for this part of
  // the time in which a withdrawal has to work. The rest covers a second in
  // which the store's watches may be silent, and requests on their way.
  static constexpr double kKeyFreshnessFraction = 0.7;
  // Instances that lapse within this time of trouble with the store may be
  // alive: their leases could not be renewed.
  static constexpr Duration kOutageGracePeriod = std::chrono::seconds(4);
  // They are back this soon after the store is, or gone.
  static constexpr Duration kReregistrationTimeout =
      std::chrono::milliseconds(2000);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(150);
  // Part of the time until SIGKILL in which new requests are taken; what is
  // left has to suffice for the longest of them.
  static constexpr double kServeFraction = 0.42;
  // The process ends this long before SIGKILL at the latest.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(150);

  Gateway(EventLoop* loop, GatewaySettings settings, RevisionStore* store,
          const StoreDecoder* decoder, EventLog* log);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  // Listens for callers and begins to follow the store.
  Result<void> Start();
  // A planned stop: leaves the look-ups, serves what comes for a while, ends
  // the loop when all is answered.
  void BeginStop();

  bool IsReady() const;
  const Fleet& fleet() const { return fleet_; }
  Metrics* metrics() { return &metrics_; }

 private:
  struct EntryVersion {
    int64_t born_ms = 0;
    int64_t sequence = 0;
  };
  void OnItem(const StoreItem& item);
  void OnRemoved(const std::string& key);
  void OnLoaded();
  void OnFleetSecret(const std::string& secret);
  void ScheduleSecretWrite();
  void WriteSecret();
  void Apply(std::shared_ptr<const Catalog> catalog);
  void Apply(const InstanceEntry& entry);
  void RemoveInstance(const std::string& id, const char* reason);
  void EndEvacuation(const std::string& zone);
  void SetRetryBounds();
  // Connects the parts by which VMs pass changes of the store on.
  void ConnectRelay();
  RelayedStore::Callbacks RelayCallbacks();
  // Passes suspicions of crashes on to the other VMs and takes theirs.
  void ConnectCrashWatch();
  Duration MaxColdStart() const;
  void Tick();
  // For how long the store has answered this VM.
  Duration StoreContact(TimePoint now) const;
  void ContinueStop();
  bool AreKeysFresh() const;

  EventLoop* loop_;
  GatewaySettings settings_;
  const StoreDecoder* decoder_;
  EventLog* log_;
  Metrics metrics_;
  KeyFreshness freshness_;
  InstanceRegistry board_;
  Placement placement_;
  FleetLimiter limiter_;
  AttemptBudget budget_;
  CrashWatch crashes_;
  UpstreamPool pool_;
  Fleet fleet_;
  ChangeRelay relay_;
  RelayedStore store_;
  StoreWatch watch_;
  Registration registration_;
  std::unique_ptr<FrontServer> front_;
  std::unique_ptr<Forwarder> forwarder_;
  std::map<std::string, EntryVersion> entry_versions_;
  // Instances whose entry lapsed while the store was in trouble, and since when
  // they are missing.
  std::map<std::string, TimePoint> lapsed_instances_;
  std::vector<std::string> services_;
  bool is_leaving_ = false;
  bool were_keys_fresh_ = false;
  std::string relay_vm_;  // asked for changes; empty: the store itself
  TimePoint started_at_{};
  TimePoint stop_started_at_{};
  bool is_listener_closed_ = false;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> stop_timer_;
  std::unique_ptr<Timer> secret_timer_;
};

}  // namespace rwf
