#include "gateway/forwarder.h"

#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>

#include "base/hash.h"
#include "gateway/answer_judge.h"

namespace rwf {
namespace {

// Time that a caller refused for want of a configuration or of fresh knowledge
// should wait: one round of the store watch.
constexpr Duration kRetryWhenUninformed = std::chrono::milliseconds(700);

// A deadline shorter than the longest of its route by this much is that of a
// caller who has waited already.
constexpr int64_t kReturningGapMs = 60;
// A caller refused by a VM that stops finds another one at once.
constexpr Duration kRetryWhenStopping = std::chrono::milliseconds(50);

int64_t ParseInteger(std::string_view text, int64_t fallback) {
  int64_t n = fallback;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && end == text.data() + text.size() ? n : fallback;
}

// Statuses by which this system promises that a request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

TimePoint BootTimeNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

Forwarder::Forwarder(ForwarderParts parts) : parts_(std::move(parts)) {}

Forwarder::~Forwarder() = default;

void Forwarder::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
}

void Forwarder::Handle(CallerId caller, ReceivedMessage request) {
  const TimePoint now = EventLoop::Now();
  ExchangePtr owned = std::make_unique<Exchange>();
  Exchange* it = owned.get();
  it->caller = caller;
  it->request = std::move(request);
  it->request_id = it->request.headers.Get(parts_.dialect->request_id);
  it->arrived = now;
  it->catalog = catalog_;
  exchanges_[caller] = std::move(owned);
  arrivals_.Add(now);
  if (catalog_ == nullptr) {
    Refuse(it, {503, "no-configuration", kRetryWhenUninformed});
    return;
  }
  if (is_stopping_) {
    Refuse(it, {503, "stopping", kRetryWhenStopping});
    return;
  }
  if (!FindRoute(it) || !CheckKey(it, now) || !CheckLimit(it, now)) return;
  Prepare(it, now);
  if (!CheckCrashes(it, now)) return;
  Duration retry_after{};
  const char* reason = "";
  if (!TrySend(it, &retry_after, &reason))
    Refuse(it, {503, reason, retry_after});
}

bool Forwarder::FindRoute(Exchange* it) {
  it->route = it->catalog->FindRoute(it->request.headers.Get("Host"),
                                     PathOf(it->request.target));
  if (it->route != nullptr) return true;
  Refuse(it, {404, "route-unknown", {}});
  return false;
}

bool Forwarder::CheckKey(Exchange* it, TimePoint) {
  if (it->catalog->workspaces().empty()) return true;
  const std::string& text = it->request.headers.Get(parts_.dialect->key);
  const std::string& scheme = parts_.dialect->key_scheme;
  const bool has_key =
      text.size() > scheme.size() + 1 &&
      strncasecmp(text.data(), scheme.data(), scheme.size()) == 0 &&
      text[scheme.size()] == ' ';
  if (it->route->open && !has_key) return true;
  // A key may have been withdrawn since the configuration was last confirmed.
  if (!it->route->open && !parts_.freshness->IsFresh(BootTimeNow())) {
    Refuse(it, {503, "stale-keys", kRetryWhenUninformed});
    return false;
  }
  if (has_key) {
    it->workspace = it->catalog->FindByKey(
        Sha256(std::string_view(text).substr(scheme.size() + 1)));
  }
  if (it->workspace != nullptr || it->route->open) return true;
  Refuse(it, {401, has_key ? "key-unknown" : "no-key", {}});
  return false;
}

bool Forwarder::CheckLimit(Exchange* it, TimePoint now) {
  if (it->workspace == nullptr) return true;
  if (parts_.limiter->TryAdmit(it->workspace->name, now)) return true;
  Refuse(it, {429, "rate-limited",
              parts_.limiter->RetryAfter(it->workspace->name, now)});
  return false;
}

void Forwarder::Prepare(Exchange* it, TimePoint now) {
  const TrafficRoute& route = *it->route;
  const int64_t deadline_ms =
      ParseInteger(it->request.headers.Get(parts_.dialect->deadline_ms),
                   ToMillis(kDefaultDeadline));
  Duration left = std::chrono::milliseconds(std::max<int64_t>(0, deadline_ms)) -
                  kDeadlineMargin;
  if (route.timeout > Duration::zero()) left = std::min(left, route.timeout);
  it->gives_up = now + std::max(left, Duration::zero());
  PlacementRequest& place = it->place;
  place.service = picker_.Pick(route);
  place.route = route.name;
  const std::string& object = it->request.headers.Get(parts_.dialect->object);
  if (!object.empty()) place.object = Hash64(object, 1) | 1;
  place.regions = IntersectRegions(route.allowed_regions,
                                   it->workspace == nullptr
                                       ? std::vector<std::string>{}
                                       : it->workspace->allowed_regions);
  place.objective = route.objective;
  place.idempotent = route.idempotent;
  place.has_large_responses = route.has_large_responses;
  place.priority = it->workspace != nullptr && it->workspace->priority >= 0
                       ? it->workspace->priority
                       : route.priority;
  // Callers that come back after a refusal have less time than at first.
  int64_t& longest = longest_deadline_ms_[route.name];
  longest = std::max(longest, deadline_ms);
  place.is_retry = deadline_ms < longest - kReturningGapMs;
  parts_.budget->OnRequest(place.service, now);
  const CallerId caller = it->caller;
  it->deadline_timer = parts_.loop->After(
      it->gives_up - now, [this, caller] { OnDeadline(caller); });
}

bool Forwarder::CheckCrashes(Exchange* it, TimePoint now) {
  it->fingerprint = CrashFingerprint(
      it->workspace == nullptr ? "" : it->workspace->name, it->request.method,
      it->request.target, it->request.body);
  if (!parts_.crashes->IsBlocked(it->fingerprint, now)) return true;
  // Not a promise: earlier attempts of the caller have run.
  Refuse(it, {502, "suspected-crash", {}});
  return false;
}

double Forwarder::ColdRate(const Exchange& it) const {
  const TrafficService* service = it.catalog->FindService(it.place.service);
  return service == nullptr ? 0 : service->cold_rate;
}

bool Forwarder::TrySend(Exchange* it, Duration* retry_after,
                        const char** reason) {
  const TimePoint now = EventLoop::Now();
  it->place.time_left = it->gives_up - now;
  const double cold_rate = ColdRate(*it);
  const size_t users = parts_.home_users();
  const PlacementChoice choice =
      parts_.placement->Choose(it->place, cold_rate, users, now);
  if (choice.instance == nullptr) {
    *retry_after = choice.retry_after;
    parts_.log->Request("no_place", it->request_id)
        .Text("service", it->place.service)
        .Real("home_load", choice.local_load)
        .Real("away_load", choice.remote_load)
        .Millis("left_ms", it->place.time_left)
        .Number("priority", it->place.priority);
    *reason = choice.reason == PlacementRefusal::kNoCapacity ? "overloaded"
                                                             : "no-upstream";
    return false;
  }
  parts_.placement->OnSent(it->place, choice, cold_rate, users, now);
  const InstanceInfo& info = choice.instance->info();
  Attempt attempt;
  attempt.id = next_attempt_++;
  attempt.instance = info.id;
  attempt.at = now;
  attempt.expected = choice.expected;
  attempt.is_warm = choice.is_warm;
  attempt.rank = choice.rank;
  attempt.is_away = choice.is_remote;
  choice.instance->OnSent(attempt.id, it->place.object, choice.healthy_latency,
                          now);
  parts_.crashes->OnSent(info.id, it->fingerprint);
  attempt.waiting = choice.expected_total - choice.expected;
  it->place.tried.push_back(info.id);
  ++it->sends;
  UpstreamPool::Request request;
  request.bytes = RequestBytes(*it, info.id, it->place.time_left);
  request.request_id = it->request_id;
  request.id_header = parts_.dialect->request_id;
  request.is_head = it->request.method == "HEAD";
  request.may_repeat = it->route->idempotent;
  const CallerId caller = it->caller;
  const uint64_t id = attempt.id;
  attempt.send =
      parts_.pool->Send({info.id, info.address, info.port}, std::move(request),
                        [this, caller, id](const SendResult& result) {
                          OnResult(caller, id, result);
                        });
  it->attempts.push_back(std::move(attempt));
  if (it->route->idempotent) ArmHedge(it, choice);
  return true;
}

std::string Forwarder::RequestBytes(const Exchange& it,
                                    const std::string& instance,
                                    Duration left) const {
  const Dialect& dialect = *parts_.dialect;
  HttpHeaders headers = ForwardableHeaders(it.request.headers);
  headers.Remove(dialect.key);
  headers.Remove(dialect.workspace);
  headers.Set(dialect.deadline_ms,
              fmt::format("{}", std::max<int64_t>(1, ToMillis(left))));
  headers.Set(dialect.expected_instance, instance);
  if (it.workspace != nullptr)
    headers.Set(dialect.workspace, it.workspace->name);
  return SerializeRequest(it.request.method, it.request.target, headers,
                          it.request.body);
}

void Forwarder::ArmHedge(Exchange* it, const PlacementChoice& choice) {
  it->hedge_timer.reset();
  if (it->sends >= it->route->max_attempts) return;
  const Duration delay =
      std::max(kLeastHedgeDelay,
               FromSeconds(ToSeconds(choice.expected_total) * kHedgeFactor));
  const CallerId caller = it->caller;
  it->hedge_timer =
      parts_.loop->After(delay, [this, caller] { OnHedge(caller); });
}

void Forwarder::OnHedge(CallerId caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  it->hedge_timer.reset();
  const TimePoint now = EventLoop::Now();
  if (it->sends >= it->route->max_attempts) return;
  if (parts_.budget->UsedFraction(it->place.service, now) > kHedgeBudgetShare)
    return;
  if (!parts_.budget->TryAcquire(it->place.service, now)) return;
  Duration retry_after{};
  const char* reason = "";
  if (TrySend(it, &retry_after, &reason)) {
    parts_.metrics->CountRetry();
    parts_.log->Request("second_attempt", it->request_id)
        .Text("slow_instance", it->attempts.front().instance)
        .Text("instance", it->attempts.back().instance)
        .Millis("after_ms", now - it->arrived);
  }
}

void Forwarder::NoteReport(const std::string& instance,
                           const ReceivedMessage& answer, TimePoint now) {
  InstanceState* state = parts_.board->Find(instance);
  if (state == nullptr) return;
  const std::string& text = answer.headers.Get(parts_.dialect->load);
  std::array<int64_t, 2> load{};
  const char* at = text.data();
  const char* end = at + text.size();
  for (int64_t& it : load) {
    const auto [next, ec] = std::from_chars(at, end, it);
    if (ec != std::errc() || next == end) return;
    at = next + 1;
  }
  state->OnReport(load[0], load[1], now);
}

void Forwarder::OnResult(CallerId caller, uint64_t attempt_id,
                         const SendResult& result) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  const TimePoint now = EventLoop::Now();
  const auto at =
      std::find_if(it->attempts.begin(), it->attempts.end(),
                   [&](const Attempt& a) { return a.id == attempt_id; });
  if (at == it->attempts.end()) return;
  const Attempt attempt = *at;
  it->attempts.erase(at);
  it->last = attempt;
  const AttemptOutcome end =
      JudgeAnswer(*parts_.dialect, it->request_id, result);
  InstanceState* state = parts_.board->Find(attempt.instance);
  // A kept connection that the instance closed says nothing of its health.
  const bool is_stale_connection = end == AttemptOutcome::kBroken &&
                                   result.was_reused &&
                                   !result.has_answer_begun;
  EndAttempt(*it, attempt,
             is_stale_connection ? AttemptOutcome::kCancelled : end, now);
  if (result.end == SendEnd::kAnswered)
    NoteReport(attempt.instance, result.answer, now);
  if (end == AttemptOutcome::kSucceeded) {
    parts_.placement->OnResponse(it->route->name, result.answer.body.size());
    if (it->place.object != 0 && state != nullptr && !state->IsCold(now)) {
      parts_.placement->service_times()->OnResponse(
          it->route->name, it->route->objective,
          attempt.is_warm ? ServiceTimeModel::Warmth::kWarm
                          : ServiceTimeModel::Warmth::kUncertain,
          now - attempt.at - attempt.waiting);
    }
    Answer(it, result.answer, attempt.instance);
    return;
  }
  const bool is_not_run = end == AttemptOutcome::kConnectFailed ||
                          end == AttemptOutcome::kShed ||
                          end == AttemptOutcome::kMisdirected;
  if (!is_not_run) it->may_have_run = true;
  if (end == AttemptOutcome::kConnectFailed) {
    --it->sends;
    ++it->connect_failures;
  }
  parts_.metrics->CountUpstreamFailure(AttemptOutcomeName(end));
  parts_.log->Request("attempt_failed", it->request_id)
      .Text("instance", attempt.instance)
      .Text("cause", AttemptOutcomeName(end))
      .Number("status", result.answer.status)
      .Flag("kept_connection", result.was_reused)
      .Millis("took_ms", now - attempt.at)
      .Real("load", state == nullptr ? -1 : state->LoadAt(now));
  AfterFailure(it, end, result);
}

