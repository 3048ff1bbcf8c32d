#include "gateway/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace rwf {
namespace {

// Cluster name in the link handshake. All VMs that share a store form one
// fleet.
constexpr const char* kClusterName = "fleet";

using WireUses = std::vector<std::unique_ptr<wire::LimitUseT>>;

WireUses ToWire(const std::vector<LimitUsage>& usage) {
  WireUses out;
  for (const LimitUsage& it : usage) {
    auto use = std::make_unique<wire::LimitUseT>();
    use->name = it.name;
    use->admitted = it.admitted;
    use->demand = static_cast<float>(it.demand);
    use->level = static_cast<float>(it.level);
    out.push_back(std::move(use));
  }
  return out;
}

std::vector<LimitUsage> FromWire(const WireUses& uses) {
  std::vector<LimitUsage> out;
  out.reserve(uses.size());
  for (const auto& it : uses)
    out.push_back({it->name, it->admitted, it->demand, it->level});
  return out;
}

std::unique_ptr<wire::InstanceNoticeT> ToWire(const SharedNotice& it) {
  auto out = std::make_unique<wire::InstanceNoticeT>();
  out->instance = it.instance;
  out->started_ms = it.started_ms;
  out->age_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(ToMillis(it.age), 0, UINT32_MAX));
  out->rate_limit = it.notice.rate_limit.value_or(-1);
  out->is_leaving = it.notice.is_leaving;
  return out;
}

SharedNotice FromWire(const wire::InstanceNoticeT& it) {
  SharedNotice out;
  out.instance = it.instance;
  out.started_ms = it.started_ms;
  out.age = std::chrono::milliseconds(it.age_ms);
  out.notice.is_leaving = it.is_leaving;
  if (it.rate_limit >= 0) out.notice.rate_limit = it.rate_limit;
  return out;
}

// Candidate addresses for a caller.
struct AddressChoice {
  std::vector<std::string> addresses;
  bool has_capacity = false;  // for the demand
};

}  // namespace

Fleet::Fleet(EventLoop* loop, FleetVm self, WorkspaceLimiter* limiter,
             InstanceNotices* notices, EventLog* log)
    : loop_(loop),
      self_(std::move(self)),
      limiter_(limiter),
      notices_(notices),
      log_(log) {}

Result<void> Fleet::Start(const std::string& secret) {
  auto links = std::make_unique<PeerLinks>(
      loop_, LinkIdentity{kClusterName, self_.vm, self_.incarnation, {secret}},
      RandomSeed(self_));
  const Result<uint16_t> port = links->Listen(self_.address, self_.peer_port);
  if (!port) return tl::unexpected<Error>(port.error());
  links_ = std::move(links);
  links_->signal_up.connect([this](const std::string& vm, uint64_t) {
    const auto it = peers_.find(vm);
    if (it == peers_.end()) return;
    it->second.last_report_at = EventLoop::Now();
    it->second.is_connection_refused = false;
    // A VM that has just started keeps no limits and may use only a small share
    // of those of instances until it has received reports of its peers.
    wire::BodyUnion body;
    wire::FleetReportT report = MakeReport(ReportKind::kFirstOnLink);
    // The list may be from before this link.
    std::erase(report.passed_over, vm);
    body.Set(std::move(report));
    links_->Send(vm, std::move(body));
    // The limiter counts the usage in this report as reported, so the other
    // peers get it with a full report next.
    reports_since_full_ = kReportsPerFullReport;
    it->second.was_linked = true;
    log_->State("peer_up").Text("peer", vm);
    signal_peer_up.emit(vm);
  });
  links_->signal_down.connect([this](const std::string& vm, bool refused) {
    const auto it = peers_.find(vm);
    if (it == peers_.end()) return;
    Peer& peer = it->second;
    if (peer.was_linked || (refused && !peer.is_connection_refused)) {
      log_->State("peer_down").Text("peer", vm).Flag("refused", refused);
    }
    peer.was_linked = false;
    peer.has_report = false;
    peer.passed_over = nullptr;
    peer.is_connection_refused = refused;
  });
  links_->signal_message.connect(
      [this](const std::string& vm, const wire::MessageT& message) {
        OnMessage(vm, message);
      });
  UpdateLinks();
  timer_ = loop_->Every(kMinReportPeriod, [this] { Tick(); });
  return {};
}

void Fleet::OnListed(const FleetVm& vm) {
  if (vm.vm == self_.vm) return;
  Peer& peer = peers_[vm.vm];
  peer.is_listed = true;
  // A late write of a former process: the entry of the linked one returns.
  if (links_ != nullptr && links_->IncarnationOf(vm.vm) > vm.incarnation &&
      peer.info.vm == vm.vm)
    return;
  if (peer.info.incarnation != vm.incarnation) {
    peer = Peer{};
    peer.was_linked = links_ != nullptr && links_->HasLink(vm.vm);
    peer.last_report_at = EventLoop::Now();
  }
  peer.info = vm;
  UpdateLinks();
}

