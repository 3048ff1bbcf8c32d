#include "entry/proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

#include "net/net_error.h"

namespace rwf {
namespace {

// Request headers not forwarded to upstreams: hop-by-hop headers, credentials
// and headers that the proxy sets or uses itself.
constexpr std::array<const char*, 14> kHeadersNotForwarded = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Content-Length",
    "Host",
    "X-Api-Key",
    "Authorization",
    "X-Request-Id",
    "X-Client-Address"};

// Upstream response headers not returned to callers: hop-by-hop headers and
// those that only redwingferry may set.
constexpr std::array<const char*, 9> kHeadersNotReturned = {
    "Connection", "Keep-Alive",     "Transfer-Encoding",
    "Upgrade",    "Content-Length", "X-Request-Id",
    "X-Outcome",  "X-Refusal-Code", "X-Replayed"};

HttpRequest MakeForwardedRequest(const HttpRequest& original,
                                 const std::string& workspace,
                                 const std::string& request_id,
                                 Duration remaining) {
  HttpRequest out = original;
  // The first segment of the path names the service.
  const size_t slash = original.path.find('/', 1);
  out.path = slash == std::string::npos ? "/" : original.path.substr(slash);
  for (const char* it : kHeadersNotForwarded) out.headers.Remove(it);
  out.headers.Remove("X-Workspace");
  if (!workspace.empty()) out.headers.Add("X-Workspace", workspace);
  out.headers.Set("X-Request-Timeout-Ms",
                  fmt::format("{}", ToMillis(remaining)));
  out.headers.Set("X-Request-Id", request_id);
  return out;
}

HttpResponse MakeReturnedResponse(const HttpResponse& response) {
  HttpResponse out = response;
  for (const char* it : kHeadersNotReturned) out.headers.Remove(it);
  return out;
}

HttpResponse MakeReplayedResponse(const wire::StoredOutcomeT& stored) {
  HttpResponse out;
  out.status = stored.status;
  out.body.assign(stored.body.begin(), stored.body.end());
  if (!stored.content_type.empty()) {
    out.headers.Add("Content-Type", stored.content_type);
  }
  out.headers.Set("X-Replayed", "1");
  return out;
}

AttemptFailure ClassifyFailure(const HttpOutcome& outcome) {
  if (outcome.ec == NetErrc::kDeadline) return AttemptFailure::kTimedOut;
  if (!outcome.was_sent) return AttemptFailure::kConnectFailed;
  if (outcome.ec == NetErrc::kBroken) return AttemptFailure::kBrokenMidway;
  return AttemptFailure::kBadResponse;
}

}  // namespace

Proxy::Proxy(Dependencies deps, uint64_t incarnation, uint64_t seed)
    : deps_(std::move(deps)),
      request_id_prefix_(
          fmt::format("{}-{:x}-", deps_.settings->vm, incarnation)),
      rng_(seed) {}

Proxy::~Proxy() = default;

void Proxy::SetView(std::shared_ptr<const ServingView> view, TimePoint now) {
  view_ = std::move(view);
  const Config& config = view_->config();
  for (size_t i = 0; i < config.services.size(); ++i) {
    std::unique_ptr<ServiceState>& state = services_[config.services[i].name];
    if (state == nullptr) {
      state = std::make_unique<ServiceState>(config, i, deps_.settings->zone,
                                             deps_.ledger);
      continue;
    }
    const std::vector<size_t> new_index = state->Reconfigure(config, i, now);
    for (const auto& [id, request] : requests_) {
      if (request->service != state.get()) continue;
      if (request->avoided_instance) {
        request->avoided_instance = new_index[*request->avoided_instance];
        if (*request->avoided_instance == SIZE_MAX)
          request->avoided_instance.reset();
      }
      if (request->slot) {
        request->slot->instance = new_index[request->slot->instance];
      }
    }
  }
  for (const auto& [name, state] : services_) Dispatch(state.get(), now);
}

Proxy::Request* Proxy::FindRequest(uint64_t id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second.get();
}

ServiceState* Proxy::FindService(const std::string& name) {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second.get();
}

void Proxy::OnLoadReport(const std::string& service,
                         const std::string& upstream,
                         const LoadReport& report) {
  ServiceState* state = FindService(service);
  if (state == nullptr) return;
  for (size_t i = 0; i < state->instance_count(); ++i) {
    if (state->upstream(i).id != upstream) continue;
    state->selector().OnReport(i, report);
    return;
  }
}

