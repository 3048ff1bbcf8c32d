#include "load/load_generator.h"

#include <doctest/doctest.h>

#include "net/http_server.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

// Two entry VMs. Callers prefer the first, which returns a scripted response;
// the second responds like a working system.
struct Fixture {
  EventLoop loop;
  HttpResponse scripted;  // status 0: the connection is closed
  std::vector<std::string> keys;
  HttpServer first{
      &loop, {}, [this](const std::shared_ptr<HttpExchange>& it) {
        if (it->request().path == "/v1/lookup") return LookUp(it);
        keys.push_back(it->request().headers.Get("Idempotency-Key"));
        if (scripted.status == 0) return it->Abort();
        it->Respond(scripted);
      }};
  HttpServer second{
      &loop, {}, [this](const std::shared_ptr<HttpExchange>& it) {
        if (it->request().path == "/v1/lookup") return LookUp(it);
        keys.push_back(it->request().headers.Get("Idempotency-Key"));
        RespondWithBody(it);
      }};
  uint16_t first_port = first.Listen("127.0.0.1", 0).value();
  uint16_t second_port = second.Listen("127.0.0.1", 0).value();
  LoadPlan plan;
  LoadLedger ledger;

  Fixture() {
    LoadPlan::Service service;
    service.name = "s";
    service.weight = 1;
    service.routes = {{"POST", "/orders", false, false, milliseconds(2000), 1}};
    plan.services = {service};
    plan.workspaces = {{"w", 100, 100, "key"}};
    plan.entry_vms = {{"b", {"127.0.0.1", second_port}}};
  }
  void LookUp(const std::shared_ptr<HttpExchange>& exchange) const {
    const auto vm = [](const char* id, uint16_t port, int weight) {
      return Json{{"id", id},
                  {"address", "127.0.0.1"},
                  {"port", port},
                  {"weight", weight},
                  {"idempotency_prefix", id}};
    };
    exchange->Respond(JsonResponse(
        200,
        Json{{"generation", 1},
             {"ttl_ms", 5000},
             {"entry_vms", {vm("a", first_port, 1), vm("b", second_port, 0)}}}
            .dump()));
  }
  static void RespondWithBody(const std::shared_ptr<HttpExchange>& exchange) {
    HttpResponse response;
    response.status = 200;
    response.body = FormatResponseBody(
        {"u", "w", exchange->request().headers.Get("X-Load-Id")}, 0);
    exchange->Respond(response);
  }
  // Sends one request; returns its line in the log.
  Json SendOne() {
    LoadGenerator generator(&loop, &plan, {.closed_loop_callers = 1}, &ledger);
    generator.Start();
    generator.Finish([this] { loop.Stop(); });
    loop.Run();
    const std::string lines = ledger.Lines();
    return Json::parse(lines.substr(lines.rfind('\n', lines.size() - 2) + 1));
  }
};

// Guards against retries that do not follow docs/INTERFACES.md, which would
// hide or cause duplicates.
TEST_CASE_FIXTURE(Fixture,
                  "LoadGenerator, first attempt fails, retries as documented") {
  struct Row {
    std::string name;
    int status;
    const char* outcome;
    const char* code;
    std::vector<std::string> attempts;
    bool keeps_key;  // of the second attempt
  };
  const Row rows[] = {
      {"limited",
       429,
       "not-run",
       "rate-limited",
       {"not-run", "answered"},
       false},
      {"overloaded",
       503,
       "not-run",
       "overloaded",
       {"not-run", "answered"},
       false},
      {"in progress",
       409,
       "not-run",
       "in-progress",
       {"in-progress", "answered"},
       true},
      {"unknown",
       502,
       "unknown",
       "upstream-failed",
       {"unknown", "answered"},
       true},
      {"key unknown", 401, "not-run", "key-unknown", {"not-run"}, true},
      {"upstream's own error", 400, "", "", {"unknown"}, true},
      {"broken", 0, "", "", {"broken", "answered"}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    scripted = JsonResponse(row.status, "{}");
    if (*row.outcome != '\0') scripted.headers.Add("X-Outcome", row.outcome);
    if (*row.code != '\0') scripted.headers.Add("X-Refusal-Code", row.code);
    keys.clear();
    const Json line = SendOne();
    CHECK(line["attempts"] == Json(row.attempts));
    CHECK(keys.size() == row.attempts.size());
    CHECK(keys.front().starts_with("a."));
    CHECK((keys.back() == keys.front()) == row.keeps_key);
    CHECK(line["limited_within_rate"] == (row.status == 429));
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "LoadGenerator, Retry-After beyond the deadline, gives up") {
  scripted = JsonResponse(429, "{}");
  scripted.headers.Add("X-Outcome", "not-run");
  scripted.headers.Add("Retry-After", "60");
  CHECK(SendOne()["attempts"] == Json{"not-run"});
}

TEST_CASE_FIXTURE(
    Fixture, "LoadGenerator, first VM unreachable, uses a key of the next") {
  first.StopListening();
  CHECK(SendOne()["attempts"] == Json{"connect-failed", "answered"});
  CHECK(keys.size() == 1);
  CHECK(keys.front().starts_with("b."));
}

}  // namespace
}  // namespace rwf
