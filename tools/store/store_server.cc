#include "store/store_server.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace rwf {
namespace {

using std::chrono::milliseconds;

// JSON escapes may expand a value of maximum size to several times its length.
constexpr int64_t kMaxBodyBytes = 8 << 20;
constexpr size_t kMaxListEntries = 1000;

std::string Decode(const std::string& text) {
  size_t n = 0;
  char* raw = evhttp_uridecode(text.c_str(), 0, &n);
  if (raw == nullptr) return "";
  std::string out(raw, n);
  std::free(raw);
  return out;
}

// Returns the decoded rest of `path` after `prefix`, or an empty string if
// `path` does not begin with it.
std::string PathSuffix(const std::string& path, const char* prefix) {
  if (!path.starts_with(prefix)) return "";
  return Decode(path.substr(std::string(prefix).size()));
}

int64_t QueryInteger(const HttpRequest& request, const char* name,
                     int64_t fallback) {
  const std::string text = request.QueryValue(name);
  if (text.empty()) return fallback;
  char* end = nullptr;
  const int64_t out = std::strtoll(text.c_str(), &end, 10);
  return *end == '\0' && out >= 0 ? out : -1;
}

Json ErrorBody(const char* code, const std::string& message) {
  return Json{{"code", code}, {"message", message}};
}

}  // namespace