size_t Proxy::queued_requests() const {
  size_t n = 0;
  for (const auto& [name, state] : services_) n += state->waiting();
  return n;
}

void Proxy::Handle(std::shared_ptr<HttpExchange> exchange) {
  if (view_ == nullptr) {
    exchange->Respond(RefusalResponse(Refusal::kNotReady, RunOutcome::kNotRun,
                                      "no configuration is in force yet"));
    return;
  }
  Admit(std::move(exchange));
}

void Proxy::Admit(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& http = exchange->request();
  const auto match = view_->MatchRoute(http.method, http.path);
  if (match.route == nullptr) {
    deps_.metrics->CountRequest("", RefusalCode(Refusal::kRouteUnknown), {});
    exchange->Respond(RefusalResponse(
        Refusal::kRouteUnknown, RunOutcome::kNotRun,
        fmt::format("no route for {} {}", http.method, http.path)));
    return;
  }
  auto owned = std::make_unique<Request>();
  Request* request = owned.get();
  request->id = ++last_request_id_;
  request->exchange = std::move(exchange);
  request->service = FindService(view_->config().services[match.service].name);
  request->route = *match.route;
  request->arrived_at = EventLoop::Now();
  requests_.emplace(request->id, std::move(owned));
  request->exchange->OnCallerDisconnect(
      [this, id = request->id] { HandleCallerLeft(id); });

  if (!ReadDeadline(request) || !Authenticate(request)) return;
  request->fingerprint =
      CrashFingerprint(request->workspace_name, http.method,
                       http.path + "?" + http.query, {http.body});
  if (request->route.idempotent) {
    StartRateAdmission(request);
  } else {
    // The claim is made before the rate check: once it is granted, no earlier
    // attempt with this key can have run, and a refusal may report "not run".
    StartClaim(request);
  }
}

bool Proxy::ReadDeadline(Request* request) {
  const std::string& text =
      request->exchange->request().headers.Get("X-Request-Timeout-Ms");
  Duration timeout = request->route.max_timeout;
  if (!text.empty()) {
    int64_t ms = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc() || end != text.data() + text.size() || ms <= 0) {
      Refuse(request, Refusal::kBadRequest,
             "X-Request-Timeout-Ms must be a positive integer");
      return false;
    }
    // Compared in milliseconds, since a large value would overflow nanoseconds.
    if (ms < ToMillis(timeout)) timeout = std::chrono::milliseconds(ms);
  }
  request->deadline = request->arrived_at + timeout;
  return true;
}

bool Proxy::Authenticate(Request* request) {
  if (request->route.open) return true;
  const std::string& key =
      request->exchange->request().headers.Get("X-Api-Key");
  if (key.empty()) {
    Refuse(request, Refusal::kNoKey, "header X-Api-Key is missing");
    return false;
  }
  const KeyLookup found = view_->keys().Lookup(key, *deps_.withdrawals);
  if (found.verdict != KeyVerdict::kValid) {
    const bool is_withdrawn = found.verdict == KeyVerdict::kWithdrawn;
    Refuse(request,
           is_withdrawn ? Refusal::kKeyWithdrawn : Refusal::kKeyUnknown,
           is_withdrawn ? "the API key was withdrawn" : "unknown API key");
    return false;
  }
  if (!KeysAreFresh(request->route,
                    deps_.store_contact_age(request->arrived_at))) {
    Refuse(request, Refusal::kStaleKeys,
           "the VM cannot confirm that the API key has not been withdrawn");
    return false;
  }
  const Workspace& workspace = view_->config().workspaces[found.workspace];
  request->workspace = found.workspace;
  request->workspace_name = workspace.name;
  request->key_digest = found.digest;
  request->rate_resource =
      deps_.ledger->Find(wire::ResourceKind::kWorkspaceRate, workspace.name);
  return true;
}

