#include "gateway/gateway.h"

#include <algorithm>

#include "base/digest.h"
#include "gateway/decision_log.h"
#include "gateway/instance_gauges.h"

namespace rwf {
namespace {

// Keys of redwingferry in the store.
constexpr std::string_view kVmPrefix = "rwf/vm/";
constexpr const char* kSecretKey = "rwf/secret";
constexpr size_t kSecretBytes = 32;
// Number of digits of a digest in log lines.
constexpr size_t kLoggedDigestDigits = 16;
constexpr uint64_t kMaxSecretDelayMs = 600;
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

std::string LoggedDigest(const Digest& digest) {
  return ToHex(digest).substr(0, kLoggedDigestDigits);
}

}  // namespace

Gateway::Gateway(EventLoop* loop, GatewaySettings settings,
                 RevisionStore* store, const StoreDecoder* decoder,
                 const NoticeDecoder* notice_decoder, EventLog* log)
    : loop_(loop),
      settings_(std::move(settings)),
      decoder_(decoder),
      log_(log),
      freshness_(FromSeconds(ToSeconds(settings_.max_key_withdrawal_delay) *
                             kKeyFreshnessFraction)),
      placement_({.region = settings_.self.region,
                  .max_shift = settings_.max_shift,
                  .pacing_seed = RandomSeed(settings_.self)},
                 &registry_, &notices_),
      limiter_(settings_.self.vm, EventLoop::Now()),
      buffers_(BufferAccount::LimitOf(settings_.memory_mb)),
      pool_(loop, &buffers_),
      fleet_(loop, settings_.self, &limiter_, &notices_, log),
      store_(loop, store, RelayCallbacks()),
      watch_(loop, &store_, &BootTimeNow),
      registration_(loop, &store_, std::string(kVmPrefix) + settings_.self.vm,
                    FormatFleetVm(settings_.self)) {
  FrontServer::Callbacks callbacks;
  callbacks.on_request = [this](ExchangeId id, ReceivedMessage request) {
    forwarder_->Handle(id, std::move(request));
  };
  callbacks.on_disconnected = [this](ExchangeId id) {
    forwarder_->OnCallerDisconnected(id);
  };
  callbacks.may_pipeline = [this](const ReceivedMessage& request) {
    return forwarder_->MayPipeline(request);
  };
  front_ = std::make_unique<FrontServer>(
      loop, std::move(callbacks),
      FrontServer::Resources{&buffers_, log, &metrics_,
                             settings_.header_names.retry_after,
                             settings_.memory_mb, settings_.max_descriptors});
  ForwarderDependencies deps;
  deps.loop = loop;
  deps.header_names = &settings_.header_names;
  deps.notice_decoder = notice_decoder;
  deps.registry = &registry_;
  deps.notices = &notices_;
  deps.placement = &placement_;
  deps.limiter = &limiter_;
  deps.budget = &budget_;
  deps.pool = &pool_;
  deps.buffers = &buffers_;
  deps.freshness = &freshness_;
  deps.crashes = &crashes_;
  deps.log = log;
  deps.metrics = &metrics_;
  deps.front = front_.get();
  deps.local_vm_count = [this] { return fleet_.VmsInRegion(); };
  forwarder_ = std::make_unique<Forwarder>(std::move(deps));
  forwarder_->SetWaitsForCapacity(settings_.waits_for_capacity);
  limiter_.SetTolerance(settings_.limit_tolerance);
  SetRetryBounds();
  watch_.signal_item.connect([this](const StoreItem& it) { OnItem(it); });
  watch_.signal_removed.connect(
      [this](const std::string& key) { OnRemoved(key); });
  watch_.signal_loaded.connect([this] { OnLoaded(); });
  watch_.signal_confirmed.connect(
      [this](TimePoint t) { freshness_.OnConfirmed(t); });
  ConnectWatchLog();
  ConnectRelay();
  ConnectCrashWatch();
  ConnectNotices();
  ConnectLimits();
  metrics_.AddGauge("rwf_store_changes_relayed_total",
                    "Store change replies received from other VMs",
                    [this] { return double(store_.counters().relayed); });
  metrics_.AddGauge("rwf_store_relay_fallbacks_total",
                    "Requests for store changes sent to the store because the "
                    "relay VM gave no usable reply",
                    [this] { return double(store_.counters().fallbacks); });
  metrics_.AddGauge("rwf_store_era", "Era of the store that is loaded",
                    [this] { return double(watch_.revision().era); });
  metrics_.AddGauge("rwf_store_revision",
                    "Revision up to which the store is known, in its era",
                    [this] { return double(watch_.revision().number); });
  metrics_.AddGauge("rwf_store_loads_total", "Completed loads of all entries",
                    [this] { return double(watch_.loads()); });
  metrics_.AddGauge("rwf_config_version",
                    "Version of the configuration in force; 0 if none", [this] {
                      const auto& catalog = forwarder_->catalog();
                      return catalog == nullptr ? 0
                                                : double(catalog->version());
                    });
  pool_.AddMetrics(&metrics_);
  metrics_.AddGauge("rwf_open_requests", "Requests in progress",
                    [this] { return double(forwarder_->active_requests()); });
  AddInstanceGauges(&metrics_, &registry_, &notices_);
  metrics_.AddGauge("rwf_peers", "Known peer VMs",
                    [this] { return double(fleet_.size()); });
  metrics_.AddGauge(
      "rwf_log_lines_dropped_total",
      "Log lines dropped by the rate limit or because of a slow reader",
      [this] { return double(log_->dropped()); });
  metrics_.AddGauge(
      "rwf_key_confirmation_age_seconds",
      "Time since the configuration was last confirmed to be current", [this] {
        const auto age = freshness_.AgeAt(BootTimeNow());
        return age ? ToSeconds(*age) : -1;
      });
}

Gateway::~Gateway() = default;

RelayedStore::Callbacks Gateway::RelayCallbacks() {
  RelayedStore::Callbacks out;
  out.relay = [this] { return fleet_.RelayVm(); };
  out.is_relay = [this] {
    return fleet_.VmsInRegion() > 1 && fleet_.RelayVm().empty();
  };
  out.send = [this](const std::string& vm,
                    const wire::ChangesRequestT& request) {
    wire::BodyUnion body;
    body.Set(wire::ChangesRequestT(request));
    return fleet_.Send(vm, std::move(body));
  };
  out.boot_now = &BootTimeNow;
  return out;
}

EventLog::Line Gateway::StoreLine(std::string_view event,
                                  const StoreRevision& revision) const {
  EventLog::Line line = log_->State(event);
  line.Number("era", static_cast<int64_t>(revision.era))
      .Number("revision", static_cast<int64_t>(revision.number));
  return line;
}

void Gateway::ConnectWatchLog() {
  watch_.signal_connection.connect([this](bool connected,
                                          const std::string& reason) {
    StoreLine(connected ? "store_connected" : "store_lost", watch_.revision())
        .Text("reason", reason);
  });
  watch_.signal_new_era.connect(
      [this](const StoreRevision& last, const StoreRevision& first) {
        // What was removed may have to be removed once more.
        for (auto& [id, it] : restored_entries_) it.since = EventLoop::Now();
        StoreLine("store_new_era", first)
            .Number("previous_era", static_cast<int64_t>(last.era))
            .Number("previous_revision", static_cast<int64_t>(last.number));
      });
  watch_.signal_reload.connect([this](const std::string& reason) {
    StoreLine("store_reload", watch_.revision()).Text("reason", reason);
  });
  watch_.signal_loaded.connect([this] {
    StoreLine("store_loaded", watch_.revision())
        .Number("keys", static_cast<int64_t>(watch_.key_count()));
  });
}

void Gateway::ConnectCrashWatch() {
  crashes_.signal_settled.connect([this](const SettledBrokenRun& it) {
    const char* verdict = BrokenRunVerdictName(it.verdict);
    metrics_.CountBrokenRun(verdict);
    log_->Request("broken_run", LoggedDigest(it.fingerprint))
        .Text("instance", it.instance)
        .Text("verdict", verdict)
        .Millis("age_ms", it.age)
        .Number("at_once", static_cast<int64_t>(it.instances_at_once));
  });
  crashes_.signal_suspicion.connect([this](const wire::CrashSuspicionT& it) {
    log_->State(it.cleared ? "crash_suspicion_cleared" : "crash_suspected")
        .Text("request", LoggedDigest(it.fingerprint))
        .Text("instance", it.upstream);
    wire::MessageT message;
    message.body.Set(wire::CrashSuspicionT(it));
    fleet_.SendToAll(message);
  });
  fleet_.signal_peer_up.connect([this](const std::string& vm) {
    for (const wire::CrashSuspicionT& it :
         crashes_.MessagesForNewLink(EventLoop::Now())) {
      wire::BodyUnion body;
      body.Set(wire::CrashSuspicionT(it));
      fleet_.Send(vm, std::move(body));
    }
  });
  fleet_.signal_crash_suspicion.connect(
      [this](const wire::CrashSuspicionT& it) {
        crashes_.OnMessage(it, EventLoop::Now());
      });
}

void Gateway::ConnectNotices() {
  fleet_.signal_instance_notice.connect(
      [this](const std::string& vm, const SharedNotice& it) {
        if (!notices_.OnShared(it, EventLoop::Now())) return;
        LogNotice(log_, ProcessName(it.instance, it.started_ms), it.notice, vm,
                  it.age);
        if (it.notice.is_leaving) pool_.CloseIdleConnections(it.instance);
      });
}

void Gateway::ConnectRelay() {
  relay_.Follow(&watch_, &BootTimeNow);
  watch_.signal_change.connect(
      [this](const StoreItem& it) { registration_.OnChange(it); });
  relay_.signal_reply.connect(
      [this](const std::string& vm, const wire::ChangesReplyT& reply) {
        wire::BodyUnion body;
        body.Set(wire::ChangesReplyT(reply));
        fleet_.Send(vm, std::move(body));
      });
  fleet_.signal_changes_request.connect(
      [this](const std::string& vm, const wire::ChangesRequestT& request) {
        relay_.OnRequest(vm, request, BootTimeNow());
      });
  fleet_.signal_changes_reply.connect(
      [this](const std::string& vm, const wire::ChangesReplyT& reply) {
        store_.OnReply(vm, reply);
      });
}

Result<void> Gateway::Start() {
  Result<void> listening =
      front_->Listen(settings_.self.address, settings_.self.front_port);
  if (!listening) return listening;
  log_->State("start")
      .Text("zone", settings_.self.zone)
      .Number("incarnation", static_cast<int64_t>(settings_.self.incarnation));
  started_at_ = EventLoop::Now();
  watch_.Start();
  registration_.Start();
  timer_ = loop_->Every(kTickInterval, [this] { Tick(); });
  limit_timer_ =
      loop_->Every(WorkspaceLimiter::kClaimInterval, [this] { TickLimits(); });
  return {};
}

bool Gateway::IsReady() const {
  return !is_leaving_ && watch_.is_loaded() && forwarder_->catalog() != nullptr;
}

bool Gateway::AreKeysFresh() const { return freshness_.IsFresh(BootTimeNow()); }

void Gateway::OnItem(const StoreItem& item) {
  if (item.key == kSecretKey) {
    OnFleetSecret(item.value);
    return;
  }
  if (item.key.starts_with(kVmPrefix)) {
    const std::string vm = item.key.substr(kVmPrefix.size());
    const Result<FleetVm> parsed = ParseFleetVm(vm, item.value);
    if (parsed) {
      fleet_.OnListed(*parsed);
      SetRetryBounds();
    } else {
      log_->State("entry_unusable")
          .Text("key", item.key)
          .Text("reason", parsed.error().message);
    }
    return;
  }
  const StoreChange change = decoder_->Decode(item);
  if (const auto* catalog =
          std::get_if<std::shared_ptr<const Catalog>>(&change)) {
    Apply(*catalog, item.revision);
  } else if (const auto* entry = std::get_if<InstanceEntry>(&change)) {
    const WallTime latest =
        EventLoop::WallNow() +
        std::chrono::duration_cast<std::chrono::milliseconds>(
            kMaxClockDifference);
    if (entry->info.started_ms > latest.time_since_epoch().count()) {
      OnUnusable(item.key, {"/born: lies in the future", entry->info.id});
    } else {
      Apply(*entry, item.revision);
    }
  } else if (const auto* zone = std::get_if<EvacuatedZone>(&change)) {
    lapsed_evacuations_.erase(zone->zone);
    registry_.SetEvacuated(zone->zone, true);
    log_->State("zone_evacuated").Text("zone", zone->zone);
  } else if (const auto* unusable = std::get_if<UnusableEntry>(&change)) {
    OnUnusable(item.key, *unusable);
  }
}

void Gateway::OnUnusable(const std::string& key, const UnusableEntry& entry) {
  log_->State("entry_unusable").Text("key", key).Text("reason", entry.reason);
  if (!entry.instance.empty()) RemoveInstance(entry.instance, "unusable-entry");
}

void Gateway::OnRemoved(const std::string& key) {
  if (key.starts_with(kVmPrefix)) {
    fleet_.OnUnlisted(key.substr(kVmPrefix.size()));
    SetRetryBounds();
    return;
  }
  const StoreRemoval removal = decoder_->DecodeRemoval(key);
  const TimePoint now = EventLoop::Now();
  const bool is_new_era = !watch_.is_era_loaded();
  if (const auto* ended = std::get_if<EndedEvacuation>(&removal)) {
    if (is_new_era) {
      lapsed_evacuations_.try_emplace(ended->zone, now);
      log_->State("zone_evacuation_lapsed").Text("zone", ended->zone);
    } else {
      EndEvacuation(ended->zone);
    }
    return;
  }
  const auto* removed = std::get_if<RemovedInstance>(&removal);
  if (removed == nullptr) return;
  restored_entries_.erase(removed->id);
  if (!is_new_era)
    entry_versions_[removed->id].removed_in_era = watch_.revision().era;
  const bool is_after_outage =
      watch_.had_outage() && now - watch_.outage_end() < kOutageGracePeriod;
  if (is_new_era || is_after_outage) {
    lapsed_instances_.try_emplace(removed->id, Lapse{now, is_new_era});
    log_->State("instance_lapsed")
        .Text("instance", removed->id)
        .Flag("new_era", is_new_era);
    return;
  }
  RemoveInstance(removed->id, "entry-removed");
}

void Gateway::OnLoaded() {
  SetRetryBounds();
  registration_.OnLoaded();
  if (!fleet_.is_started()) ScheduleSecretWrite();
}

void Gateway::ScheduleSecretWrite() {
  // A random delay keeps VMs that start together from all writing the secret.
  secret_timer_ = loop_->After(
      std::chrono::milliseconds(RandomU64() % kMaxSecretDelayMs), [this] {
        if (!fleet_.is_started() && !is_leaving_) WriteSecret();
      });
}

void Gateway::WriteSecret() {
  const std::string secret = ToHex(RandomBytes(kSecretBytes));
  store_.Write({kSecretKey, secret, 0, true, {}},
               [](const Result<StoreRevision>&) {
                 // Concurrent writers learn the secret that was stored through
                 // the watch.
               });
  secret_timer_ = loop_->After(std::chrono::seconds(1), [this] {
    if (!fleet_.is_started() && !is_leaving_) ScheduleSecretWrite();
  });
}

void Gateway::OnFleetSecret(const std::string& secret) {
  if (fleet_.is_started()) return;
  const Result<void> started = fleet_.Start(secret);
  if (!started) {
    log_->State("peer_port_unavailable")
        .Text("reason", started.error().message);
  }
}

void Gateway::Apply(std::shared_ptr<const Catalog> catalog,
                    const StoreRevision& revision) {
  const auto& present = forwarder_->catalog();
  if (present != nullptr && catalog->version() <= present->version()) {
    if (catalog->version() < present->version()) {
      StoreLine("config_outdated", revision)
          .Number("version", static_cast<int64_t>(catalog->version()))
          .Number("present", static_cast<int64_t>(present->version()));
    }
    return;
  }
  StoreLine("config_applied", revision)
      .Number("version", static_cast<int64_t>(catalog->version()))
      .Number("previous",
              present == nullptr ? 0 : static_cast<int64_t>(present->version()))
      .Number("routes", static_cast<int64_t>(catalog->routes().size()));
  limiter_.SetLimits(catalog->workspaces(), EventLoop::Now());
  front_->SetLimits(catalog->limits());
  services_.clear();
  for (const TrafficRoute& route : catalog->routes()) {
    for (const Backend& it : route.backends) services_.push_back(it.service);
  }
  std::sort(services_.begin(), services_.end());
  services_.erase(std::unique(services_.begin(), services_.end()),
                  services_.end());
  forwarder_->SetCatalog(std::move(catalog));
  Tick();
}

void Gateway::Apply(const InstanceEntry& entry, const StoreRevision& revision) {
  const TimePoint now = EventLoop::Now();
  EntryVersion& latest = entry_versions_[entry.info.id];
  // An entry that arrives after a newer one has been applied.
  const bool is_older = entry.info.started_ms < latest.started_ms ||
                        (entry.info.started_ms == latest.started_ms &&
                         entry.sequence < latest.sequence);
  if (is_older) {
    log_->State("entry_outdated")
        .Text("instance", entry.info.id)
        .Number("sequence", entry.sequence);
    return;
  }
  if (IsRestored(entry, revision)) {
    restored_entries_[entry.info.id] = {entry, revision, now};
    StoreLine("entry_restored", revision).Text("instance", entry.info.id);
    return;
  }
  restored_entries_.erase(entry.info.id);
  if (latest.started_ms != 0 && entry.info.started_ms > latest.started_ms)
    crashes_.OnInstanceEnded(ProcessName(entry.info.id, latest.started_ms),
                             now);
  latest = {entry.info.started_ms, entry.sequence, std::nullopt};
  lapsed_instances_.erase(entry.info.id);
  InstanceState* known = registry_.Find(entry.info.id);
  const bool was_draining = known != nullptr && known->info().is_draining;
  const bool is_new = known == nullptr;
  InstanceState* state = registry_.Put(entry.info, now);
  if (entry.cold_remaining > Duration::zero())
    state->SetColdUntil(now + entry.cold_remaining);
  if (is_new || was_draining != entry.info.is_draining) {
    log_->State(entry.info.is_draining ? "instance_draining" : "instance_up")
        .Text("instance", entry.info.id)
        .Text("service", entry.info.service)
        .Text("zone", entry.info.zone)
        .Number("started_ms", entry.info.started_ms)
        .Millis("cold_ms", entry.cold_remaining);
  }
  if (entry.info.is_draining) pool_.CloseIdleConnections(entry.info.id);
}

bool Gateway::IsRestored(const InstanceEntry& entry,
                         const StoreRevision& revision) const {
  const auto known = entry_versions_.find(entry.info.id);
  return known != entry_versions_.end() && known->second.removed_in_era &&
         *known->second.removed_in_era != revision.era &&
         revision <= watch_.era_begin();
}

void Gateway::RemoveInstance(const std::string& id, const char* reason) {
  lapsed_instances_.erase(id);
  if (registry_.Find(id) == nullptr) return;
  entry_versions_[id].removed_in_era = watch_.revision().era;
  log_->State("instance_gone").Text("instance", id).Text("reason", reason);
  const int64_t started_ms = registry_.Find(id)->info().started_ms;
  crashes_.OnInstanceEnded(ProcessName(id, started_ms), EventLoop::Now());
  if (started_ms == 0) notices_.Forget(id);
  registry_.Remove(id);
  pool_.CloseIdleConnections(id);
}

Duration Gateway::MaxColdStart() const {
  Duration out{};
  if (forwarder_->catalog() == nullptr) return out;
  for (const std::string& name : services_) {
    const TrafficService* service = forwarder_->catalog()->FindService(name);
    if (service != nullptr) out = std::max(out, service->cold_start);
  }
  return out;
}

void Gateway::EndEvacuation(const std::string& zone) {
  lapsed_evacuations_.erase(zone);
  registry_.SetEvacuated(zone, false);
  // Idle instances may have become cold; they report it only with their next
  // entry.
  registry_.SetZoneCold(zone, EventLoop::Now() + MaxColdStart());
  log_->State("zone_evacuation_ended").Text("zone", zone);
}

void Gateway::SetRetryBounds() {
  // The number of VMs that share the allowance is known only after the list has
  // been read.
  const double allowance =
      watch_.is_loaded()
          ? settings_.retry_extra / static_cast<double>(1 + fleet_.size())
          : 0;
  budget_.SetBounds({settings_.retry_ratio, allowance, settings_.retry_window});
}

void Gateway::Tick() {
  const TimePoint now = EventLoop::Now();
  placement_.SetPeerLoads(fleet_.PeerLoads(), now);
  placement_.SetVmCount(1 + fleet_.size());
  fleet_.SetOwnLoads(placement_.OwnLoads());
  placement_.UpdateRegionSplit(services_, fleet_.SharesInRegion(), now);
  std::map<std::string, double> shares;
  for (const std::string& service : services_) {
    if (placement_.split().IsInitialized(service))
      shares[service] = placement_.split().RemoteShare(service);
  }
  fleet_.SetOwnShares(std::move(shares));
  fleet_.SetOwnDemand(forwarder_->RequestsPerSecond(now),
                      forwarder_->MeanCost());
  const bool is_fresh = AreKeysFresh();
  if (is_fresh != were_keys_fresh_) {
    were_keys_fresh_ = is_fresh;
    const auto age = freshness_.AgeAt(BootTimeNow());
    log_->State(is_fresh ? "keys_fresh" : "keys_stale")
        .Millis("age_ms", age.value_or(Duration::zero()));
  }
  if (std::string relay = fleet_.RelayVm(); relay != relay_vm_) {
    relay_vm_ = std::move(relay);
    StoreLine("store_watched_by", watch_.revision())
        .Text("peer", relay_vm_.empty() ? settings_.self.vm : relay_vm_)
        .Flag("own_store_reliable", store_.IsStoreReliable(BootTimeNow()));
  }
  if (watch_.is_connected()) {
    RemoveLapsed(now);
    ApplyRestored(now);
  }
  const auto& catalog = forwarder_->catalog();
  relay_.Tick(BootTimeNow());
  crashes_.Tick(now);
  notices_.RemoveExpired(now);
  const Duration contact = StoreContact(now);
  fleet_.SetOwnState({IsReady(), is_leaving_, is_fresh,
                      contact > Duration::zero() && !is_leaving_ &&
                          store_.IsStoreReliable(BootTimeNow()),
                      catalog == nullptr ? 0 : catalog->version(), contact});
}

void Gateway::RemoveLapsed(TimePoint now) {
  // If another VM was in contact with the store throughout, only this VM was
  // disconnected, and the entries were in fact removed.
  const bool was_local_outage =
      fleet_.MaxStoreContact() > now - watch_.outage_begin();
  std::vector<std::string> removed;
  for (const auto& [id, it] : lapsed_instances_) {
    // A further outage gives no more time to what was missing in a new era.
    const TimePoint from =
        it.is_new_era ? it.since : std::max(it.since, watch_.outage_end());
    if (now - from > kReregistrationTimeout ||
        (was_local_outage && !it.is_new_era))
      removed.push_back(id);
  }
  for (const std::string& id : removed) RemoveInstance(id, "did-not-return");
  std::vector<std::string> ended;
  for (const auto& [zone, since] : lapsed_evacuations_) {
    if (now - since > kReregistrationTimeout) ended.push_back(zone);
  }
  for (const std::string& zone : ended) EndEvacuation(zone);
}

void Gateway::ApplyRestored(TimePoint now) {
  std::vector<RestoredEntry> kept;
  for (const auto& [id, it] : restored_entries_) {
    if (now - it.since > kRestoredEntryDelay) kept.push_back(it);
  }
  for (const RestoredEntry& it : kept) {
    entry_versions_[it.entry.info.id].removed_in_era.reset();
    Apply(it.entry, it.revision);
  }
}

Duration Gateway::StoreContact(TimePoint now) const {
  if (!watch_.is_loaded() || watch_.is_failing()) return {};
  return now - (watch_.had_outage() ? watch_.outage_end() : started_at_);
}

void Gateway::BeginStop() {
  if (is_leaving_) return;
  is_leaving_ = true;
  stop_started_at_ = EventLoop::Now();
  log_->State("stop").Number(
      "open_requests", static_cast<int64_t>(forwarder_->active_requests()));
  registration_.Stop();
  limiter_.SetLeaving(true, stop_started_at_);
  forwarder_->SetStopTime(stop_started_at_ + settings_.stop_timeout -
                          kStopMargin - kStopCheckInterval);
  front_->CloseAfterResponses();
  Tick();
  stop_timer_ = loop_->Every(kStopCheckInterval, [this] { ContinueStop(); });
}

void Gateway::ContinueStop() {
  const Duration age = EventLoop::Now() - stop_started_at_;
  const Duration serve =
      FromSeconds(ToSeconds(settings_.stop_timeout) * kServeFraction);
  if (age < serve) return;
  if (!is_listener_closed_) {
    is_listener_closed_ = true;
    front_->StopListening();
    forwarder_->StopAdmitting();
  }
  front_->CloseIdle();
  const bool is_done = forwarder_->active_requests() == 0 &&
                       front_->open_requests() == 0 &&
                       front_->connections() == 0;
  if (!is_done && age < settings_.stop_timeout - kStopMargin) return;
  log_->State("stopped")
      .Number("open_requests",
              static_cast<int64_t>(forwarder_->active_requests()))
      .Millis("after_ms", age);
  log_->Flush();
  loop_->Stop();
}

}  // namespace rwf
