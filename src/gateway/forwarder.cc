#include "gateway/forwarder.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>

#include "base/hash.h"
#include "gateway/decision_log.h"
#include "gateway/load_report.h"
#include "gateway/result_classifier.h"

namespace rwf {
namespace {

// Statuses that tell callers that the request has not run.
bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

TimePoint BootTimeNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

Forwarder::Forwarder(ForwarderDependencies deps)
    : deps_(std::move(deps)),
      prober_(deps_.loop, deps_.pool),
      shortage_(deps_.loop, deps_.registry, deps_.placement,
                {[this](ExchangeId it) { return StartWaiting(it); },
                 [this](ExchangeId it, Duration after) {
                   RefuseWaiting(it, after);
                 }}) {
  shortage_.AddMetrics(deps_.metrics);
  prober_.signal_ended.connect([this](const std::string& process) {
    deps_.crashes->OnInstanceEnded(process, EventLoop::Now());
  });
}

Forwarder::~Forwarder() = default;

double Forwarder::ColdRate(const Exchange& it) const {
  const TrafficService* service =
      it.catalog->FindService(it.placement_request.service);
  return service == nullptr ? 0 : service->cold_rate;
}

bool Forwarder::TrySend(Exchange* it, Duration* retry_after,
                        const char** reason) {
  const TimePoint now = EventLoop::Now();
  it->placement_request.time_left = it->deadline - now;
  const double cold_rate = ColdRate(*it);
  const size_t vm_count = deps_.local_vm_count();
  const PlacementChoice choice =
      deps_.placement->Choose(it->placement_request, cold_rate, vm_count, now);
  if (choice.instance == nullptr) {
    *retry_after = choice.retry_after;
    // A waiting request is tried often, and was counted on arrival.
    if (shortage_.IsWaiting(it->id)) return false;
    it->may_wait = shortage_.MayWait(it->placement_request, choice, now);
    deps_.metrics->CountRefusedPlacement(RefusalCauseName(choice));
    LogRefusedPlacement(deps_.log, it->request_id, it->placement_request,
                        choice);
    *reason = choice.reason == PlacementRefusal::kNoCapacity ? "overloaded"
                                                             : "no-upstream";
    return false;
  }
  deps_.placement->OnSent(it->placement_request, choice, cold_rate, vm_count,
                          now);
  shortage_.OnSent(it->id, it->placement_request.service, it->WorkspaceName(),
                   now);
  it->may_wait = false;
  const InstanceInfo& info = choice.instance->info();
  Attempt attempt;
  attempt.id = next_attempt_id_++;
  attempt.instance = info.id;
  attempt.instance_started_ms = info.started_ms;
  attempt.started_at = now;
  attempt.expected_run_time = choice.expected;
  attempt.is_warm = choice.is_warm;
  attempt.is_trial = choice.is_trial;
  attempt.rank = choice.rank;
  attempt.is_remote = choice.is_remote;
  choice.instance->OnSent(attempt.id, it->placement_request.object,
                          choice.healthy_latency, now);
  attempt.expected_wait = choice.expected_total - choice.expected;
  it->placement_request.tried.push_back(info.id);
  ++it->send_count;
  UpstreamPool::Request request;
  request.head = RequestHead(*it, info.id, it->placement_request.time_left);
  request.body = it->request.body;
  request.request_id = it->request_id;
  request.id_header = deps_.header_names->request_id;
  request.is_head = it->request.method == "HEAD";
  request.is_idempotent = it->route->idempotent;
  const ExchangeId id = it->id;
  const uint64_t attempt_id = attempt.id;
  attempt.send_id =
      deps_.pool->Send({info.id, info.address, info.port}, std::move(request),
                       [this, id, attempt_id](const SendResult& result) {
                         OnResult(id, attempt_id, result);
                       });
  it->attempts.push_back(std::move(attempt));
  if (it->route->idempotent) ScheduleHedge(it, choice);
  return true;
}

std::string Forwarder::RequestHead(const Exchange& it,
                                   const std::string& instance,
                                   Duration left) const {
  const HeaderNames& header_names = *deps_.header_names;
  HttpHeaders headers = ForwardableHeaders(it.request.headers);
  headers.Remove(header_names.key);
  headers.Remove(header_names.workspace);
  headers.Set(header_names.deadline_ms,
              fmt::format("{}", std::max<int64_t>(1, ToMillis(left))));
  headers.Set(header_names.expected_instance, instance);
  if (it.workspace != nullptr)
    headers.Set(header_names.workspace, it.workspace->name);
  return SerializeRequestHead(it.request.method, it.request.target, headers,
                              it.request.body.size());
}

void Forwarder::ScheduleHedge(Exchange* it, const PlacementChoice& choice) {
  it->hedge_timer.reset();
  if (it->send_count >= it->route->max_attempts) return;
  const Duration delay = std::max(
      kMinHedgeDelay,
      choice.upper_total.value_or(
          FromSeconds(ToSeconds(choice.expected_total) * kHedgeDelayFactor)));
  const ExchangeId id = it->id;
  it->hedge_timer = deps_.loop->After(delay, [this, id] { OnHedgeTimer(id); });
}

void Forwarder::OnHedgeTimer(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  it->hedge_timer.reset();
  const TimePoint now = EventLoop::Now();
  if (it->send_count >= it->route->max_attempts) return;
  // The first instance may be slow because it is about to crash.
  if (deps_.crashes->IsSuspect(it->fingerprint, now)) return;
  if (deps_.budget->UsedFraction(it->placement_request.service, now) >
      kMaxHedgeBudgetFraction)
    return;
  if (!deps_.budget->TryAcquire(it->placement_request.service, now)) return;
  Duration retry_after{};
  const char* reason = "";
  if (TrySend(it, &retry_after, &reason)) {
    deps_.metrics->CountRetry();
    deps_.log->Request("second_attempt", it->request_id)
        .Text("slow_instance", it->attempts.front().instance)
        .Text("instance", it->attempts.back().instance)
        .Millis("after_ms", now - it->arrived_at);
  }
}

void Forwarder::RecordLoadReport(const std::string& instance,
                                 const ReceivedMessage& response,
                                 TimePoint now) {
  InstanceState* state = deps_.registry->Find(instance);
  if (state == nullptr) return;
  const std::optional<LoadReport> report =
      ParseLoadReport(response.headers.Get(deps_.header_names->load));
  if (!report) return;
  state->OnReport(report->running, report->waiting, now);
  if (report->machine_factor)
    state->machine()->OnReport(*report->machine_factor, now);
}

ServiceTimeModel::Warmth Forwarder::WarmthOf(const Exchange& it,
                                             const Attempt& attempt) {
  if (it.placement_request.object == 0)
    return ServiceTimeModel::Warmth::kNoObject;
  return attempt.is_warm ? ServiceTimeModel::Warmth::kWarm
                         : ServiceTimeModel::Warmth::kUncertain;
}

void Forwarder::OnResult(ExchangeId id, uint64_t attempt_id,
                         const SendResult& result) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  const TimePoint now = EventLoop::Now();
  const auto pos =
      std::find_if(it->attempts.begin(), it->attempts.end(),
                   [&](const Attempt& a) { return a.id == attempt_id; });
  if (pos == it->attempts.end()) return;
  const Attempt attempt = *pos;
  it->attempts.erase(pos);
  it->last_attempt = attempt;
  const AttemptOutcome outcome =
      ClassifyResult(*deps_.header_names, it->request_id, result);
  const bool is_from_instance = outcome != AttemptOutcome::kConnectFailed &&
                                outcome != AttemptOutcome::kBroken &&
                                outcome != AttemptOutcome::kMisdirected;
  const bool has_notice =
      is_from_instance && RecordNotice(*it, attempt, result.response, now);
  // What the instance has announced is no failure.
  const bool is_declined =
      has_notice && (outcome == AttemptOutcome::kShed ||
                     (outcome == AttemptOutcome::kInstanceError &&
                      result.response.status == 503));
  InstanceState* state = deps_.registry->Find(attempt.instance);
  // The instance may close a reused connection at any time, so this is not
  // counted against its health.
  const bool is_stale_connection = outcome == AttemptOutcome::kBroken &&
                                   result.was_reused &&
                                   !result.has_response_begun;
  const AttemptOutcome health_outcome =
      is_stale_connection ? AttemptOutcome::kCancelled
      : is_declined       ? AttemptOutcome::kDeclined
                          : outcome;
  if (is_from_instance)
    deps_.crashes->OnInstanceResponded(
        ProcessName(attempt.instance, attempt.instance_started_ms),
        attempt.started_at, now);
  // A host that has lost its power or its network is silent; one whose process
  // has crashed is not.
  FinishAttempt(*it, attempt, health_outcome,
                result.outcome == SendOutcome::kBroken && !result.was_silent,
                now);
  if (result.outcome == SendOutcome::kResponded)
    RecordLoadReport(attempt.instance, result.response, now);
  if (outcome == AttemptOutcome::kSucceeded) {
    if (attempt.is_trial)
      deps_.placement->OnTrialSucceeded(it->placement_request);
    const Duration run = now - attempt.started_at - attempt.expected_wait;
    deps_.placement->OnResponse(it->placement_request.service, it->route->name,
                                result.response.body.size(), run);
    if (state != nullptr && !state->IsCold(now)) {
      const RunReport report = deps_.placement->OnRunEnded(
          it->placement_request, state, WarmthOf(*it, attempt),
          attempt.started_at, run, now);
      deps_.metrics->SetRunsWithinEstimate(
          it->placement_request.service, it->route->name, report.share_within);
      LogLongRun(deps_.log, it->request_id, it->placement_request,
                 attempt.instance, report, run);
    }
    Respond(it, result.response, attempt.instance);
    return;
  }
  const bool is_not_run = outcome == AttemptOutcome::kConnectFailed ||
                          outcome == AttemptOutcome::kShed ||
                          outcome == AttemptOutcome::kMisdirected;
  if (!is_not_run) it->may_have_run = true;
  if (outcome == AttemptOutcome::kConnectFailed) {
    --it->send_count;
    ++it->connect_failures;
  }
  const char* cause =
      AttemptOutcomeName(is_declined ? AttemptOutcome::kDeclined : outcome);
  deps_.metrics->CountUpstreamFailure(cause);
  deps_.log->Request("attempt_failed", it->request_id)
      .Text("instance", attempt.instance)
      .Text("cause", cause)
      .Number("status", result.response.status)
      .Flag("kept_connection", result.was_reused)
      .Millis("took_ms", now - attempt.started_at)
      .Real("load", state == nullptr ? -1 : state->LoadAt(now));
  RetryOrFail(it, outcome, result);
}

bool Forwarder::RecordNotice(const Exchange& it, const Attempt& attempt,
                             const ReceivedMessage& response, TimePoint now) {
  const DecodedNotice decoded = deps_.notice_decoder->Decode(
      response.status, response.headers, EventLoop::WallNow());
  if (!decoded.problem.empty()) {
    deps_.log->Request("notice_unusable", it.request_id)
        .Text("instance", attempt.instance)
        .Text("reason", decoded.problem);
  }
  const std::string process =
      ProcessName(attempt.instance, attempt.instance_started_ms);
  // The entry may lapse and return while the process lives. Without its start,
  // a later process could not be told from it.
  if (attempt.instance_started_ms == 0 &&
      deps_.registry->Find(attempt.instance) == nullptr) {
    if (decoded.notice != InstanceNotice{}) {
      deps_.log->Request("notice_dropped", it.request_id)
          .Text("instance", process)
          .Flag("leaving", decoded.notice.is_leaving);
    }
    return false;
  }
  InstanceInfo info;
  info.id = attempt.instance;
  info.started_ms = attempt.instance_started_ms;
  InstanceNotice notice = decoded.notice;
  if (!decoded.is_rate_limit_usable)
    notice.rate_limit = deps_.notices->RateLimit(info);
  if (deps_.notices->OnResponse(info, notice, now)) {
    LogNotice(deps_.log, process, notice, "", Duration::zero());
    if (notice.is_leaving) deps_.pool->CloseIdleConnections(attempt.instance);
  }
  return notice != InstanceNotice{};
}

bool Forwarder::TakeRetryBudget(const Exchange& it, TimePoint now) {
  const bool caller_may_retry =
      !it.may_have_run && !it.placement_request.is_retry;
  if (caller_may_retry &&
      deps_.budget->UsedFraction(it.placement_request.service, now) >
          kMaxNonRetryBudgetFraction)
    return false;
  return deps_.budget->TryAcquire(it.placement_request.service, now);
}

void Forwarder::RetryOrFail(Exchange* it, AttemptOutcome outcome,
                            const SendResult& result) {
  // Another attempt is still in progress.
  if (!it->attempts.empty()) return;
  if (it->caller_disconnected) {
    FinishExchange(it, "caller-left", 0, "");
    return;
  }
  const TimePoint now = EventLoop::Now();
  const bool is_blocked = deps_.crashes->IsBlocked(it->fingerprint, now);
  const bool may_retry =
      !is_blocked && (it->route->idempotent || !it->may_have_run) &&
      it->send_count < std::max(1, it->route->max_attempts) &&
      it->connect_failures < kMaxConnectFailures && now < it->deadline;
  Duration retry_after{};
  const char* reason = "overloaded";
  it->may_wait = false;
  if (may_retry && (it->send_count == 0 || TakeRetryBudget(*it, now)) &&
      TrySend(it, &retry_after, &reason)) {
    deps_.metrics->CountRetry();
    return;
  }
  if (may_retry && !it->may_have_run && Wait(it, &retry_after)) return;
  if (outcome == AttemptOutcome::kInstanceError &&
      !IsNotRunStatus(result.response.status)) {
    Respond(it, result.response, "");
    return;
  }
  if (!it->may_have_run) {
    const Duration wait =
        std::max<Duration>(retry_after, std::chrono::milliseconds(150));
    Refuse(it, {503, reason, wait});
    return;
  }
  Refuse(it, {502, is_blocked ? "suspected-crash" : "upstream-failed", {}});
}

void Forwarder::OnDeadline(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  const TimePoint now = EventLoop::Now();
  const bool is_sent = !it->attempts.empty() || it->may_have_run;
  CancelAttempts(it, AttemptOutcome::kTimedOut, "deadline", now);
  if (is_sent) {
    Refuse(it, {504, "deadline", {}});
  } else {
    Refuse(it, {503, "overloaded", std::chrono::milliseconds(200)});
  }
}

void Forwarder::OnCallerDisconnected(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  it->caller_disconnected = true;
  it->hedge_timer.reset();
  // A non-idempotent request is allowed to finish, since its caller may check
  // for its effect later.
  if (!it->route->idempotent && !it->attempts.empty()) return;
  CancelAttempts(it, AttemptOutcome::kCancelled, "caller-left",
                 EventLoop::Now());
  FinishExchange(it, "caller-left", 0, "");
}

void Forwarder::FinishAttempt(const Exchange& it, const Attempt& attempt,
                              AttemptOutcome outcome, bool connection_lost,
                              TimePoint now) {
  InstanceState* state = deps_.registry->Find(attempt.instance);
  if (state != nullptr) state->OnEnded(attempt.id, outcome, now);
  shortage_.OnEnded(it.placement_request.service, outcome, now);
  const std::string process =
      ProcessName(attempt.instance, attempt.instance_started_ms);
  deps_.crashes->OnRunEnded(process, it.fingerprint, attempt.started_at,
                            outcome == AttemptOutcome::kSucceeded,
                            connection_lost, now);
  if (outcome == AttemptOutcome::kConnectFailed ||
      outcome == AttemptOutcome::kMisdirected)
    deps_.crashes->OnInstanceEnded(process, now);
  if (!connection_lost || state == nullptr) return;
  const InstanceInfo& info = state->info();
  if (info.started_ms == attempt.instance_started_ms)
    prober_.Probe({info.id, info.address, info.port}, process);
}

void Forwarder::CancelAttempts(Exchange* it, AttemptOutcome outcome,
                               const char* reason, TimePoint now) {
  for (const Attempt& attempt : it->attempts) {
    FinishAttempt(*it, attempt, outcome, /*connection_lost=*/false, now);
    deps_.pool->Cancel(attempt.send_id);
    deps_.log->Request("attempt_cancelled", it->request_id)
        .Text("instance",
              ProcessName(attempt.instance, attempt.instance_started_ms))
        .Text("reason", reason)
        .Millis("took_ms", now - attempt.started_at);
  }
  it->attempts.clear();
}

void Forwarder::Respond(Exchange* it, const ReceivedMessage& response,
                        const std::string& instance) {
  CancelAttempts(it, AttemptOutcome::kCancelled, "answered", EventLoop::Now());
  const double bytes =
      kHeaderBytes +
      static_cast<double>(response.body.size() + it->request.body.size());
  mean_bytes_per_request_ += kMeanBytesGain * (bytes - mean_bytes_per_request_);
  if (!it->caller_disconnected) {
    HttpHeaders headers = ForwardableHeaders(response.headers);
    for (const std::string& name : deps_.header_names->instance_notices)
      headers.Remove(name);
    deps_.front->Reply(it->id, response.status, headers, response.body);
  }
  FinishExchange(it, "answered", response.status, instance);
}

void Forwarder::Refuse(Exchange* it, const Refusal& refusal) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  if (!it->request_id.empty())
    headers.Add(deps_.header_names->request_id, it->request_id);
  if (refusal.retry_after > Duration::zero()) {
    headers.Add(deps_.header_names->retry_after,
                fmt::format("{:.2f}", ToSeconds(refusal.retry_after)));
  }
  if (refusal.status == 503 && it->is_admitted)
    deps_.limiter->Return(it->workspace->name, EventLoop::Now());
  if (!it->caller_disconnected) {
    deps_.front->Reply(it->id, refusal.status, headers,
                       Body(fmt::format(R"({{"code":"{}"}})", refusal.code)));
  }
  FinishExchange(it, refusal.code, refusal.status, "");
}