void Proxy::StartClaim(Request* request) {
  const HttpRequest& http = request->exchange->request();
  const std::string& text = http.headers.Get("Idempotency-Key");
  if (text.empty()) {
    Refuse(
        request, Refusal::kIdempotencyKeyRequired,
        "header Idempotency-Key is missing; it consists of the prefix from a "
        "look-up response, a dot, and a text chosen by the caller");
    return;
  }
  const WallTime wall = EventLoop::WallNow();
  const auto key =
      IdempotencyKey::Parse(text, deps_.settings->fleet_secrets, wall);
  request->stage = Stage::kClaim;
  if (!key) {
    ApplyClaim(request, ClaimClient::RefuseKey(key.error().code));
    return;
  }
  const ClaimDecision decision = deps_.claim_client->Begin(
      *key, ClaimDigest(request->workspace_name, text),
      RequestDigest(http.method, http.path + "?" + http.query, http.body),
      request->deadline, request->arrived_at, wall);
  if (decision.action == ClaimAction::kWait) {
    request->claim_request_id = decision.request_id;
    requests_by_claim_[decision.request_id] = request->id;
    deps_.flush_claims();
    return;
  }
  ApplyClaim(request, decision);
  deps_.flush_claims();
}

void Proxy::OnClaimDecisions(const std::vector<ClaimDecision>& decisions) {
  for (const ClaimDecision& it : decisions) {
    const auto found = requests_by_claim_.find(it.request_id);
    if (found == requests_by_claim_.end()) continue;
    Request* request = FindRequest(found->second);
    requests_by_claim_.erase(found);
    if (request != nullptr) ApplyClaim(request, it);
  }
}

void Proxy::ApplyClaim(Request* request, const ClaimDecision& decision) {
  switch (decision.action) {
    case ClaimAction::kWait:
      return;
    case ClaimAction::kRun:
      request->has_claim = true;
      request->claim_request_id = decision.request_id;
      StartRateAdmission(request);
      return;
    case ClaimAction::kReplay:
      FinishRequest(request, MakeReplayedResponse(decision.outcome), "replayed",
                    nullptr);
      return;
    case ClaimAction::kRefuse:
      FinishRequest(request,
                    RefusalResponse(decision.refusal, decision.run_outcome),
                    ClaimRefusalCode(decision.refusal), nullptr);
      return;
  }
}

void Proxy::StartRateAdmission(Request* request) {
  request->stage = Stage::kRate;
  if (!request->rate_resource.IsValid()) {  // an open route
    Enqueue(request);
    return;
  }
  const TimePoint now = EventLoop::Now();
  RateQueue& queue = rate_queues_[request->rate_resource];
  // A request queues behind those already waiting, to preserve their order.
  if (queue.request_ids.empty() &&
      deps_.ledger->TryAdmit(request->rate_resource, now)) {
    Enqueue(request);
    return;
  }
  if (queue.request_ids.size() >= kMaxRateWaiters) {
    Refuse(request, Refusal::kRateLimited, "the workspace exceeds its rate");
    return;
  }
  request->rate_wait_deadline = std::min(now + kMaxRateWait, request->deadline);
  queue.request_ids.push_back(request->id);
  deps_.ledger->SetWaiting(request->rate_resource,
                           static_cast<int64_t>(queue.request_ids.size()));
  if (queue.request_ids.size() == 1) deps_.flush_ledger();
}

void Proxy::RetryRateAdmissions(TimePoint now) {
  std::vector<uint64_t> admitted;
  std::vector<uint64_t> refused;
  for (auto& [handle, queue] : rate_queues_) {
    const size_t size_before = queue.request_ids.size();
    while (!queue.request_ids.empty()) {
      const Request* request = FindRequest(queue.request_ids.front());
      if (request == nullptr || request->stage != Stage::kRate) {
        queue.request_ids.pop_front();
        continue;
      }
      if (deps_.ledger->TryAdmit(handle, now, /*retry=*/true)) {
        admitted.push_back(request->id);
      } else if (now >= request->rate_wait_deadline) {
        refused.push_back(request->id);
      } else {
        break;
      }
      queue.request_ids.pop_front();
    }
    if (queue.request_ids.size() != size_before) {
      deps_.ledger->SetWaiting(handle,
                               static_cast<int64_t>(queue.request_ids.size()));
    }
  }
  for (uint64_t id : admitted) {
    if (Request* request = FindRequest(id); request != nullptr)
      Enqueue(request);
  }
  for (uint64_t id : refused) {
    Request* request = FindRequest(id);
    if (request == nullptr) continue;
    if (now >= request->deadline) {
      Refuse(request, Refusal::kDeadline,
             "the deadline passed before the request ran");
    } else {
      Refuse(request, Refusal::kRateLimited, "the workspace exceeds its rate");
    }
  }
}