bool Forwarder::TakeFromBudget(const Exchange& it, TimePoint now) {
  const bool may_return = !it.may_have_run && !it.place.is_retry;
  if (may_return && parts_.budget->UsedFraction(it.place.service, now) >
                        kFirstRefusalBudgetShare)
    return false;
  return parts_.budget->TryAcquire(it.place.service, now);
}

void Forwarder::AfterFailure(Exchange* it, AttemptOutcome end,
                             const SendResult& result) {
  // Another attempt is still under way.
  if (!it->attempts.empty()) return;
  if (it->has_left) {
    End(it, "caller-left", 0, "");
    return;
  }
  const TimePoint now = EventLoop::Now();
  const bool may_send_again =
      (it->route->idempotent || !it->may_have_run) &&
      it->sends < std::max(1, it->route->max_attempts) &&
      it->connect_failures < kMaxConnectFailures && now < it->gives_up;
  Duration retry_after{};
  const char* reason = "overloaded";
  if (may_send_again && (it->sends == 0 || TakeFromBudget(*it, now)) &&
      TrySend(it, &retry_after, &reason)) {
    parts_.metrics->CountRetry();
    return;
  }
  if (end == AttemptOutcome::kInstanceError &&
      !IsPromise(result.answer.status)) {
    Answer(it, result.answer, "");
    return;
  }
  if (!it->may_have_run) {
    const Duration wait =
        std::max<Duration>(retry_after, std::chrono::milliseconds(150));
    Refuse(it, {503, reason, wait});
    return;
  }
  Refuse(it, {502, "upstream-failed", {}});
}