void Fleet::OnUnlisted(const std::string& vm) {
  const auto it = peers_.find(vm);
  if (it == peers_.end()) return;
  it->second.is_listed = false;
  it->second.unlisted_at = EventLoop::Now();
  if (!HasLink(it->second) && it->second.is_connection_refused) {
    peers_.erase(it);
    UpdateLinks();
  }
}

void Fleet::UpdateLinks() {
  std::vector<std::string> names;
  std::vector<PeerAddress> addresses;
  for (const auto& [vm, it] : peers_) {
    names.push_back(vm);
    addresses.push_back({vm, it.info.address, it.info.peer_port});
  }
  notices_->limiter()->SetReportPeriod(ReportPeriod());
  limiter_->SetReportDelay(ReportPeriod() / 2 + kReportDelayMargin);
  notices_->limiter()->SetPeers(names, EventLoop::Now());
  if (links_ == nullptr) return;
  links_->SetAddresses(addresses);
  links_->SetWanted(names);
}

void Fleet::SetOwnState(const OwnState& state) {
  const bool is_changed =
      state.leaving != own_.leaving || state.ready != own_.ready;
  own_ = state;
  if (is_changed) SendReports();
}

std::string Fleet::RelayVm() const {
  const TimePoint now = EventLoop::Now();
  const Duration relay_timeout =
      std::max(kRelayReportTimeout, ReportPeriod() * kReportTimeoutPeriods);
  // All VMs of a region choose the same VM: the first by name.
  for (const auto& [vm, it] : peers_) {
    if (own_.may_relay && self_.vm < vm) return "";
    if (it.info.region != self_.region || !HasLink(it) || !it.may_relay)
      continue;
    if (it.has_report && now - it.last_report_at < relay_timeout) return vm;
  }
  return "";
}

bool Fleet::Send(const std::string& vm, wire::BodyUnion body) {
  return links_ != nullptr && links_->Send(vm, std::move(body));
}

Duration Fleet::ReportPeriod() const {
  const Duration paced_period =
      FromSeconds(static_cast<double>(peers_.size()) / kMaxReportsPerSecond);
  return std::max(kMinReportPeriod, paced_period);
}

// The link to a new process may be up before its entry is known, and that of
// the former process may still be open when the new entry is.
bool Fleet::HasLink(const Peer& it) const {
  return links_ != nullptr && links_->HasLink(it.info.vm) &&
         links_->IncarnationOf(it.info.vm) >= it.info.incarnation;
}

bool Fleet::HasRecentReport(const Peer& it, TimePoint now) const {
  const Duration timeout =
      std::max(kReportTimeout, ReportPeriod() * kReportTimeoutPeriods);
  return it.has_report && now - it.last_report_at < timeout;
}

void Fleet::SendToAll(const wire::MessageT& message) {
  if (links_ != nullptr) links_->SendToAll(message);
}

void Fleet::Tick() {
  const TimePoint now = EventLoop::Now();
  std::vector<std::string> departed;
  for (const auto& [vm, it] : peers_) {
    if (it.is_listed || HasLink(it)) continue;
    if (it.is_connection_refused ||
        now - it.unlisted_at > kDepartedPeerRetention)
      departed.push_back(vm);
  }
  for (const std::string& vm : departed) {
    log_->State("peer_gone").Text("peer", vm);
    peers_.erase(vm);
  }
  if (!departed.empty()) UpdateLinks();
  const Duration link_timeout =
      std::max(kLinkTimeout, ReportPeriod() * kLinkTimeoutPeriods);
  for (const auto& [vm, it] : peers_) {
    if (HasLink(it) && now - it.last_report_at > link_timeout)
      links_->Close(vm);
  }
  // A changed list of VMs that are passed over as keepers decides which part of
  // the rates is used, so it is sent earlier.
  const bool is_urgent = limiter_->passed_over() != reported_passed_over_;
  const Duration period = is_urgent ? ReportPeriod() / 2 : ReportPeriod();
  if (now - last_report_sent_at_ >= period - kMinReportPeriod / 4)
    SendReports();
}

void Fleet::SendReports() {
  if (links_ == nullptr) return;
  last_report_sent_at_ = EventLoop::Now();
  const bool is_full = ++reports_since_full_ >= kReportsPerFullReport;
  if (is_full) reports_since_full_ = 0;
  wire::MessageT message;
  message.body.Set(
      MakeReport(is_full ? ReportKind::kFull : ReportKind::kChanges));
  links_->SendToAll(message);
}