void Proxy::Enqueue(Request* request) {
  const TimePoint now = EventLoop::Now();
  if (deps_.crash_guard->IsBlocked(request->fingerprint, now)) {
    Refuse(
        request, Refusal::kSuspectedCrash,
        "requests with the same content are suspected of crashing upstreams");
    return;
  }
  request->stage = Stage::kQueue;
  request->queued_at = now;
  ServiceState* service = request->service;
  switch (service->queue().Push(request->id, request->workspace,
                                request->deadline, now)) {
    case PushResult::kQueued:
      Dispatch(service, now);
      return;
    case PushResult::kFull:
      Refuse(request, Refusal::kOverloaded,
             "too many requests of the workspace are queued");
      return;
    case PushResult::kWaitExceedsDeadline:
      Refuse(request, Refusal::kOverloaded,
             "no upstream is expected to be free before the deadline");
      return;
  }
}

void Proxy::Dispatch(ServiceState* service, TimePoint now) {
  // Send may finish a request at once, which frees a slot and calls Dispatch
  // again.
  if (is_dispatching_) return;
  is_dispatching_ = true;
  std::vector<uint64_t> deferred;
  while (true) {
    if (!service->head()) service->set_head(service->queue().Pop(now));
    if (!service->head()) break;
    Request* request = FindRequest(*service->head());
    if (request == nullptr) {
      service->set_head(std::nullopt);
      continue;
    }
    const auto slot = service->AcquireSlot(
        request->avoided_instance,
        [&](const Upstream& it) {
          return deps_.crash_guard->MaySend(it.id, request->fingerprint, now);
        },
        now - request->queued_at, rng_, now);
    if (slot) {
      service->set_head(std::nullopt);
      request->slot = slot;
      Send(request);
      continue;
    }
    if (!deps_.crash_guard->IsSuspect(request->fingerprint, now)) break;
    // A suspect request needs an instance that runs no other suspect; requests
    // behind it are dispatched first.
    deferred.push_back(request->id);
    service->set_head(std::nullopt);
  }
  is_dispatching_ = false;
  for (uint64_t id : deferred) {
    Request* request = FindRequest(id);
    if (request == nullptr) continue;
    if (service->queue().Push(id, request->workspace, request->deadline, now) !=
        PushResult::kQueued) {
      Refuse(request, Refusal::kOverloaded,
             "no upstream is available for the request");
    }
  }
}

void Proxy::Send(Request* request) {
  const TimePoint now = EventLoop::Now();
  const HttpRequest& http = request->exchange->request();
  // The key may have been withdrawn while the request waited.
  if (!request->route.open &&
      view_->keys().Recheck(request->key_digest, *deps_.withdrawals).verdict !=
          KeyVerdict::kValid) {
    request->service->selector().OnCancelled(request->slot->instance);
    ReleaseSlot(request);
    Refuse(request, Refusal::kKeyWithdrawn, "the API key was withdrawn");
    return;
  }
  request->stage = Stage::kSent;
  request->sent_at = now;
  ++request->attempts;
  if (request->attempts == 1) request->service->retry_budget().OnRequest();
  requests_by_slot_[request->slot->token.id] = request->id;
  const size_t instance = request->slot->instance;
  const std::string& upstream = request->service->upstream(instance).id;
  deps_.crash_guard->OnSent(upstream, request->fingerprint);
  const Duration remaining = request->deadline - now;
  request->call_id = deps_.upstream_client->Send(
      request->service->target(instance),
      MakeForwardedRequest(http, request->workspace_name,
                           fmt::format("{}{}.{}", request_id_prefix_,
                                       request->id, request->attempts),
                           remaining),
      remaining, [this, id = request->id](const HttpOutcome& outcome) {
        HandleOutcome(id, outcome);
      });
}

void Proxy::ReleaseSlot(Request* request) {
  if (!request->slot) return;
  requests_by_slot_.erase(request->slot->token.id);
  deps_.ledger->ReleaseSlot(request->slot->token, EventLoop::Now());
  request->slot.reset();
}

