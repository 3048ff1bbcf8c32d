#include "load/load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iterator>

#include "base/digest.h"
#include "net/net_error.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

// Most answers are small; a few are documents.
constexpr std::array<int64_t, 10> kAnswerSizes = {400, 400, 400,  400,  400,
                                                  600, 600, 2000, 8000, 65536};

Duration RetryAfter(const HttpResponse& response) {
  const std::string& text = response.headers.Get("Retry-After");
  return FromSeconds(std::max(0.0, std::strtod(text.c_str(), nullptr)));
}

// Refusals that another entry VM or a later attempt may lift.
bool IsWorthResending(int status) {
  return status == 429 || status == 503 || status == 409;
}

}  // namespace

LoadGenerator::LoadGenerator(EventLoop* loop, const LoadPlan* plan,
                             const LoadOptions& options, LoadLedger* ledger)
    : loop_(loop),
      plan_(plan),
      options_(options),
      ledger_(ledger),
      client_(loop,
              {.max_response_bytes = 32 << 20, .max_idle_per_target = 2048}),
      lookups_(&client_, plan),
      random_(options.seed),
      run_id_(ToHex(RandomBytes(4))) {
  for (const LoadPlan::Workspace& it : plan_->workspaces) {
    auto caller = std::make_unique<Caller>(
        Caller{&it, OfferedRate(it.rate, it.burst, EventLoop::Now())});
    caller->rate = it.rate * options_.load;
    for (int64_t n = 0; n < options_.clients_per_workspace; ++n) {
      caller->client_addresses.push_back(plan_->DrawAddress(&random_));
    }
    callers_.push_back(std::move(caller));
  }
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  for (int64_t n = 0; n < options_.closed_callers; ++n) {
    StartCall(callers_[static_cast<size_t>(n) % callers_.size()].get(), false);
  }
  if (options_.closed_callers == 0) {
    for (const auto& it : callers_) {
      it->next_arrival = EventLoop::Now();
      if (it->rate > 0) ScheduleArrival(it.get());
    }
  }
  if (!options_.hot_workspace.empty()) {
    hot_timer_ = loop_->After(options_.hot_after, [this] {
      for (const auto& it : callers_) {
        if (it->workspace->name == options_.hot_workspace)
          it->rate *= options_.hot_factor;
      }
    });
  }
  if (!options_.poison.empty()) {
    poison_timer_ = loop_->After(options_.poison_after, [this] {
      poison_timer_ = loop_->Every(kPoisonPeriod, [this] {
        if (!is_finishing_) StartCall(callers_.front().get(), true);
      });
    });
  }
}

void LoadGenerator::Finish(std::function<void()> on_done) {
  is_finishing_ = true;
  on_done_ = std::move(on_done);
  for (const auto& it : callers_) it->timer.reset();
  poison_timer_.reset();
  if (calls_.empty()) loop_->Post(std::exchange(on_done_, nullptr));
}

void LoadGenerator::ScheduleArrival(Caller* caller) {
  std::exponential_distribution<double> gap(caller->rate);
  caller->next_arrival += FromSeconds(gap(random_));
  caller->timer = loop_->After(
      std::max(Duration::zero(), caller->next_arrival - EventLoop::Now()),
      [this, caller] {
        StartCall(caller, false);
        ScheduleArrival(caller);
      });
}

void LoadGenerator::StartCall(Caller* caller, bool is_poison) {
  const uint64_t id = next_call_++;
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  calls_.emplace(id, std::move(owned));
  call->id = id;
  call->caller = caller;
  call->record.load_id = fmt::format("{}-{}", run_id_, id);
  call->record.workspace = caller->workspace->name;
  call->record.is_poison = is_poison;
  BuildRequest(call);
  call->started = EventLoop::Now();
  call->record.started_ms = EventLoop::WallNow().time_since_epoch().count();
  call->deadline =
      call->started + std::min(options_.timeout, call->route->max_timeout);
  if (options_.is_direct) {
    std::vector<EntryChoice> choices;
    for (const HttpTarget& it : call->service->upstreams) {
      choices.push_back({it.address, it});
    }
    return Choose(call, choices);
  }
  std::uniform_int_distribution<size_t> pick(
      0, caller->client_addresses.size() - 1);
  call->client_address = caller->client_addresses[pick(random_)];
  lookups_.Get(call->service->name, call->client_address,
               [this, id](const std::vector<EntryChoice>& choices) {
                 const auto it = calls_.find(id);
                 if (it != calls_.end()) Choose(it->second.get(), choices);
               });
}