void Forwarder::OnDeadline(CallerId caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  const TimePoint now = EventLoop::Now();
  const bool is_sent = !it->attempts.empty() || it->may_have_run;
  for (const Attempt& attempt : it->attempts) {
    EndAttempt(*it, attempt, AttemptOutcome::kTimedOut, now);
    parts_.pool->Cancel(attempt.send);
  }
  it->attempts.clear();
  if (is_sent) {
    Refuse(it, {504, "deadline", {}});
  } else {
    Refuse(it, {503, "overloaded", std::chrono::milliseconds(200)});
  }
}

void Forwarder::OnCallerLeft(CallerId caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) return;
  Exchange* it = found->second.get();
  it->has_left = true;
  it->hedge_timer.reset();
  // A run that must not be repeated is let finish: its caller may look for the
  // effect later.
  if (!it->route->idempotent && !it->attempts.empty()) return;
  CancelAttempts(it);
  End(it, "caller-left", 0, "");
}

void Forwarder::EndAttempt(const Exchange& it, const Attempt& attempt,
                           AttemptOutcome end, TimePoint now) {
  InstanceState* state = parts_.board->Find(attempt.instance);
  if (state != nullptr) state->OnEnded(attempt.id, end, now);
  parts_.crashes->OnEnded(attempt.instance, it.fingerprint,
                          end == AttemptOutcome::kSucceeded,
                          end == AttemptOutcome::kBroken, now);
  if (end == AttemptOutcome::kConnectFailed)
    parts_.crashes->OnInstanceEnded(attempt.instance, now);
}

