#include "entry/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "base/log.h"
#include "net/net_error.h"

namespace rwf {
namespace {

constexpr Duration kFastTickInterval = std::chrono::milliseconds(10);
constexpr Duration kSlowTickInterval = std::chrono::milliseconds(50);
// Time added to the TTL of look-up responses before this VM stops listening,
// for callers whose clocks or timers are late.
constexpr Duration kStopMargin = std::chrono::seconds(1);
// Minimum interval between exchanges of complete withdrawal sets with a peer.
constexpr Duration kWithdrawalExchangeInterval = std::chrono::seconds(1);
// Limits the size of one message; a digest takes 32 bytes.
constexpr size_t kMaxWithdrawalsPerMessage = 16384;

const char* MemberEventName(MemberEventKind kind) {
  // In the order of MemberEventKind.
  static constexpr std::array<const char*, 10> kNames = {
      "alive",   "restarted", "suspect",    "dead",    "left",
      "leaving", "duplicate", "superseded", "refuted", "paused"};
  return kNames.at(static_cast<size_t>(kind));
}

}  // namespace

Node::Node(EventLoop* loop, Settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      incarnation_(MakeIncarnation(EventLoop::WallNow())),
      seed_(RandomU64()),
      random_(seed_),
      identity_{settings_.cluster, settings_.vm, incarnation_,
                settings_.fleet_secrets},
      store_(loop, settings_.store),
      store_contact_(settings_.vm, incarnation_),
      parse_([this](uint64_t generation, const SectionTexts& texts) {
        return section_parser_.Parse(generation, texts);
      }),
      replica_(parse_),
      store_sync_(&store_, &replica_, &store_contact_, &store_budget_,
                  &random_),
      withdrawal_writer_(&store_, &store_budget_, &random_,
                         [this](const std::set<Digest>& read) {
                           AddWithdrawals({read.begin(), read.end()}, "");
                         }),
      detector_(settings_.vm, incarnation_, seed_),
      links_(loop, identity_, seed_),
      ledger_(settings_.vm, incarnation_, EventLoop::Now()),
      claim_ledger_(incarnation_),
      claim_client_({settings_.vm, incarnation_}, &claim_ledger_),
      upstream_client_(loop, {}),
      lookup_handler_({&settings_, &detector_.roster(), &claim_ledger_,
                       &metrics_, [this] { return is_leaving(); }}),
      proxy_({loop, &settings_, &upstream_client_, &ledger_, &withdrawals_,
              &claim_client_, &crash_guard_, &metrics_,
              [this](TimePoint now) { return store_contact_.Age(now); },
              [this] { FlushLedger(); }, [this] { FlushClaims(); },
              [this](const std::vector<wire::CrashSuspicionT>& suspicions) {
                FloodSuspicions(suspicions, "");
              }},
             incarnation_, seed_),
      operator_api_(
          {&settings_, &replica_, &store_, &store_budget_, &random_, parse_,
           &store_contact_, &detector_.roster(), &withdrawals_,
           &peer_withdrawal_digests_, &proxy_, &lookup_handler_,
           [this] { return view_.get(); },
           [this](const Digest& digest) { AddWithdrawals({digest}, ""); },
           [this](const std::vector<std::string>& retiring) {
             return ledger_.MayChangeEntryVms(retiring, EventLoop::Now());
           },
           [this] { return is_leaving(); }}),
      load_poller_(&upstream_client_, settings_.zone,
                   [this](const std::string& service, const std::string& id,
                          const LoadReport& report) {
                     proxy_.OnLoadReport(service, id, report);
                   }),
      move_driver_(MoveDriverDependencies(), EventLoop::Now()),
      caller_server_(loop, {},
                     [this](const std::shared_ptr<HttpExchange>& exchange) {
                       HandleCallerRequest(exchange);
                     }),
      operator_server_(loop, {.max_body_bytes = kMaxOperatorBodyBytes},
                       [this](const std::shared_ptr<HttpExchange>& exchange) {
                         operator_api_.Handle(exchange);
                       }) {
  replica_.set_on_adopted([this](const std::shared_ptr<const Config>& config) {
    AdoptConfig(config, EventLoop::Now());
  });
  detector_.set_heartbeat_filler(
      [this](wire::HeartbeatT* heartbeat, TimePoint now) {
        FillHeartbeat(heartbeat, now);
      });
  ConnectLinkSignals();
  AddMetrics();
}

Node::~Node() = default;

Result<void> Node::Start() {
  // The peer port is bound first: peers take a refused connection there as
  // proof that no process with this identity runs.
  for (const auto& bound :
       {links_.Listen(settings_.address, settings_.peer_port),
        caller_server_.Listen(settings_.address, settings_.caller_port),
        operator_server_.Listen(settings_.address, settings_.operator_port)}) {
    if (!bound) return tl::unexpected<Error>(bound.error());
  }
  UpdateLinks();
  fast_timer_ = loop_->Every(kFastTickInterval, [this] { FastTick(); });
  slow_timer_ = loop_->Every(kSlowTickInterval, [this] { SlowTick(); });
  load_timer_ = loop_->Every(LoadPoller::kPollInterval, [this] {
    load_poller_.Poll();
    move_driver_.Tick(EventLoop::Now());
  });
  Log(LogLevel::kInfo, "started", "vm={} zone={} incarnation={:x} seed={}",
      settings_.vm, settings_.zone, incarnation_, seed_);
  return {};
}

void Node::ConnectLinkSignals() {
  links_.signal_up.connect([this](const std::string& vm, uint64_t incarnation) {
    HandleLinkUp(vm, incarnation);
  });
  links_.signal_down.connect([this](const std::string& vm, bool refused) {
    HandleLinkDown(vm, refused);
  });
  links_.signal_message.connect(
      [this](const std::string& vm, const wire::MessageT& message) {
        HandlePeerMessage(vm, message);
      });
  links_.signal_probed.connect([this](const std::string& vm, std::error_code ec,
                                      TimePoint attempted_at) {
    HandleProbeResult(vm, ec, attempted_at);
  });
}

const std::vector<Node::MessageHandler>& Node::MessageHandlers() {
  static const std::vector<MessageHandler> kHandlers = {
      {wire::Body::Heartbeat, &Node::OnHeartbeat},
      {wire::Body::HeartbeatAck, &Node::OnHeartbeatAck},
      {wire::Body::Probe, &Node::OnProbe},
      {wire::Body::ProbeReply, &Node::OnProbeReply},
      {wire::Body::LoanRequest, &Node::OnLoanRequest},
      {wire::Body::LoanGrant, &Node::OnLoanGrant},
      {wire::Body::LoanReturn, &Node::OnLoanReturn},
      {wire::Body::ClaimRequest, &Node::OnClaimRequest},
      {wire::Body::ClaimReply, &Node::OnClaimReply},
      {wire::Body::ClaimResult, &Node::OnClaimResult},
      {wire::Body::Withdrawals, &Node::OnWithdrawals},
      {wire::Body::WithdrawalsPull, &Node::OnWithdrawalsPull},
      {wire::Body::CrashSuspicion, &Node::OnCrashSuspicion},
      {wire::Body::ConfigPull, &Node::OnConfigPull},
      {wire::Body::ConfigPush, &Node::OnConfigPush},
  };
  return kHandlers;
}

void Node::HandlePeerMessage(const std::string& peer,
                             const wire::MessageT& message) {
  for (const MessageHandler& it : MessageHandlers()) {
    if (it.type != message.body.type) continue;
    (this->*it.handle)(peer, message.body, EventLoop::Now());
    return;
  }
}

template <typename T>
void Node::Send(const std::string& peer, T message) {
  wire::BodyUnion body;
  body.Set(std::move(message));
  links_.Send(peer, std::move(body));
}

void Node::SendAll(std::vector<MemberMessage> messages) {
  for (MemberMessage& it : messages) links_.Send(it.peer, std::move(it.body));
}

void Node::SendAll(std::vector<ReplicaMessage> messages) {
  for (ReplicaMessage& it : messages) links_.Send(it.peer, std::move(it.body));
}

void Node::OnHeartbeat(const std::string& peer, const wire::BodyUnion& body,
                       TimePoint now) {
  const wire::HeartbeatT& heartbeat = *body.AsHeartbeat();
  SendAll(detector_.OnHeartbeat(peer, heartbeat, now));
  store_contact_.OnHeartbeat(heartbeat, now);
  ledger_.SetConfirmed(peer, heartbeat.share_generation, now);
  peer_withdrawal_digests_[peer] = heartbeat.withdrawal_digest;
  if (heartbeat.withdrawal_digest != withdrawals_.set_digest()) {
    TimePoint& sent_at = withdrawals_sent_at_[peer];
    if (now - sent_at >= kWithdrawalExchangeInterval) {
      sent_at = now;
      SendWithdrawals(peer, withdrawals_.All());
      Send(peer, wire::WithdrawalsPullT());
    }
  }
  SendAll(replica_.OnAnnouncement(peer, heartbeat.generation,
                                  heartbeat.config_digest, now));
  HandleMemberEvents(now);
}

void Node::OnHeartbeatAck(const std::string& peer, const wire::BodyUnion& body,
                          TimePoint now) {
  SendAll(detector_.OnAck(peer, *body.AsHeartbeatAck(), now));
}

void Node::OnProbe(const std::string& peer, const wire::BodyUnion& body,
                   TimePoint now) {
  SendAll(detector_.OnProbe(peer, *body.AsProbe(), now));
}

void Node::OnProbeReply(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint now) {
  detector_.OnProbeReply(peer, *body.AsProbeReply(), now);
}

void Node::OnLoanRequest(const std::string& peer, const wire::BodyUnion& body,
                         TimePoint now) {
  Send(peer, ledger_.OnLoanRequest(peer, *body.AsLoanRequest(), now));
  if (ledger_.NeedsTick()) FlushLedger();
}

void Node::OnLoanGrant(const std::string& peer, const wire::BodyUnion& body,
                       TimePoint now) {
  ledger_.OnLoanGrant(peer, *body.AsLoanGrant(), now);
  proxy_.OnLedgerChanged(now);
}

void Node::OnLoanReturn(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint now) {
  ledger_.OnLoanReturn(peer, *body.AsLoanReturn(), now);
  proxy_.OnLedgerChanged(now);
}

void Node::OnClaimRequest(const std::string& peer, const wire::BodyUnion& body,
                          TimePoint now) {
  const Member* member = detector_.roster().Find(peer);
  const uint64_t incarnation = member == nullptr ? 0 : member->incarnation;
  const VmProcess requester{peer, ProcessStartMs(incarnation)
                                      << kRefutationBits};
  Send(peer, claim_ledger_.OnClaim(requester, *body.AsClaimRequest(), now,
                                   EventLoop::WallNow()));
}

void Node::OnClaimReply(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint now) {
  proxy_.OnClaimDecisions(
      claim_client_.OnReply(peer, *body.AsClaimReply(), now));
  FlushClaims();
}

void Node::OnClaimResult(const std::string&, const wire::BodyUnion& body,
                         TimePoint now) {
  claim_ledger_.OnResult(*body.AsClaimResult(), now);
}

void Node::OnWithdrawals(const std::string& peer, const wire::BodyUnion& body,
                         TimePoint) {
  AddWithdrawals(body.AsWithdrawals()->digests, peer);
}

void Node::OnWithdrawalsPull(const std::string& peer, const wire::BodyUnion&,
                             TimePoint) {
  SendWithdrawals(peer, withdrawals_.All());
}

void Node::OnCrashSuspicion(const std::string& peer,
                            const wire::BodyUnion& body, TimePoint now) {
  const wire::CrashSuspicionT& suspicion = *body.AsCrashSuspicion();
  if (crash_guard_.OnMessage(suspicion, now))
    FloodSuspicions({suspicion}, peer);
}

void Node::OnConfigPull(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint) {
  SendAll(replica_.OnPull(peer, *body.AsConfigPull()));
}

void Node::OnConfigPush(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint now) {
  SendAll(replica_.OnPush(peer, *body.AsConfigPush(), now));
}

void Node::HandleLinkUp(const std::string& vm, uint64_t incarnation) {
  const TimePoint now = EventLoop::Now();
  SendAll(detector_.OnLinkUp(vm, incarnation, now));
  ledger_.OnPeerAccepted(vm, now);
  claim_client_.OnReachable(vm, now);
  FlushClaims();
  // The peer may have been restarted or cut off.
  for (const wire::CrashSuspicionT& it : crash_guard_.BlockedSuspicions(now))
    Send(vm, it);
  HandleMemberEvents(now);
}

void Node::HandleLinkDown(const std::string& vm, bool refused) {
  const TimePoint now = EventLoop::Now();
  detector_.OnLinkDown(vm, refused, now);
  replica_.OnLinkDown(vm);
  proxy_.OnClaimDecisions(claim_client_.OnUnreachable(vm, now));
  // The link may have broken because the peer's process crashed; a refused
  // connection proves that.
  if (!refused) links_.Probe(vm);
  HandleMemberEvents(now);
}

void Node::HandleProbeResult(const std::string& vm, std::error_code ec,
                             TimePoint attempted_at) {
  const TimePoint now = EventLoop::Now();
  if (ec == NetErrc::kConnectRefused) {
    ledger_.OnPeerRefused(vm, attempted_at, now);
    detector_.OnLinkDown(vm, /*refused=*/true, now);
    HandleMemberEvents(now);
  } else if (!ec) {
    ledger_.OnPeerAccepted(vm, now);
  }
}

void Node::HandleMemberEvents(TimePoint now) {
  for (const MemberEvent& it : detector_.TakeEvents()) {
    switch (it.kind) {
      case MemberEventKind::kDead:
      case MemberEventKind::kLeft:
        claim_ledger_.OnPeerDead(
            {it.vm, ProcessStartMs(it.incarnation) << kRefutationBits}, now);
        break;
      case MemberEventKind::kSuperseded:
        ledger_.SetOwnShareAllowed(false, now);
        break;
      default:
        break;
    }
    Log(LogLevel::kInfo, "member", "vm={} event={} incarnation={:x}", it.vm,
        MemberEventName(it.kind), it.incarnation);
  }
}

void Node::FillHeartbeat(wire::HeartbeatT* heartbeat, TimePoint now) {
  heartbeat->generation = replica_.generation();
  heartbeat->config_digest = replica_.digest();
  heartbeat->withdrawal_digest = withdrawals_.set_digest();
  heartbeat->ready = IsReady();
  heartbeat->leaving = is_leaving();
  heartbeat->share_generation = ledger_.ConfirmedGeneration(now);
  store_contact_.AddToHeartbeat(heartbeat, now);
}

void Node::AdoptConfig(const std::shared_ptr<const Config>& config,
                       TimePoint now) {
  const bool was_ready = IsReady();
  view_ = std::make_shared<const ServingView>(config);
  ledger_.ApplyConfig(*config, now);
  const std::set<std::string> non_members = LinkedNonMembers();
  detector_.SetConfig(*config, now);
  // The detector ignored links to VMs that were not in the configuration when
  // the links came up, so these links are reported to it again.
  for (const std::string& it : non_members) {
    SendAll(detector_.OnLinkUp(it, links_.IncarnationOf(it), now));
  }
  UpdateLinks();
  AddWithdrawals(config->withdrawn_keys, "");
  proxy_.SetView(view_, now);
  load_poller_.SetConfig(config);
  move_driver_.SetConfig(config, now);
  detector_.Announce(now);
  Log(LogLevel::kInfo, "config_adopted", "generation={} digest={}",
      config->generation, ToHex(replica_.digest()));
  if (!was_ready && IsReady()) Log(LogLevel::kInfo, "ready");
}

std::set<std::string> Node::LinkedNonMembers() const {
  std::set<std::string> out;
  for (const std::string& it : links_.linked()) {
    if (detector_.roster().Find(it) == nullptr) out.insert(it);
  }
  return out;
}

void Node::UpdateLinks() {
  std::vector<PeerAddress> peers = settings_.seed_peers;
  if (view_ != nullptr) {
    peers.clear();
    for (const EntryVm& it : view_->config().entry_vms) {
      if (!it.retired) peers.push_back({it.id, it.address, it.peer_port});
    }
  }
  links_.SetAddresses(peers);
  std::vector<std::string> wanted;
  if (view_ != nullptr) {
    wanted = detector_.WantedLinks();
  } else {
    for (const PeerAddress& it : peers) wanted.push_back(it.vm);
  }
  links_.SetWanted(wanted);
}

void Node::AddWithdrawals(const std::vector<Digest>& digests,
                          const std::string& from) {
  const std::vector<Digest> added = withdrawals_.Merge(digests);
  if (added.empty()) return;
  Log(LogLevel::kInfo, "keys_withdrawn", "count={} total={}", added.size(),
      withdrawals_.size());
  // Only the VM that received the withdrawal and the store watchers write it.
  // If every VM of a large fleet wrote, their writes to the same key would
  // conflict.
  if (from.empty() || store_sync_.is_watcher()) {
    for (const Digest& it : added) withdrawal_writer_.Add(it);
  }
  for (const std::string& peer : links_.linked()) {
    if (peer != from) SendWithdrawals(peer, added);
  }
  detector_.Announce(EventLoop::Now());
}

void Node::SendWithdrawals(const std::string& peer,
                           const std::vector<Digest>& digests) {
  for (size_t i = 0; i < digests.size(); i += kMaxWithdrawalsPerMessage) {
    const size_t end = std::min(digests.size(), i + kMaxWithdrawalsPerMessage);
    wire::WithdrawalsT message;
    message.digests.assign(digests.begin() + static_cast<ptrdiff_t>(i),
                           digests.begin() + static_cast<ptrdiff_t>(end));
    Send(peer, std::move(message));
  }
}

void Node::FlushLedger() {
  const TimePoint now = EventLoop::Now();
  for (LoanMessages& it : ledger_.Tick(now)) {
    // Returns are sent first so that the peer can lend the same items again.
    if (it.loan_return != nullptr) Send(it.peer, std::move(*it.loan_return));
    if (it.request != nullptr) Send(it.peer, std::move(*it.request));
  }
  for (const std::string& vm : ledger_.VmsToProbe(now)) links_.Probe(vm);
}

void Node::FlushClaims() {
  for (ClaimMessage& it : claim_client_.TakeOutbox()) {
    std::visit([&](auto& message) { Send(it.vm, std::move(message)); },
               it.body);
  }
}

void Node::FloodSuspicions(const std::vector<wire::CrashSuspicionT>& suspicions,
                           const std::string& from) {
  for (const std::string& peer : links_.linked()) {
    if (peer == from) continue;
    for (const wire::CrashSuspicionT& it : suspicions) Send(peer, it);
  }
}

MoveDriver::Dependencies Node::MoveDriverDependencies() {
  return {settings_.zone,
          [this](const std::string& upstream) {
            return load_poller_.Find(upstream);
          },
          [this](const std::string& service) {
            const ServiceState* state = proxy_.FindService(service);
            return state == nullptr ? 0 : state->failure_ratio();
          },
          [this](const Config& next, const std::string& action) {
            operator_api_.Propose(next, settings_.vm, action);
          },
          [this](const std::string& service, const std::string& zone) {
            ServiceState* state = proxy_.FindService(service);
            if (state == nullptr) return;
            state->selector().OnZoneColdStart(zone, EventLoop::Now());
          }};
}

void Node::FastTick() {
  const TimePoint now = EventLoop::Now();
  FlushLedger();
  proxy_.OnClaimDecisions(claim_client_.OnTick(now));
  FlushClaims();
  proxy_.Tick(now);
}

void Node::SlowTick() {
  const TimePoint now = EventLoop::Now();
  SendAll(detector_.Tick(now));
  HandleMemberEvents(now);
  if (view_ != nullptr) links_.SetWanted(detector_.WantedLinks());
  const std::vector<std::string> live_peers =
      detector_.roster().LiveInZone(settings_.zone, settings_.vm);
  // Without a configuration there is no roster to choose a watcher from, so
  // this VM reads the store itself.
  store_sync_.SetWatcher(
      view_ == nullptr ||
      IsStoreWatcher(settings_.zone, settings_.vm, live_peers));
  store_sync_.Tick(now);
  SendAll(replica_.Tick(now));
  withdrawal_writer_.Tick(now);
  claim_ledger_.OnTick(now, EventLoop::WallNow());
  crash_guard_.OnTick(now);
  operator_api_.Tick(now);
  TickStop(now);
}

void Node::HandleCallerRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  if (request.path == "/v1/lookup") {
    exchange->Respond(lookup_handler_.MakeResponse(view_.get(), request,
                                                   EventLoop::WallNow()));
  } else if (request.path == "/health") {
    exchange->Respond(JsonResponse(200, R"({"status":"alive"})"));
  } else if (request.path == "/ready") {
    exchange->Respond(JsonResponse(
        IsReady() ? 200 : 503, fmt::format(R"({{"ready":{},"generation":{}}})",
                                           IsReady(), replica_.generation())));
  } else if (request.path == "/metrics") {
    HttpResponse response;
    response.status = 200;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics_.Collect();
    exchange->Respond(response);
  } else {
    proxy_.Handle(exchange);
  }
}

void Node::BeginStop() {
  if (is_leaving()) return;
  const TimePoint now = EventLoop::Now();
  stop_phase_ = StopPhase::kLeaving;
  const Duration ttl =
      view_ == nullptr ? Duration::zero() : view_->config().limits.lookup_ttl;
  stop_listening_at_ =
      now + ttl + (view_ == nullptr ? Duration::zero() : kStopMargin);
  detector_.BeginLeaving(now);
  caller_server_.CloseAfterResponses();
  Log(LogLevel::kInfo, "stopping", "serves_for_ms={}",
      ToMillis(stop_listening_at_ - now));
}

void Node::TickStop(TimePoint now) {
  if (stop_phase_ == StopPhase::kLeaving && now >= stop_listening_at_) {
    stop_phase_ = StopPhase::kFinishing;
    caller_server_.StopListening();
  }
  if (stop_phase_ == StopPhase::kFinishing &&
      caller_server_.open_exchanges() == 0) {
    stop_phase_ = StopPhase::kStopped;
    SendAll(detector_.Leave(now));
    Log(LogLevel::kInfo, "stopped");
    // The loop runs for another kSlowTickInterval so that the last messages are
    // sent.
    slow_timer_ = loop_->After(kSlowTickInterval, [this] { loop_->Stop(); });
  }
}

void Node::AddMetrics() {
  const auto add = [this](const char* name, const char* help, auto read) {
    metrics_.AddGauge(name, help,
                      [read] { return static_cast<double>(read()); });
  };
  add("rwf_config_generation", "Generation in force",
      [this] { return replica_.generation(); });
  add("rwf_open_requests", "Requests in progress",
      [this] { return proxy_.open_requests(); });
  add("rwf_queued_requests", "Requests waiting for an upstream slot",
      [this] { return proxy_.queued_requests(); });
  add("rwf_admitted_total", "Requests admitted by workspace rate limits",
      [this] { return ledger_.counters().admitted; });
  add("rwf_rate_refused_total", "Admissions refused by workspace rate limits",
      [this] { return ledger_.counters().refused; });
  add("rwf_loans_lent_total", "Loans granted to peers",
      [this] { return ledger_.counters().items_lent; });
  add("rwf_loans_borrowed_total", "Loans received from peers",
      [this] { return ledger_.counters().items_borrowed; });
  add("rwf_inherited_total", "Times the share of a dead VM was taken over",
      [this] { return ledger_.counters().inherited; });
  add("rwf_claims", "Claims held", [this] { return claim_ledger_.size(); });
  add("rwf_crash_suspicions",
      "Request fingerprints suspected of crashing upstreams",
      [this] { return crash_guard_.size(); });
  add("rwf_withdrawn_keys", "Withdrawn API keys known",
      [this] { return withdrawals_.size(); });
  add("rwf_peer_links", "Links to other entry VMs",
      [this] { return links_.linked().size(); });
  add("rwf_peer_links_refused_total",
      "Peer links refused for their secret, frame or version",
      [this] { return links_.counters().links_refused; });
  add("rwf_peer_bytes_total", "Bytes exchanged with other entry VMs",
      [this] { return links_.total_bytes(); });
  add("rwf_peer_messages_sent_total", "Messages sent to other entry VMs",
      [this] { return links_.counters().messages_sent; });
  add("rwf_member_deaths_total", "Entry VMs declared dead",
      [this] { return detector_.counters().deaths; });
  add("rwf_member_duplicates_total",
      "Duplicate processes detected under one VM identity",
      [this] { return detector_.counters().duplicates; });
  add("rwf_store_calls_total", "Calls to the store",
      [this] { return store_budget_.taken(); });
  add("rwf_store_contact_age_seconds",
      "Seconds since the last contact with the store, -1 if there was none",
      [this] {
        const Duration age = store_contact_.Age(EventLoop::Now());
        return age == Duration::max() ? -1.0 : ToSeconds(age);
      });
  add("rwf_config_refused_total",
      "Configuration copies refused as invalid or conflicting", [this] {
        const auto& counters = replica_.counters();
        return counters.conflicting_digests + counters.bad_manifests +
               counters.bad_sections + counters.invalid_configs;
      });
}

}  // namespace rwf