void Proxy::HandleOutcome(uint64_t id, const HttpOutcome& outcome) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  request->call_id = 0;
  if (outcome.ec) {
    deps_.metrics->CountUpstreamFailure(outcome.ec.message());
    if (outcome.was_sent) request->may_have_run = true;
    HandleFailedAttempt(request, ClassifyFailure(outcome));
    return;
  }
  if (outcome.response.status == 503 &&
      outcome.response.headers.Get("X-Not-Run") == "1") {
    deps_.metrics->CountUpstreamFailure("shed");
    HandleFailedAttempt(request, AttemptFailure::kShed);
    return;
  }
  HandleResponse(request, outcome.response);
}

void Proxy::HandleResponse(Request* request, const HttpResponse& response) {
  const TimePoint now = EventLoop::Now();
  ServiceState* service = request->service;
  if (request->slot && request->slot->instance != SIZE_MAX) {
    const size_t instance = request->slot->instance;
    service->selector().OnSuccess(instance, now - request->sent_at, now);
    service->CountAttempt(/*failed=*/false);
    const size_t bytes = std::max(request->exchange->request().body.size(),
                                  response.body.size());
    service->ChargeLink(instance, static_cast<int64_t>(bytes), now);
    const auto cleared = deps_.crash_guard->OnFinished(
        service->upstream(instance).id, request->fingerprint, true, now);
    if (!cleared.empty()) deps_.flood_suspicions(cleared);
  }
  ReleaseSlot(request);
  wire::StoredOutcomeT stored;
  stored.status = static_cast<uint16_t>(response.status);
  stored.content_type = response.headers.Get("Content-Type");
  stored.body.assign(response.body.begin(), response.body.end());
  FinishRequest(request, MakeReturnedResponse(response), "ran", &stored);
  Dispatch(service, now);
}

void Proxy::HandleFailedAttempt(Request* request, AttemptFailure failure) {
  const TimePoint now = EventLoop::Now();
  ServiceState* service = request->service;
  if (request->slot && request->slot->instance != SIZE_MAX) {
    const size_t instance = request->slot->instance;
    const std::string& upstream = service->upstream(instance).id;
    service->CountAttempt(/*failed=*/true);
    if (failure == AttemptFailure::kShed) {
      service->selector().OnShed(instance, now);
    } else {
      service->selector().OnFailure(instance, now);
    }
    if (failure == AttemptFailure::kBrokenMidway) {
      // The crash guard keeps the request in flight until a probe shows whether
      // the instance crashed.
      ProbeForCrash(upstream, service->target(instance), request->fingerprint);
    } else {
      deps_.crash_guard->OnFinished(upstream, request->fingerprint, false, now);
    }
    request->avoided_instance = instance;
  }
  ReleaseSlot(request);
  // A claimed request that may have run must not run again.
  const bool may_retry = request->route.idempotent || !request->may_have_run;
  if (may_retry && now < request->deadline &&
      service->retry_budget().TryRetry(failure, request->route.idempotent,
                                       request->attempts)) {
    deps_.metrics->CountRetry();
    Enqueue(request);
    return;
  }
  if (failure == AttemptFailure::kTimedOut || now >= request->deadline) {
    Refuse(request, Refusal::kDeadline,
           "the deadline passed before an upstream completed the request");
  } else if (ProvesNotRun(failure)) {
    Refuse(request, Refusal::kNoUpstream, "no upstream accepted the request");
  } else {
    Refuse(request, Refusal::kUpstreamFailed,
           "the upstream failed while it was processing the request");
  }
  Dispatch(service, now);
}

void Proxy::ProbeForCrash(const std::string& upstream, const HttpTarget& target,
                          const Digest& fingerprint) {
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
  HttpRequest probe;
  probe.method = "GET";
  probe.path = "/health";
  deps_.upstream_client->Send(
      target, probe, kProbeTimeout,
      [this, upstream, fingerprint](const HttpOutcome& out) {
        const TimePoint now = EventLoop::Now();
        if (out.ec != NetErrc::kConnectFailed) {
          deps_.crash_guard->OnFinished(upstream, fingerprint, false, now);
          return;
        }
        const auto suspicions = deps_.crash_guard->OnCrash(upstream, now);
        if (!suspicions.empty()) deps_.flood_suspicions(suspicions);
      });
}