wire::FleetReportT Fleet::MakeReport(ReportKind kind) {
  wire::FleetReportT report;
  report.ready = own_.ready;
  report.leaving = own_.leaving;
  report.keys_fresh = own_.keys_fresh;
  report.may_relay = own_.may_relay;
  report.catalog_version = own_.catalog_version;
  report.store_contact_ms = static_cast<uint64_t>(ToMillis(own_.store_contact));
  report.requests_per_s = static_cast<float>(requests_per_s_);
  const TimePoint now = EventLoop::Now();
  const bool is_full = kind != ReportKind::kChanges;
  report.limits_kept_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(ToMillis(limiter_->KeptFor(now)),
                          limiter_->is_settled() ? 1 : 0, UINT32_MAX));
  report.scarce_limits = limiter_->ScarceLimits(now);
  report.unregistered = !limiter_->is_registered();
  const auto& passed_over = limiter_->passed_over();
  report.has_passed_over = is_full || passed_over != reported_passed_over_;
  if (report.has_passed_over)
    report.passed_over = {passed_over->begin(), passed_over->end()};
  if (kind != ReportKind::kFirstOnLink) reported_passed_over_ = passed_over;
  report.instance_uses = ToWire(notices_->limiter()->Report(is_full, now));
  for (const SharedNotice& it :
       notices_->Share(kind == ReportKind::kFirstOnLink, now))
    report.notices.push_back(ToWire(it));
  for (const auto& [service, away] : shares_) {
    auto share = std::make_unique<wire::RegionShareT>();
    share->service = service;
    share->away = static_cast<float>(away);
    report.shares.push_back(std::move(share));
  }
  for (const auto& [key, n] : loads_) {
    auto load = std::make_unique<wire::RegionLoadT>();
    load->service = key.service;
    load->region = key.region;
    load->in_flight = static_cast<uint32_t>(n);
    report.loads.push_back(std::move(load));
  }
  return report;
}

void Fleet::OnMessage(const std::string& vm, const wire::MessageT& message) {
  if (const auto* report = message.body.AsFleetReport()) {
    OnReport(vm, *report);
  } else if (const auto* request = message.body.AsChangesRequest()) {
    signal_changes_request.emit(vm, *request);
  } else if (const auto* reply = message.body.AsChangesReply()) {
    signal_changes_reply.emit(vm, *reply);
  } else if (const auto* suspicion = message.body.AsCrashSuspicion()) {
    signal_crash_suspicion.emit(*suspicion);
  } else if (const auto* claims = message.body.AsLimitClaims()) {
    signal_limit_claims.emit(vm, *claims);
  } else if (const auto* limit_reply = message.body.AsLimitReply()) {
    signal_limit_reply.emit(vm, *limit_reply);
  }
}

Duration Fleet::OverdueTime() const {
  return FromSeconds(ToSeconds(ReportPeriod()) * kOverduePeriods) +
         kOverdueMargin;
}

std::vector<LimitPeer> Fleet::LimitPeers() const {
  const TimePoint now = EventLoop::Now();
  std::vector<LimitPeer> out;
  for (const auto& [vm, it] : peers_) {
    LimitPeer peer{vm};
    peer.can_keep = HasLink(it) && HasRecentReport(it, now) && it.ready &&
                    it.limits_kept > Duration::zero() && !it.leaving;
    peer.kept_for = it.limits_kept;
    peer.is_unregistered = it.is_unregistered;
    peer.passed_over = it.passed_over;
    peer.is_heard =
        HasLink(it) && it.has_report && now - it.last_report_at < OverdueTime();
    // Silence is not absence: a VM that this one doesn't hear may still reach
    // the store and serve requests.
    peer.may_admit =
        !it.is_connection_refused &&
        (it.is_listed || now - it.unlisted_at < kDepartedPeerRetention);
    out.push_back(std::move(peer));
  }
  return out;
}

void Fleet::OnReport(const std::string& vm, const wire::FleetReportT& report) {
  const auto it = peers_.find(vm);
  if (it == peers_.end()) return;
  const TimePoint now = EventLoop::Now();
  Peer& peer = it->second;
  peer.last_report_at = now;
  peer.has_report = true;
  peer.limits_kept = std::chrono::milliseconds(report.limits_kept_ms);
  peer.is_unregistered = report.unregistered;
  if (report.has_passed_over) {
    peer.passed_over = std::make_shared<const std::set<std::string>>(
        report.passed_over.begin(), report.passed_over.end());
  }
  peer.ready = report.ready;
  peer.leaving = report.leaving;
  peer.keys_fresh = report.keys_fresh;
  peer.may_relay = report.may_relay;
  peer.store_contact = std::chrono::milliseconds(report.store_contact_ms);
  peer.requests_per_s = report.requests_per_s;
  peer.shares.clear();
  for (const auto& share : report.shares)
    peer.shares[share->service] = share->away;
  peer.loads.clear();
  for (const auto& load : report.loads)
    peer.loads[{load->service, load->region}] = load->in_flight;
  const uint64_t incarnation = links_->IncarnationOf(vm);
  limiter_->OnScarceLimits(vm, report.scarce_limits, now);
  for (const auto& notice : report.notices)
    signal_instance_notice.emit(vm, FromWire(*notice));
  notices_->limiter()->OnReport(vm, incarnation, FromWire(report.instance_uses),
                                now);
}