bool StoreServer::TokenBucket::TryAcquire(TimePoint now) {
  tokens = std::min(rate, tokens + rate * ToSeconds(now - updated_at));
  updated_at = now;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

StoreServer::StoreServer(EventLoop* loop, const StoreOptions& options)
    : loop_(loop),
      options_(options),
      writes_{options.writes_per_second, options.writes_per_second,
              EventLoop::Now()},
      reads_{options.reads_per_second, options.reads_per_second,
             EventLoop::Now()},
      server_(loop, HttpServerLimits{.max_body_bytes = kMaxBodyBytes},
              [this](const Exchange& exchange) { Handle(exchange); }) {}

StoreServer::~StoreServer() {
  delayed_timers_.clear();
  AbortWatches();
}

Result<uint16_t> StoreServer::Listen(const std::string& address,
                                     uint16_t port) {
  return server_.Listen(address, port);
}

void StoreServer::Handle(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  const std::string& path = request.path;
  const bool is_get = request.method == "GET";
  // Control calls of the test are not counted, limited or subject to faults.
  if (path == "/v1/fault" && request.method == "POST")
    return SetFault(exchange);
  if (path == "/v1/vms" && request.method == "POST") return SetVms(exchange);
  if (path == "/v1/stats" && is_get) return HandleStats(exchange);

  const std::string key = PathSuffix(path, "/v1/kv/");
  const std::string lease = PathSuffix(path, "/v1/lease/");
  const bool is_put = !key.empty() && request.method == "PUT";
  const bool is_lease = !lease.empty() && request.method == "POST";
  const bool is_write = is_put || is_lease;
  ++counters_[is_write ? "writes" : "reads"];
  if (FindActiveFault("down") != nullptr) {
    ++counters_["closed_by_fault"];
    return exchange->Abort();
  }
  if (!(is_write ? writes_ : reads_).TryAcquire(EventLoop::Now())) {
    ++counters_["limited"];
    return SendResponse(exchange, 429,
                        ErrorBody("rate-limited", "call rate above the limit"));
  }
  if (is_put) return HandlePut(exchange, key);
  if (is_lease) return HandleLease(exchange, lease);
  if (!key.empty() && is_get) return HandleGet(exchange, key);
  if (path == "/v1/list" && is_get) return HandleList(exchange);
  if (path == "/v1/vms" && is_get) return HandleVms(exchange);
  SendResponse(exchange, 404,
               ErrorBody("path-unknown", request.method + " " + path));
}

void StoreServer::HandleGet(const Exchange& exchange, const std::string& key) {
  const HttpRequest& request = exchange->request();
  const KvStore::Value value = store_.Get(key, ReadTimestamp());
  const int64_t wait_version = QueryInteger(request, "wait_version", -1);
  const int64_t timeout_ms = QueryInteger(request, "timeout_ms", 10000);
  if (!request.QueryValue("wait_version").empty()) {
    if (wait_version < 0 || timeout_ms < 0) {
      return SendResponse(
          exchange, 400,
          ErrorBody(
              "bad-request",
              "wait_version and timeout_ms must be non-negative integers"));
    }
    ++counters_["watches"];
    if (value.version <= wait_version) {
      watches_.push_back({exchange, key, wait_version, nullptr});
      const auto it = std::prev(watches_.end());
      it->timeout = loop_->After(
          std::min<Duration>(milliseconds(timeout_ms), kMaxWatchTimeout),
          [this, it] { CompleteWatch(it, false); });
      exchange->OnCallerDisconnect([this, it] {
        ++counters_["watches_left"];
        it->exchange->Abort();
        watches_.erase(it);
      });
      return;
    }
  }
  if (value.version == 0) {
    return SendResponse(exchange, 404, ErrorBody("key-unknown", key));
  }
  SendResponse(exchange, 200,
               Json{{"version", value.version}, {"value", value.text}});
}

void StoreServer::HandlePut(const Exchange& exchange, const std::string& key) {
  const int64_t expected = QueryInteger(exchange->request(), "version", -1);
  const Json body =
      Json::parse(exchange->request().body, nullptr, /*exceptions=*/false);
  if (expected < 0 || !body.is_object() || !body.contains("value") ||
      !body["value"].is_string()) {
    return SendResponse(
        exchange, 400,
        ErrorBody("bad-request", "version and value are required"));
  }
  std::string text = body["value"];
  if (text.size() > kMaxValueBytes) {
    return SendResponse(exchange, 413,
                        ErrorBody("too-large", "value larger than 1 MB"));
  }
  const KvStore::PutResult out =
      store_.Put(key, expected, std::move(text), EventLoop::Now());
  if (!out.is_written) {
    ++counters_["conflicts"];
    return SendWriteResponse(exchange, 409, Json{{"version", out.version}});
  }
  SendWriteResponse(exchange, 200, Json{{"version", out.version}});
  NotifyWatches(key);
}

void StoreServer::HandleList(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  const int64_t limit =
      QueryInteger(request, "limit", static_cast<int64_t>(kMaxListEntries));
  if (limit < 1) {
    return SendResponse(exchange, 400, ErrorBody("bad-request", "limit"));
  }
  Json keys = Json::array();
  for (const KvStore::ListEntry& it :
       store_.List(request.QueryValue("prefix"), request.QueryValue("after"),
                   std::min(static_cast<size_t>(limit), kMaxListEntries),
                   ReadTimestamp())) {
    keys.push_back({{"key", it.key},
                    {"version", it.value.version},
                    {"value", it.value.text}});
  }
  SendResponse(exchange, 200, Json{{"keys", keys}});
}

void StoreServer::HandleLease(const Exchange& exchange,
                              const std::string& name) {
  const Json body =
      Json::parse(exchange->request().body, nullptr, /*exceptions=*/false);
  std::vector<JsonProblem> problems;
  JsonReader reader(body, "", &problems);
  const std::string holder = reader.String("holder");
  const Duration ttl = milliseconds(reader.Integer("ttl_ms", 0, 600000, 0));
  const std::string action =
      reader.Choice("action", {"acquire", "renew", "release"});
  if (!problems.empty()) {
    return SendResponse(exchange, 400,
                        ErrorBody("bad-request", FormatProblems(problems)));
  }
  const TimePoint now = EventLoop::Now();
  KvStore::Lease lease;
  const bool holds =
      action == "acquire" ? store_.Acquire(name, holder, ttl, now, &lease)
      : action == "renew" ? store_.Renew(name, holder, ttl, now, &lease)
                          : store_.Release(name, holder, now, &lease);
  const int64_t left =
      lease.holder.empty()
          ? 0
          : std::max<int64_t>(0, ToMillis(lease.expires_at - now));
  SendWriteResponse(exchange, holds ? 200 : 409,
                    Json{{"holder", left > 0 ? lease.holder : ""},
                         {"ttl_ms", left},
                         {"fence", lease.fence}});
}

void StoreServer::HandleVms(const Exchange& exchange) {
  SendResponse(exchange, 200, Json{{"vms", visible_vms_}});
}

void StoreServer::SetVms(const Exchange& exchange) {
  const Json body =
      Json::parse(exchange->request().body, nullptr, /*exceptions=*/false);
  if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
    return exchange->Respond(JsonResponse(400, "{}"));
  }
  const uint64_t id = next_timer_id_++;
  delayed_timers_[id] =
      loop_->After(options_.vms_lag, [this, id, vms = body["vms"]] {
        visible_vms_ = vms;
        delayed_timers_.erase(id);
      });
  exchange->Respond(JsonResponse(200, "{}"));
}

