#include "upstream/instance.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "common/response_body.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kMaxBodyBytes = 8 << 20;
constexpr size_t kMaxResponseBytes = 16 << 20;

constexpr std::array<const char*, 12> kFaultNames = {
    "none",       "draining",          "shed",  "misleading-load",
    "stale-load", "misleading-health", "crash", "crash-on-marker",
    "late",       "truncate",          "extra", "slow"};

int64_t HeaderInteger(const HttpRequest& request, const char* name,
                      int64_t fallback) {
  const std::string& text = request.headers.Get(name);
  if (text.empty()) return fallback;
  return std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace

UpstreamInstance::UpstreamInstance(EventLoop* loop, InstanceOptions options,
                                   RunLedger* ledger)
    : loop_(loop),
      options_(std::move(options)),
      ledger_(ledger),
      random_(options_.seed),
      sample_timer_(
          loop->Every(kLoadSampleInterval, [this] { SampleLoad(); })) {}

UpstreamInstance::~UpstreamInstance() {
  while (!active_runs_.empty())
    AbortRun(active_runs_.begin()->first, RunState::kAborted);
}

Result<uint16_t> UpstreamInstance::Start() {
  server_ = std::make_unique<HttpServer>(
      loop_, HttpServerLimits{.max_body_bytes = kMaxBodyBytes},
      [this](const Exchange& exchange) { Handle(exchange); });
  last_request_ = TimePoint{};
  Result<uint16_t> port = server_->Listen(options_.address, options_.port);
  // A restart listens on the same port.
  if (port) options_.port = *port;
  return port;
}

bool UpstreamInstance::IsFault(const std::string& name) {
  return std::find(kFaultNames.begin(), kFaultNames.end(), name) !=
         kFaultNames.end();
}

void UpstreamInstance::SetFault(const std::string& name, const Fault& fault) {
  if (name == "none") {
    faults_.clear();
  } else if (name == "crash") {
    Crash(fault.restart_delay);
  } else {
    faults_[name] = fault;
  }
}

void UpstreamInstance::Handle(const Exchange& exchange) {
  // A crashed server still delivers requests that it has read until it is
  // destroyed.
  if (restart_timer_ != nullptr) return exchange->Abort();
  const HttpRequest& request = exchange->request();
  if (request.path == "/health") return HandleHealth(exchange);
  if (request.path == "/load") return HandleLoad(exchange);
  ++counters_["requests"];
  if (request.headers.Has("X-Api-Key") ||
      request.headers.Has("Authorization")) {
    ++counters_["leaked_keys"];
    HttpResponse refusal = JsonResponse(400, R"({"code":"leaked-key"})");
    refusal.headers.Add("X-Request-Id", request.headers.Get("X-Request-Id"));
    return exchange->Respond(refusal);
  }
  if (options_.connections > 0 &&
      server_->connections() > static_cast<size_t>(options_.connections)) {
    return Refuse(exchange, "over_connections");
  }
  if (FindActiveFault("draining") != nullptr) {
    return Refuse(exchange, "refused_draining");
  }
  const Fault* shed = FindActiveFault("shed");
  if (shed != nullptr && RandomChance(shed->value))
    return Refuse(exchange, "shed");
  if (in_flight_ >= options_.slots) return Refuse(exchange, "over_slots");
  StartRun(exchange);
}

void UpstreamInstance::HandleHealth(const Exchange& exchange) {
  const Fault* misleading = FindActiveFault("misleading-health");
  const bool is_draining = FindActiveFault("draining") != nullptr;
  const bool is_healthy =
      misleading == nullptr ? !is_draining : misleading->value != 0;
  const char* status = is_healthy ? "ok" : is_draining ? "draining" : "failing";
  exchange->Respond(
      JsonResponse(is_healthy ? 200 : 503, Json{{"status", status},
                                                {"instance", options_.id},
                                                {"service", options_.service}}
                                               .dump()));
}

void UpstreamInstance::HandleLoad(const Exchange& exchange) {
  const TimePoint now = EventLoop::Now();
  LoadSample sample{now, in_flight_};
  for (const LoadSample& it : samples_) {
    if (it.sampled_at <= now - options_.load_lag) sample = it;
  }
  const Fault* misleading = FindActiveFault("misleading-load");
  exchange->Respond(JsonResponse(
      200, Json{{"instance", options_.id},
                {"in_flight",
                 misleading == nullptr ? sample.in_flight : misleading->value},
                {"slots", options_.slots},
                {"draining", FindActiveFault("draining") != nullptr},
                {"age_ms", ToMillis(now - sample.sampled_at)}}
               .dump()));
}

void UpstreamInstance::Refuse(const Exchange& exchange, const char* counter) {
  ++counters_[counter];
  HttpResponse response = JsonResponse(
      503, Json{{"code", counter}, {"instance", options_.id}}.dump());
  response.headers.Add("X-Not-Run", "1");
  const std::string& id = exchange->request().headers.Get("X-Request-Id");
  if (!id.empty()) response.headers.Add("X-Request-Id", id);
  if (std::string(counter) == "over_connections") {
    response.headers.Add("Connection", "close");
  }
  exchange->Respond(response);
}

void UpstreamInstance::StartRun(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  const uint64_t id = next_run_id_++;
  ActiveRun& run = active_runs_[id];
  run.exchange = exchange;
  run.ledger_index = ledger_->Begin(
      {request.headers.Get("X-Load-Id"), options_.id,
       request.headers.Get("X-Workspace"), request.method, request.path,
       EventLoop::WallNow().time_since_epoch().count()});
  ++in_flight_;
  const Fault* marker = FindActiveFault("crash-on-marker");
  if (marker != nullptr && !marker->text.empty() &&
      request.body.find(marker->text) != std::string::npos) {
    return Crash(marker->restart_delay);
  }
  const Duration service_time = DrawServiceTime();
  const Duration time_limit =
      milliseconds(HeaderInteger(request, "X-Request-Timeout-Ms", 600000));
  exchange->OnCallerDisconnect([this, id] {
    ++counters_["cancelled"];
    AbortRun(id, RunState::kCancelled);
  });
  if (time_limit < service_time && FindActiveFault("late") == nullptr) {
    run.timer = loop_->After(time_limit, [this, id] {
      ++counters_["deadline_passed"];
      active_runs_.at(id).exchange->Respond(
          JsonResponse(504, R"({"code":"deadline"})"));
      AbortRun(id, RunState::kAborted);
    });
    return;
  }
  run.timer = loop_->After(service_time, [this, id] { FinishRun(id); });
}

void UpstreamInstance::FinishRun(uint64_t id) {
  ActiveRun& run = active_runs_.at(id);
  ++counters_["completed"];
  ledger_->End(run.ledger_index, RunState::kCompleted);
  run.holds_slot = false;
  --in_flight_;
  const auto send = [this, id] {
    const Exchange exchange = active_runs_.at(id).exchange;
    active_runs_.erase(id);
    SendResponse(exchange);
  };
  const Fault* late = FindActiveFault("late");
  if (late == nullptr) return send();
  // Keeps the connection of a caller that has left, so that the late response
  // is written to it.
  run.exchange->OnCallerDisconnect([] {});
  run.timer = loop_->After(milliseconds(late->value), send);
}

void UpstreamInstance::SendResponse(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  const int64_t size = std::clamp<int64_t>(
      HeaderInteger(request, "X-Load-Size", 0), 0, kMaxResponseBytes);
  HttpResponse response;
  response.status = 200;
  response.headers.Add("Content-Type", "text/plain");
  const std::string& request_id = request.headers.Get("X-Request-Id");
  if (!request_id.empty()) response.headers.Add("X-Request-Id", request_id);
  response.body =
      FormatResponseBody({options_.id, request.headers.Get("X-Workspace"),
                          request.headers.Get("X-Load-Id")},
                         static_cast<size_t>(size));
  const Fault* truncate = FindActiveFault("truncate");
  const Fault* extra = FindActiveFault("extra");
  if (truncate != nullptr && RandomChance(truncate->value)) {
    ++counters_["truncated"];
    response.headers.Add("Content-Length",
                         std::to_string(response.body.size()));
    response.headers.Add("Connection", "close");
    response.body.resize(response.body.size() / 2);
  } else if (extra != nullptr && RandomChance(extra->value)) {
    ++counters_["extra"];
    response.headers.Add("Content-Length",
                         std::to_string(response.body.size()));
    response.body += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  }
  exchange->Respond(response);
}

void UpstreamInstance::AbortRun(uint64_t id, RunState state) {
  const auto it = active_runs_.find(id);
  const ActiveRun run = std::move(it->second);
  active_runs_.erase(it);
  if (run.holds_slot) {
    --in_flight_;
    ledger_->End(run.ledger_index, state);
  }
  run.exchange->Abort();
}

void UpstreamInstance::Crash(Duration restart_delay) {
  ++counters_["crashes"];
  Log(LogLevel::kWarning, "crash", "instance={} restart_ms={}", options_.id,
      ToMillis(restart_delay));
  while (!active_runs_.empty())
    AbortRun(active_runs_.begin()->first, RunState::kAborted);
  // Destroys the server later, because it is in use further up the stack when a
  // request causes the crash.
  if (server_ != nullptr) server_->StopListening();
  loop_->Post([this] { server_.reset(); });
  restart_timer_ = loop_->After(restart_delay, [this] {
    restart_timer_.reset();
    if (const auto port = Start(); !port) {
      Log(LogLevel::kError, "restart_failed", "instance={} {}", options_.id,
          port.error().message);
    }
  });
}

Duration UpstreamInstance::DrawServiceTime() {
  const TimePoint now = EventLoop::Now();
  if (last_request_ == TimePoint{} || now - last_request_ > kWarmRetention) {
    warm_at_ = now + options_.warm_up_time;
  }
  last_request_ = now;
  std::lognormal_distribution<double> spread(0, options_.sigma);
  double ms = options_.service_ms * spread(random_);
  if (now < warm_at_) ms *= options_.cold_factor;
  const Fault* slow = FindActiveFault("slow");
  if (slow != nullptr) ms *= static_cast<double>(slow->value);
  return FromSeconds(ms / 1000);
}

bool UpstreamInstance::RandomChance(int64_t percent) {
  return std::uniform_int_distribution<int64_t>(0, 99)(random_) < percent;
}

UpstreamInstance::Fault* UpstreamInstance::FindActiveFault(
    const std::string& name) {
  const auto it = faults_.find(name);
  if (it == faults_.end() || it->second.expires_at <= EventLoop::Now())
    return nullptr;
  return &it->second;
}

void UpstreamInstance::SampleLoad() {
  if (FindActiveFault("stale-load") != nullptr) return;
  const TimePoint now = EventLoop::Now();
  samples_.push_back({now, in_flight_});
  while (samples_.size() > 1 &&
         samples_[1].sampled_at <= now - options_.load_lag) {
    samples_.pop_front();
  }
}

}  // namespace rwf
