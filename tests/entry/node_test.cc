#include "entry/node.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <string>

#include "config/parser.h"
#include "config/sample.h"
#include "net/raw_server.h"
#include "store/store_server.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

constexpr char kSecret[] = "0123456789abcdef";

// Runs two entry VMs, a fake store and one upstream server on one event loop.
struct NodeFixture {
  EventLoop loop;
  StoreServer store{&loop, {}};
  HttpServer upstream{&loop, {}, [this](const auto& exchange) {
                        received_requests.push_back(exchange->request());
                        exchange->Respond(JsonResponse(200, "{}"));
                      }};
  HttpClient client{&loop, {}};
  std::vector<HttpRequest> received_requests;
  Json config = SampleConfig();
  std::vector<std::unique_ptr<Node>> nodes;

  NodeFixture() {
    const uint16_t store_port = store.Listen("127.0.0.1", 0).value();
    const uint16_t upstream_port = upstream.Listen("127.0.0.1", 0).value();
    config["generation"] = 1;
    config["moves"] = Json::array();
    config["drains"] = Json::array();
    config["withdrawn_keys"] = Json::array();
    config["entry_vms"].erase(2);
    config["workspaces"][0]["keys"] = {ToHex(Sha256("key"))};
    uint16_t port = 20080;
    for (Json& vm : config["entry_vms"]) {
      vm["address"] = "127.77.0.1";
      vm["caller_port"] = port++;
      vm["peer_port"] = port++;
      vm["operator_port"] = port++;
    }
    for (Json& service : config["services"]) {
      for (Json& it : service["upstreams"]) {
        it["address"] = fmt::format("127.0.0.{}", 100 + upstream_count++);
        it["port"] = upstream_port;
        upstream.Listen(it["address"], upstream_port).value();
      }
    }
    for (const Json& vm : config["entry_vms"]) {
      Settings settings;
      settings.vm = vm["id"];
      settings.zone = vm["zone"];
      settings.cluster = "test";
      settings.store = {"127.0.0.1", store_port};
      settings.fleet_secrets = {kSecret};
      settings.operator_token = "token";
      settings.address = vm["address"];
      settings.caller_port = vm["caller_port"];
      settings.peer_port = vm["peer_port"];
      settings.operator_port = vm["operator_port"];
      for (const Json& peer : config["entry_vms"]) {
        settings.seed_peers.push_back(
            {peer["id"], peer["address"], peer["peer_port"]});
      }
      nodes.push_back(std::make_unique<Node>(&loop, settings));
      REQUIRE(nodes.back()->Start().has_value());
    }
  }

  // Sends the request repeatedly until `is_done` accepts the response, for at
  // most 2000 polls. Returns the last response.
  HttpResponse CallUntil(
      uint16_t port, const HttpRequest& request,
      const std::function<bool(const HttpResponse&)>& is_done) {
    HttpResponse last;
    bool is_pending = false;
    int remaining_polls = 2000;
    const auto timer = loop.Every(milliseconds(5), [&] {
      if (is_pending) return;
      if (is_done(last) || --remaining_polls == 0) return loop.Stop();
      is_pending = true;
      client.Send({"127.77.0.1", port}, request, milliseconds(8000),
                  [&](const HttpOutcome& outcome) {
                    last = outcome.response;
                    is_pending = false;
                  });
    });
    loop.Run();
    return last;
  }

  void ApplyConfig() {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/config";
    request.headers.Add("Authorization", "Bearer token");
    request.body = Json{
        {"expected_generation", 0},
        {"operation_id", "op-1"},
        {"who", "test"},
        {"action", "apply"},
        {"config",
         config}}.dump();
    const HttpResponse applied = CallUntil(
        20082, request, [](const HttpResponse& it) { return it.status != 0; });
    REQUIRE_MESSAGE(applied.status == 200, applied.body);
  }

  int upstream_count = 0;
};

HttpRequest MakeGet(const std::string& path, const std::string& query = "") {
  HttpRequest out;
  out.method = "GET";
  out.path = path;
  out.query = query;
  return out;
}