void StoreServer::SetFault(const Exchange& exchange) {
  const Json body =
      Json::parse(exchange->request().body, nullptr, /*exceptions=*/false);
  std::vector<JsonProblem> problems;
  JsonReader reader(body, "", &problems);
  const std::string name =
      reader.Choice("name", {"down", "slow", "lose-answer", "stale", "none"});
  const int64_t value = reader.Integer("value", 0, 1 << 30, 0);
  const double seconds = reader.Number("seconds", 0, 1e6, 1e6);
  reader.Finish();
  if (!problems.empty()) {
    return exchange->Respond(JsonResponse(
        400, ErrorBody("bad-request", FormatProblems(problems)).dump()));
  }
  if (name == "none") {
    faults_.clear();
  } else {
    faults_[name] = {value, EventLoop::Now() + FromSeconds(seconds)};
  }
  if (name == "down") AbortWatches();
  exchange->Respond(JsonResponse(200, "{}"));
}

void StoreServer::HandleStats(const Exchange& exchange) {
  Json out = {{"reads", 0},           {"writes", 0},      {"watches", 0},
              {"limited", 0},         {"conflicts", 0},   {"watches_left", 0},
              {"closed_by_fault", 0}, {"lost_answers", 0}};
  for (const auto& [name, n] : counters_) out[name] = n;
  out["pending_watches"] = watches_.size();
  exchange->Respond(JsonResponse(200, out.dump()));
}

void StoreServer::SendResponse(const Exchange& exchange, int status,
                               const Json& body) {
  const HttpResponse response = JsonResponse(status, body.dump());
  const Fault* slow_fault = FindActiveFault("slow");
  if (slow_fault == nullptr) return exchange->Respond(response);
  const uint64_t id = next_timer_id_++;
  delayed_timers_[id] = loop_->After(milliseconds(slow_fault->value),
                                     [this, id, exchange, response] {
                                       exchange->Respond(response);
                                       delayed_timers_.erase(id);
                                     });
}

void StoreServer::SendWriteResponse(const Exchange& exchange, int status,
                                    const Json& body) {
  Fault* lose_answer = FindActiveFault("lose-answer");
  if (lose_answer == nullptr || lose_answer->value == 0) {
    return SendResponse(exchange, status, body);
  }
  --lose_answer->value;
  ++counters_["lost_answers"];
  exchange->Abort();
}

void StoreServer::CompleteWatch(std::list<Watch>::iterator it,
                                bool is_changed) {
  const Watch watch = std::move(*it);
  watches_.erase(it);
  // The response may be delayed, and the caller may disconnect meanwhile.
  watch.exchange->OnCallerDisconnect([] {});
  const KvStore::Value value = store_.Get(watch.key, ReadTimestamp());
  Json body = {{"version", value.version}};
  if (is_changed) {
    body["value"] = value.text;
  } else {
    body["unchanged"] = true;
  }
  SendResponse(watch.exchange, 200, body);
}

void StoreServer::NotifyWatches(const std::string& key) {
  const int64_t version = store_.Get(key, ReadTimestamp()).version;
  for (auto it = watches_.begin(); it != watches_.end();) {
    const auto next = std::next(it);
    if (it->key == key && version > it->version) CompleteWatch(it, true);
    it = next;
  }
}

void StoreServer::AbortWatches() {
  for (const Watch& it : std::exchange(watches_, {})) it.exchange->Abort();
}

StoreServer::Fault* StoreServer::FindActiveFault(const std::string& name) {
  const auto it = faults_.find(name);
  if (it == faults_.end() || it->second.expires_at <= EventLoop::Now())
    return nullptr;
  return &it->second;
}

TimePoint StoreServer::ReadTimestamp() {
  const Fault* stale_fault = FindActiveFault("stale");
  return EventLoop::Now() - (stale_fault == nullptr
                                 ? Duration::zero()
                                 : milliseconds(stale_fault->value));
}

}  // namespace rwf
