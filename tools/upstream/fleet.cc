#include "upstream/fleet.h"

#include <cstdlib>

namespace rwf {
namespace {

using std::chrono::milliseconds;

constexpr double kUnlimitedSeconds = 1e6;

}  // namespace

Result<std::vector<InstanceOptions>> ReadInstances(
    const Json& list, const InstanceOptions& defaults) {
  std::vector<JsonProblem> problems;
  const Json document = {{"instances", list}};
  JsonReader root(document, "", &problems);
  std::vector<InstanceOptions> out;
  for (JsonReader& it : root.Objects("instances", /*required=*/true)) {
    InstanceOptions instance = defaults;
    instance.id = it.String("id");
    instance.address = it.String("address");
    instance.port = static_cast<uint16_t>(it.Integer("port", 0, 65535));
    instance.slots = it.Integer("slots", 1, 100000);
    instance.connections = it.Integer("connections", 0, 1000000, 0);
    instance.service_ms = it.Number("service_ms", 0, 60000);
    instance.service = it.String("service");
    // Each instance has its own service times, identical in every run.
    instance.seed = defaults.seed * 100003 + out.size();
    it.Finish();
    out.push_back(std::move(instance));
  }
  if (!problems.empty())
    return Fail(JsonErrc::kSchema, FormatProblems(problems));
  return out;
}

UpstreamFleet::UpstreamFleet(EventLoop* loop,
                             const std::vector<InstanceOptions>& instances)
    : admin_(loop, {},
             [this](const Exchange& exchange) { HandleAdmin(exchange); }) {
  for (const InstanceOptions& it : instances) {
    instances_.push_back(
        std::make_unique<UpstreamInstance>(loop, it, &ledger_));
  }
}

Result<uint16_t> UpstreamFleet::Start(const std::string& admin_address,
                                      uint16_t admin_port) {
  for (const auto& it : instances_) {
    if (auto port = it->Start(); !port) return port;
  }
  return admin_.Listen(admin_address, admin_port);
}

void UpstreamFleet::HandleAdmin(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  if (request.path == "/fault" && request.method == "POST")
    return SetFault(exchange);
  if (request.path == "/ledger" && request.method == "GET") {
    const std::string from = request.QueryValue("from");
    HttpResponse response;
    response.status = 200;
    response.headers.Add("Content-Type", "application/x-ndjson");
    response.body = ledger_.Lines(std::strtoull(from.c_str(), nullptr, 10),
                                  kLedgerPageSize);
    return exchange->Respond(response);
  }
  if (request.path == "/stats" && request.method == "GET") {
    return exchange->Respond(JsonResponse(200, Stats()));
  }
  exchange->Respond(JsonResponse(404, R"({"code":"path-unknown"})"));
}

void UpstreamFleet::SetFault(const Exchange& exchange) {
  const Json body = Json::parse(exchange->request().body, nullptr,
                                /*allow_exceptions=*/false);
  std::vector<JsonProblem> problems;
  JsonReader reader(body, "", &problems);
  const std::string target = reader.String("instance", "*");
  const std::string name = reader.String("name");
  UpstreamInstance::Fault fault;
  fault.value = reader.Integer("value", 0, 1 << 30, 100);
  fault.text = reader.String("text", "");
  fault.expires_at = EventLoop::Now() +
                     FromSeconds(reader.Number("seconds", 0, kUnlimitedSeconds,
                                               kUnlimitedSeconds));
  fault.restart_delay =
      milliseconds(reader.Integer("restart_ms", 0, 3600000, 2000));
  reader.Finish();
  if (problems.empty() && !UpstreamInstance::IsFault(name))
    reader.AddProblem("name", "unknown fault");
  int64_t matched = 0;
  if (problems.empty()) {
    for (const auto& it : instances_) {
      if (target != "*" && target != it->options().id &&
          target != it->options().service)
        continue;
      it->SetFault(name, fault);
      ++matched;
    }
    if (matched == 0)
      reader.AddProblem("instance", "no such instance or service");
  }
  if (!problems.empty()) {
    return exchange->Respond(JsonResponse(
        400,
        Json{{"code", "bad-request"}, {"message", FormatProblems(problems)}}
            .dump()));
  }
  exchange->Respond(JsonResponse(200, Json{{"instances", matched}}.dump()));
}

std::string UpstreamFleet::Stats() const {
  std::map<std::string, int64_t> total = {{"leaked_keys", 0}, {"requests", 0}};
  Json by_instance = Json::object();
  for (const auto& it : instances_) {
    by_instance[it->options().id] = it->counts();
    for (const auto& [name, n] : it->counts()) total[name] += n;
  }
  return Json{{"total", total}, {"instances", by_instance}}.dump();
}

}  // namespace rwf