void LoadGenerator::BuildRequest(Call* call) {
  call->service = &PickWeighted(plan_->services);
  call->route = &PickWeighted(call->service->routes);
  if (call->record.is_poison) {
    // The same request each time: a route whose requests have a body.
    for (const LoadPlan::Service& service : plan_->services) {
      for (const LoadPlan::Route& route : service.routes) {
        if (route.method == "GET" || route.method == "HEAD") continue;
        call->service = &service;
        call->route = &route;
      }
    }
  }
  call->record.service = call->service->name;
  call->record.is_idempotent = call->route->is_idempotent;
  call->record.is_open = call->route->is_open;
  const std::string item = call->record.is_poison
                               ? "poison"
                               : fmt::format("item-{}", call->id % 997);
  HttpRequest& request = call->request;
  request.method = call->route->method;
  request.path = (options_.is_direct ? "" : "/" + call->service->name) +
                 call->route->prefix +
                 (call->route->prefix.ends_with('/') ? "" : "/") + item;
  std::uniform_int_distribution<size_t> pick(0, kAnswerSizes.size() - 1);
  request.headers.Add("X-Load-Id", call->record.load_id);
  request.headers.Add("X-Load-Size",
                      std::to_string(kAnswerSizes[pick(random_)]));
  if (options_.is_direct) {
    request.headers.Add("X-Workspace", call->record.workspace);
  } else if (!call->route->is_open) {
    request.headers.Add("X-Api-Key", call->caller->workspace->key);
  }
  if (request.method == "GET" || request.method == "HEAD") return;
  request.headers.Add("Content-Type", "application/json");
  request.body = call->record.is_poison
                     ? Json{{"text", options_.poison}}.dump()
                     : Json{{"order", call->record.load_id}}.dump();
}

void LoadGenerator::Choose(Call* call,
                           const std::vector<EntryChoice>& choices) {
  call->choices = choices;
  if (choices.empty()) return EndCall(call);
  // A look-up answer is in the order of preference. Without a system in between
  // there is no order, and callers spread over the instances.
  call->next_choice = 0;
  if (options_.is_direct) {
    const EntryChoice& first = PickWeighted(choices);
    call->next_choice = static_cast<size_t>(
        std::find_if(choices.begin(), choices.end(),
                     [&](const EntryChoice& it) { return &it == &first; }) -
        choices.begin());
  }
  Attempt(call->id);
}

void LoadGenerator::Attempt(uint64_t id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  call->pause.reset();
  const TimePoint now = EventLoop::Now();
  const Duration left = call->deadline - now;
  if (left <= Duration::zero()) return EndCall(call);
  const EntryChoice& vm =
      call->choices[call->next_choice++ % call->choices.size()];
  call->record.vm = vm.id;
  // Half of the time that is left stays for a resend.
  const bool is_last = call->record.attempts.size() + 1 >= kMaxAttempts;
  const Duration allowed = is_last ? left : left / 2;
  call->request.headers.Set(
      "X-Request-Timeout-Ms",
      std::to_string(std::max<int64_t>(1, ToMillis(allowed))));
  if (!call->route->is_idempotent) {
    // Only a request that surely has not run may get a key of another home.
    if (call->idempotency_key.empty() || !call->may_have_run) {
      call->idempotency_key =
          fmt::format("{}.{:016x}", vm.idempotency_prefix, random_());
    }
    call->request.headers.Set("Idempotency-Key", call->idempotency_key);
  }
  // Requests on open routes belong to no workspace.
  if (!call->route->is_open)
    call->is_within_rate = call->caller->offered.Offer(now);
  client_.Send(
      vm.target, call->request, allowed + kGrace,
      [this, id](const HttpOutcome& outcome) { HandleOutcome(id, outcome); });
}

