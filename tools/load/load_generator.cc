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

// Sizes in bytes: most responses are small, a few are documents.
constexpr std::array<int64_t, 10> kResponseSizes = {
    400, 400, 400, 400, 400, 600, 600, 2000, 8000, 65536};

Duration RetryAfter(const HttpResponse& response) {
  const std::string& text = response.headers.Get("Retry-After");
  return FromSeconds(std::max(0.0, std::strtod(text.c_str(), nullptr)));
}

// Returns true for refusals that another entry VM or a later attempt may avoid.
bool IsRetryableStatus(int status) {
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
    caller->rate = it.rate * options_.load_fraction;
    for (int64_t n = 0; n < options_.clients_per_workspace; ++n) {
      caller->client_addresses.push_back(plan_->RandomClientAddress(&random_));
    }
    callers_.push_back(std::move(caller));
  }
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  for (int64_t n = 0; n < options_.closed_loop_callers; ++n) {
    StartCall(callers_[static_cast<size_t>(n) % callers_.size()].get(), false);
  }
  if (options_.closed_loop_callers == 0) {
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
      poison_timer_ = loop_->Every(kPoisonInterval, [this] {
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
  std::exponential_distribution<double> interval(caller->rate);
  caller->next_arrival += FromSeconds(interval(random_));
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
    return SelectEntry(call, choices);
  }
  std::uniform_int_distribution<size_t> distribution(
      0, caller->client_addresses.size() - 1);
  call->client_address = caller->client_addresses[distribution(random_)];
  lookups_.Get(call->service->name, call->client_address,
               [this, id](const std::vector<EntryChoice>& choices) {
                 const auto it = calls_.find(id);
                 if (it != calls_.end()) SelectEntry(it->second.get(), choices);
               });
}

void LoadGenerator::BuildRequest(Call* call) {
  call->service = &PickWeighted(plan_->services);
  call->route = &PickWeighted(call->service->routes);
  if (call->record.is_poison) {
    // All poison requests use the same route, one whose requests have a body.
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
  std::uniform_int_distribution<size_t> distribution(0,
                                                     kResponseSizes.size() - 1);
  request.headers.Add("X-Load-Id", call->record.load_id);
  request.headers.Add("X-Load-Size",
                      std::to_string(kResponseSizes[distribution(random_)]));
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

void LoadGenerator::SelectEntry(Call* call,
                                const std::vector<EntryChoice>& choices) {
  call->choices = choices;
  if (choices.empty()) return FinishCall(call);
  // A look-up response lists entry VMs in order of preference. Direct callers
  // have no such order and spread over the instances.
  call->next_choice = 0;
  if (options_.is_direct) {
    const EntryChoice& first = PickWeighted(choices);
    call->next_choice = static_cast<size_t>(
        std::find_if(choices.begin(), choices.end(),
                     [&](const EntryChoice& it) { return &it == &first; }) -
        choices.begin());
  }
  SendAttempt(call->id);
}

void LoadGenerator::SendAttempt(uint64_t id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  call->retry_timer.reset();
  const TimePoint now = EventLoop::Now();
  const Duration left = call->deadline - now;
  if (left <= Duration::zero()) return FinishCall(call);
  const EntryChoice& vm =
      call->choices[call->next_choice++ % call->choices.size()];
  call->record.vm = vm.id;
  // Half of the remaining time is reserved for a retry.
  const bool is_last = call->record.attempts.size() + 1 >= kMaxAttempts;
  const Duration allowed = is_last ? left : left / 2;
  call->request.headers.Set(
      "X-Request-Timeout-Ms",
      std::to_string(std::max<int64_t>(1, ToMillis(allowed))));
  if (!call->route->is_idempotent) {
    // Only a request that is known not to have run may get a key of another
    // home VM.
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
      vm.target, call->request, allowed + kResponseGracePeriod,
      [this, id](const HttpOutcome& outcome) { HandleOutcome(id, outcome); });
}

AttemptResult LoadGenerator::Classify(Call* call, const HttpOutcome& outcome) {
  if (outcome.ec)
    return outcome.was_sent ? AttemptResult::kBroken
                            : AttemptResult::kConnectFailed;
  const HttpResponse& response = outcome.response;
  call->record.code = response.headers.Get("X-Refusal-Code");
  if (call->record.code == "in-progress") return AttemptResult::kInProgress;
  const std::string& reported_outcome = response.headers.Get("X-Outcome");
  if (reported_outcome == "not-run" ||
      (reported_outcome.empty() && response.headers.Has("X-Not-Run")))
    return AttemptResult::kNotRun;
  if (!reported_outcome.empty() || response.status >= 400) {
    if (call->record.code.empty())
      call->record.code = std::to_string(response.status);
    return AttemptResult::kUnknown;
  }
  call->record.code.clear();
  if (call->request.method == "HEAD") {
    call->record.response_body =
        ResponseBody{"", call->record.workspace, call->record.load_id};
  } else {
    call->record.response_body = ParseResponseBody(response.body);
  }
  return AttemptResult::kAnswered;
}

void LoadGenerator::HandleOutcome(uint64_t id, const HttpOutcome& outcome) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  const AttemptResult result = Classify(call, outcome);
  call->record.attempts.push_back(result);
  if (result != AttemptResult::kNotRun &&
      result != AttemptResult::kConnectFailed)
    call->may_have_run = true;
  if (result == AttemptResult::kNotRun && call->record.code == "rate-limited" &&
      call->is_within_rate) {
    call->record.was_limited_within_rate = true;
  }
  if (result == AttemptResult::kAnswered ||
      call->record.attempts.size() >= kMaxAttempts) {
    return FinishCall(call);
  }
  Duration retry_delay{};
  switch (result) {
    case AttemptResult::kNotRun:
      if (!IsRetryableStatus(outcome.response.status)) return FinishCall(call);
      retry_delay = RetryAfter(outcome.response);
      break;
    case AttemptResult::kInProgress:
      retry_delay = std::max(kInProgressDelay, RetryAfter(outcome.response));
      break;
    case AttemptResult::kUnknown:
      // A retry with the same key cannot run again. It helps only if the home
      // VM still holds the stored response.
      if (!IsRetryableStatus(outcome.response.status) &&
          outcome.response.status < 500)
        return FinishCall(call);
      retry_delay = RetryAfter(outcome.response);
      break;
    default:
      break;
  }
  ScheduleAttempt(call, retry_delay);
}

void LoadGenerator::ScheduleAttempt(Call* call, Duration retry_delay) {
  if (EventLoop::Now() + retry_delay >= call->deadline) return FinishCall(call);
  const uint64_t id = call->id;
  call->retry_timer =
      loop_->After(retry_delay, [this, id] { SendAttempt(id); });
}

void LoadGenerator::FinishCall(Call* call) {
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
  if (options_.closed_loop_callers > 0 && !is_poison) {
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