void Forwarder::CancelAttempts(Exchange* it) {
  const TimePoint now = EventLoop::Now();
  for (const Attempt& attempt : it->attempts) {
    EndAttempt(*it, attempt, AttemptOutcome::kCancelled, now);
    parts_.pool->Cancel(attempt.send);
  }
  it->attempts.clear();
}

void Forwarder::Answer(Exchange* it, const ReceivedMessage& answer,
                       const std::string& instance) {
  CancelAttempts(it);
  const double bytes =
      kHeadBytes +
      static_cast<double>(answer.body.size() + it->request.body.size());
  mean_bytes_ += kBytesGain * (bytes - mean_bytes_);
  if (!it->has_left) {
    parts_.front->Reply(it->caller, answer.status,
                        ForwardableHeaders(answer.headers), answer.body);
  }
  End(it, "answered", answer.status, instance);
}

void Forwarder::Refuse(Exchange* it, const Refusal& refusal) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  if (!it->request_id.empty())
    headers.Add(parts_.dialect->request_id, it->request_id);
  if (refusal.retry_after > Duration::zero()) {
    headers.Add(parts_.dialect->retry_after,
                fmt::format("{:.2f}", ToSeconds(refusal.retry_after)));
  }
  if (refusal.status == 503 && it->workspace != nullptr)
    parts_.limiter->Refund(it->workspace->name);
  if (!it->has_left) {
    parts_.front->Reply(it->caller, refusal.status, headers,
                        fmt::format(R"({{"code":"{}"}})", refusal.code));
  }
  End(it, refusal.code, refusal.status, "");
}

void Forwarder::End(Exchange* it, const char* result, int status,
                    const std::string& instance) {
  const TimePoint now = EventLoop::Now();
  const std::string service =
      it->place.service.empty() ? "none" : it->place.service;
  parts_.metrics->CountRequest(service, result, now - it->arrived);
  parts_.log->Request("request", it->request_id)
      .Text("result", result)
      .Number("status", status)
      .Text("route", it->route == nullptr ? "" : it->route->name)
      .Text("workspace", it->workspace == nullptr ? "" : it->workspace->name)
      .Text("instance", instance)
      .Number("sends", it->sends)
      .Number("object", static_cast<int64_t>(it->place.object >> 32))
      .Number("rank", static_cast<int64_t>(it->last.rank))
      .Flag("away", it->last.is_away)
      .Flag("warm", it->last.is_warm)
      .Millis("expected_ms", it->last.expected + it->last.waiting)
      .Number("config", it->catalog == nullptr
                            ? 0
                            : static_cast<int64_t>(it->catalog->version()))
      .Millis("took_ms", now - it->arrived);
  const CallerId caller = it->caller;
  exchanges_.erase(caller);
}

}  // namespace rwf