bool Fleet::IsUsable(const Peer& it, TimePoint now) const {
  if (!it.is_listed || it.is_connection_refused || it.leaving) return false;
  // A VM without a link may still be reachable for callers, but VMs with recent
  // reports are the safer choice.
  return HasRecentReport(it, now) && it.ready && it.keys_fresh;
}

std::vector<std::string> Fleet::AddressesFor(const std::string& zone,
                                             const std::string& region) const {
  const TimePoint now = EventLoop::Now();
  std::vector<std::pair<const FleetVm*, double>> usable;  // with requests/s
  for (const auto& [vm, it] : peers_) {
    if (IsUsable(it, now)) usable.emplace_back(&it.info, it.requests_per_s);
  }
  // This VM is left out only if a peer is usable.
  const bool is_usable = own_.ready && !own_.leaving && own_.keys_fresh;
  if (is_usable || usable.empty()) usable.emplace_back(&self_, requests_per_s_);
  const auto pick = [&](auto matches, double demand) {
    std::vector<const FleetVm*> candidates;
    std::vector<double> capacities;
    for (const auto& [vm, requests_per_s] : usable) {
      if (!matches(*vm)) continue;
      candidates.push_back(vm);
      capacities.push_back(
          EntryVmSelector::RequestsPerSecond(vm->capacity, cost_));
    }
    const EntryVmSelector::Selection choice =
        EntryVmSelector::Select(capacities, demand);
    AddressChoice out{{}, choice.is_sufficient};
    for (const size_t n : choice.entries) {
      out.addresses.push_back(fmt::format("{}:{}", candidates[n]->address,
                                          candidates[n]->front_port));
    }
    return out;
  };
  double demand = 0;
  std::set<std::string> zones = {zone};
  for (const auto& [vm, requests_per_s] : usable) {
    if (vm->region != region) continue;
    demand += requests_per_s;
    zones.insert(vm->zone);
  }
  // The look-ups themselves decide how many requests the VMs of a zone get, so
  // the demand of a zone is taken as its even share of the demand of the
  // region.
  const AddressChoice in_zone =
      pick([&](const FleetVm& it) { return it.zone == zone; },
           demand / static_cast<double>(zones.size()));
  if (in_zone.has_capacity) return in_zone.addresses;
  const AddressChoice in_region =
      pick([&](const FleetVm& it) { return it.region == region; }, demand);
  // If the whole region lacks capacity, callers stay in their zone.
  const bool is_region_better =
      in_region.has_capacity || in_zone.addresses.empty();
  if (is_region_better && !in_region.addresses.empty())
    return in_region.addresses;
  if (!in_zone.addresses.empty()) return in_zone.addresses;
  return pick([](const FleetVm&) { return true; }, demand).addresses;
}

std::map<std::string, std::vector<double>> Fleet::SharesInRegion() const {
  const TimePoint now = EventLoop::Now();
  std::map<std::string, std::vector<double>> out;
  for (const auto& [vm, it] : peers_) {
    const bool is_same_region = it.info.region == self_.region;
    if (!is_same_region || !HasRecentReport(it, now)) continue;
    for (const auto& [service, away] : it.shares) out[service].push_back(away);
  }
  return out;
}

RegionLoads Fleet::PeerLoads() const {
  const TimePoint now = EventLoop::Now();
  RegionLoads out;
  for (const auto& [vm, it] : peers_) {
    if (!HasRecentReport(it, now)) continue;
    for (const auto& [key, n] : it.loads) out[key] += n;
  }
  return out;
}

Duration Fleet::MaxStoreContact() const {
  const TimePoint now = EventLoop::Now();
  Duration out{};
  for (const auto& [vm, it] : peers_) {
    if (HasRecentReport(it, now)) out = std::max(out, it.store_contact);
  }
  return out;
}

bool Fleet::HasLinks(size_t n) const {
  return static_cast<size_t>(std::count_if(
             peers_.begin(), peers_.end(),
             [this](const auto& it) { return HasLink(it.second); })) >= n;
}

size_t Fleet::VmsInRegion() const {
  return 1 + static_cast<size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [&](const auto& it) {
                   return it.second.info.region == self_.region;
                 }));
}

}  // namespace rwf