void Proxy::Refuse(Request* request, Refusal refusal,
                   const std::string& message) {
  const RunOutcome outcome =
      request->may_have_run ? RunOutcome::kUnknown : RunOutcome::kNotRun;
  HttpResponse response = RefusalResponse(refusal, outcome, message);
  if (refusal == Refusal::kRateLimited) {
    AddRetryAfter(&response, deps_.ledger->RetryAfter(request->rate_resource,
                                                      EventLoop::Now()));
  }
  FinishRequest(request, response, RefusalCode(refusal), nullptr);
}

void Proxy::FinishRequest(Request* request, const HttpResponse& response,
                          const std::string& result,
                          const wire::StoredOutcomeT* stored) {
  assert(!request->slot);
  const TimePoint now = EventLoop::Now();
  if (request->has_claim) {
    const wire::ClaimEnd end = stored != nullptr ? wire::ClaimEnd::kCompleted
                               : request->may_have_run
                                   ? wire::ClaimEnd::kOutcomeUnknown
                                   : wire::ClaimEnd::kNotRun;
    deps_.claim_client->Finish(request->claim_request_id, end, stored, now);
    deps_.flush_claims();
  }
  deps_.metrics->CountRequest(request->service->name(), result,
                              now - request->arrived_at);
  const auto it = requests_.find(request->id);
  const std::unique_ptr<Request> owned = std::move(it->second);
  requests_.erase(it);
  owned->exchange->Respond(response);
}

void Proxy::HandleCallerLeft(uint64_t id) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  const TimePoint now = EventLoop::Now();
  ServiceState* service = request->service;
  switch (request->stage) {
    case Stage::kClaim:
      requests_by_claim_.erase(request->claim_request_id);
      deps_.claim_client->Cancel(request->claim_request_id, now);
      deps_.flush_claims();
      break;
    case Stage::kRate:
      break;
    case Stage::kQueue:
      service->queue().Remove(id);
      if (service->head() == id) service->set_head(std::nullopt);
      break;
    case Stage::kSent:
      // Cancel closes the connection, which signals the upstream to stop.
      if (request->call_id != 0)
        deps_.upstream_client->Cancel(request->call_id);
      request->may_have_run = true;
      if (request->slot && request->slot->instance != SIZE_MAX) {
        const size_t instance = request->slot->instance;
        service->selector().OnCancelled(instance);
        deps_.crash_guard->OnFinished(service->upstream(instance).id,
                                      request->fingerprint, false, now);
      }
      ReleaseSlot(request);
      break;
  }
  FinishRequest(request, HttpResponse{499, {}, ""}, "caller-left", nullptr);
  Dispatch(service, now);
}

void Proxy::Tick(TimePoint now) {
  CancelExpiredSlots(now);
  OnLedgerChanged(now);
  for (const auto& [name, state] : services_) {
    std::vector<uint64_t> expired = state->queue().Expire(now);
    if (state->head()) {
      const Request* head = FindRequest(*state->head());
      if (head != nullptr && now >= head->deadline) {
        expired.push_back(head->id);
        state->set_head(std::nullopt);
      }
    }
    for (uint64_t id : expired) {
      if (Request* request = FindRequest(id); request != nullptr) {
        Refuse(request, Refusal::kDeadline,
               "the deadline passed before the request ran");
      }
    }
    state->UpdateDemand(now);
  }
}

void Proxy::OnLedgerChanged(TimePoint now) {
  RetryRateAdmissions(now);
  for (const auto& [name, state] : services_) Dispatch(state.get(), now);
}

void Proxy::CancelExpiredSlots(TimePoint now) {
  for (const SlotToken& token : deps_.ledger->TakeExpiredSlots(now)) {
    const auto it = requests_by_slot_.find(token.id);
    if (it == requests_by_slot_.end()) continue;
    Request* request = FindRequest(it->second);
    if (request == nullptr) continue;
    // The lender now treats the slot as its own again.
    deps_.upstream_client->Cancel(request->call_id);
    request->call_id = 0;
    request->may_have_run = true;
    if (request->slot->instance != SIZE_MAX) {
      const size_t instance = request->slot->instance;
      request->service->selector().OnCancelled(instance);
      deps_.crash_guard->OnFinished(request->service->upstream(instance).id,
                                    request->fingerprint, false, now);
    }
    ReleaseSlot(request);
    Refuse(
        request, Refusal::kUpstreamFailed,
        "the loan of the upstream slot expired before the upstream responded");
  }
}

}  // namespace rwf