// Guards against the failure detector ignoring links that came up before the
// first configuration. No heartbeats are then sent on them, the VMs stay
// unknown to each other, no share is confirmed, and every request is refused as
// rate-limited.
TEST_CASE_FIXTURE(
    NodeFixture,
    "Node, links up before first configuration, joins peers and serves") {
  for (const uint16_t port : {20080, 20083}) {
    CallUntil(port, MakeGet("/ready"),
              [](const HttpResponse& it) { return it.status == 503; });
  }
  ApplyConfig();
  for (const uint16_t port : {20080, 20083}) {
    const HttpResponse lookup =
        CallUntil(port, MakeGet("/v1/lookup", "service=desk"),
                  [](const HttpResponse& it) {
                    const Json body = Json::parse(it.body, nullptr, false);
                    return it.status == 200 && body["entry_vms"].size() == 2;
                  });
    CHECK(Json::parse(lookup.body)["entry_vms"].size() == 2);
  }
  HttpRequest request = MakeGet("/desk/status");
  request.headers.Add("X-Api-Key", "key");
  request.headers.Add("Authorization", "secret of the caller");
  const HttpResponse http_response = CallUntil(
      20080, request, [](const HttpResponse& it) { return it.status == 200; });
  CHECK(http_response.status == 200);
  CHECK_FALSE(http_response.headers.Has("X-Outcome"));

  // Credentials are not forwarded, and the service name is stripped from the
  // path.
  REQUIRE_FALSE(received_requests.empty());
  for (const HttpRequest& it : received_requests) {
    CHECK_FALSE(it.headers.Has("X-Api-Key"));
    CHECK_FALSE(it.headers.Has("Authorization"));
    if (it.path != "/status") CHECK(it.path == "/load");
  }
}

// Guards against an invalid request that harms the process or other callers
// instead of being refused.
TEST_CASE_FIXTURE(
    NodeFixture,
    "Node, invalid request, is refused with its code and outcome") {
  ApplyConfig();
  CallUntil(20080, MakeGet("/ready"),
            [](const HttpResponse& it) { return it.status == 200; });
  struct Row {
    const char* method;
    const char* path;
    std::map<std::string, std::string> headers;
    int status;
    const char* code;
  };
  const Row rows[] = {
      {"GET", "/none/status", {}, 404, "route-unknown"},
      {"GET", "/desk/statusx", {}, 404, "route-unknown"},
      {"DELETE", "/desk/status", {}, 404, "route-unknown"},
      {"GET", "/desk/status", {}, 401, "no-key"},
      {"GET", "/desk/status", {{"X-Api-Key", "other"}}, 401, "key-unknown"},
      {"GET",
       "/desk/status",
       {{"X-Api-Key", "key"}, {"X-Request-Timeout-Ms", "0"}},
       400,
       "bad-request"},
      {"GET",
       "/desk/status",
       {{"X-Api-Key", "key"}, {"X-Request-Timeout-Ms", "1s"}},
       400,
       "bad-request"},
      {"POST",
       "/desk/checks",
       {{"X-Api-Key", "key"}},
       428,
       "idempotency-key-required"},
      {"POST",
       "/desk/checks",
       {{"X-Api-Key", "key"}, {"Idempotency-Key", "x"}},
       400,
       "idempotency-key-invalid"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    HttpRequest request = MakeGet(row.path);
    request.method = row.method;
    for (const auto& [name, value] : row.headers)
      request.headers.Add(name, value);
    const HttpResponse http_response = CallUntil(
        20080, request, [](const HttpResponse& it) { return it.status != 0; });
    CHECK(http_response.status == row.status);
    CHECK(http_response.headers.Get("X-Refusal-Code") == row.code);
    CHECK(http_response.headers.Get("X-Outcome") == "not-run");
  }
  HttpRequest unauthorized = MakeGet("/v1/config");
  unauthorized.headers.Add("Authorization", "Bearer wrong");
  CHECK(CallUntil(20082, unauthorized, [](const HttpResponse& it) {
          return it.status != 0;
        }).status == 401);
}

}  // namespace
}  // namespace rwf