AttemptEnd LoadGenerator::Classify(Call* call, const HttpOutcome& outcome) {
  if (outcome.ec)
    return outcome.was_sent ? AttemptEnd::kBroken : AttemptEnd::kConnectFailed;
  const HttpResponse& response = outcome.response;
  call->record.code = response.headers.Get("X-Refusal-Code");
  if (call->record.code == "in-progress") return AttemptEnd::kInProgress;
  const std::string& told = response.headers.Get("X-Outcome");
  if (told == "not-run" || (told.empty() && response.headers.Has("X-Not-Run")))
    return AttemptEnd::kNotRun;
  if (!told.empty() || response.status >= 400) {
    if (call->record.code.empty())
      call->record.code = std::to_string(response.status);
    return AttemptEnd::kUnknown;
  }
  call->record.code.clear();
  if (call->request.method == "HEAD") {
    call->record.answer =
        AnswerBody{"", call->record.workspace, call->record.load_id};
  } else {
    call->record.answer = ReadAnswerBody(response.body);
  }
  return AttemptEnd::kAnswered;
}

void LoadGenerator::HandleOutcome(uint64_t id, const HttpOutcome& outcome) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  const AttemptEnd end = Classify(call, outcome);
  call->record.attempts.push_back(end);
  if (end != AttemptEnd::kNotRun && end != AttemptEnd::kConnectFailed)
    call->may_have_run = true;
  if (end == AttemptEnd::kNotRun && call->record.code == "rate-limited" &&
      call->is_within_rate) {
    call->record.was_limited_within_rate = true;
  }
  if (end == AttemptEnd::kAnswered ||
      call->record.attempts.size() >= kMaxAttempts) {
    return EndCall(call);
  }
  Duration pause{};
  switch (end) {
    case AttemptEnd::kNotRun:
      if (!IsWorthResending(outcome.response.status)) return EndCall(call);
      pause = RetryAfter(outcome.response);
      break;
    case AttemptEnd::kInProgress:
      pause = std::max(kInProgressPause, RetryAfter(outcome.response));
      break;
    case AttemptEnd::kUnknown:
      // A resend with the same key can't run again, but only an answer that
      // the home still holds would help.
      if (!IsWorthResending(outcome.response.status) &&
          outcome.response.status < 500)
        return EndCall(call);
      pause = RetryAfter(outcome.response);
      break;
    default:
      break;
  }
  AttemptAfter(call, pause);
}

void LoadGenerator::AttemptAfter(Call* call, Duration pause) {
  if (EventLoop::Now() + pause >= call->deadline) return EndCall(call);
  const uint64_t id = call->id;
  call->pause = loop_->After(pause, [this, id] { Attempt(id); });
}

void LoadGenerator::EndCall(Call* call) {
  call->record.latency_ms = ToSeconds(EventLoop::Now() - call->started) * 1000;
  call->record.ended_ms = EventLoop::WallNow().time_since_epoch().count();
  Caller* caller = call->caller;
  const bool is_poison = call->record.is_poison;
  ledger_->AddCall(std::move(call->record));
  calls_.erase(call->id);
  if (is_finishing_) {
    if (calls_.empty() && on_done_)
      loop_->Post(std::exchange(on_done_, nullptr));
    return;
  }
  if (options_.closed_callers > 0 && !is_poison) {
    loop_->Post([this, caller] {
      if (!is_finishing_) StartCall(caller, false);
    });
  }
}

template <typename T>
const T& LoadGenerator::PickWeighted(const std::vector<T>& all) {
  double total = 0;
  for (const T& it : all) total += it.weight;
  double at = std::uniform_real_distribution<double>(0, total)(random_);
  for (const T& it : all) {
    at -= it.weight;
    if (at < 0) return it;
  }
  return all.back();
}

}  // namespace rwf