void Forwarder::FinishExchange(Exchange* it, const char* result, int status,
                               const std::string& instance) {
  const TimePoint now = EventLoop::Now();
  const std::string service = it->placement_request.service.empty()
                                  ? "none"
                                  : it->placement_request.service;
  deps_.metrics->CountRequest(service, result, now - it->arrived_at);
  deps_.log->Request("request", it->request_id, it->is_logged)
      .Text("result", result)
      .Number("status", status)
      .Text("route", it->route == nullptr ? "" : it->route->name)
      .Text("workspace", it->WorkspaceName())
      .Text("instance", instance)
      .Number("sends", it->send_count)
      .Number("object",
              static_cast<int64_t>(it->placement_request.object >> 32))
      .Number("rank", static_cast<int64_t>(it->last_attempt.rank))
      .Flag("away", it->last_attempt.is_remote)
      .Flag("warm", it->last_attempt.is_warm)
      .Millis("expected_ms", it->last_attempt.expected_run_time +
                                 it->last_attempt.expected_wait)
      .Number("config", it->catalog == nullptr
                            ? 0
                            : static_cast<int64_t>(it->catalog->version()))
      .Millis("took_ms", now - it->arrived_at);
  if (it->limit_ticket != 0) {
    deps_.limiter->Cancel(it->limit_ticket);
    limit_tickets_.erase(it->limit_ticket);
  }
  shortage_.Cancel(it->id);
  exchanges_.erase(it->id);
}

}  // namespace rwf
