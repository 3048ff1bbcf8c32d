#include <doctest/doctest.h>

#include "common/response_body.h"
#include "net/http_client.h"
#include "net/net_error.h"
#include "upstream/instance.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  EventLoop loop;
  RunLedger ledger;
  UpstreamInstance instance{&loop, Options(), &ledger};
  HttpClient client{&loop, {}};
  uint16_t port = instance.Start().value();

  static InstanceOptions Options() {
    InstanceOptions out;
    out.id = "u1";
    out.service = "s";
    out.address = "127.0.0.1";
    out.slots = 1;
    out.service_ms = 5;
    out.cold_factor = 1;
    return out;
  }
  HttpOutcome Call(const HttpHeaders& headers, const std::string& path = "/p",
                   const std::string& body = "",
                   Duration timeout = milliseconds(2000)) {
    HttpOutcome out;
    HttpRequest request{"POST", path, "", headers, body, ""};
    client.Send({"127.0.0.1", port}, request, timeout,
                [&](HttpOutcome outcome) {
                  out = std::move(outcome);
                  loop.Post([this] { loop.Stop(); });
                });
    loop.Run();
    return out;
  }
  void SetFault(const std::string& name, int64_t value,
                const std::string& text = "") {
    instance.SetFault(name,
                      {value, text, EventLoop::Now() + std::chrono::hours(1),
                       milliseconds(20)});
  }
};

HttpHeaders Marked(const std::string& id) {
  HttpHeaders out;
  out.Add("X-Load-Id", id);
  out.Add("X-Workspace", "w");
  out.Add("X-Request-Id", "r");
  out.Add("X-Load-Size", "1000");
  return out;
}

TEST_CASE_FIXTURE(Fixture, "UpstreamInstance, request, runs and is answered") {
  const HttpOutcome out = Call(Marked("1"));
  CHECK(out.response.body.size() == 1000);
  CHECK(ParseResponseBody(out.response.body) == ResponseBody{"u1", "w", "1"});
  CHECK(out.response.headers.Get("X-Request-Id") == "r");
  CHECK(ledger.Lines(0, 9).find(R"("state":"completed")") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "UpstreamInstance, leaked key, is refused") {
  for (const char* name : {"X-Api-Key", "Authorization"}) {
    HttpHeaders headers = Marked("1");
    headers.Add(name, "k");
    CHECK(Call(headers).response.status == 400);
  }
  CHECK(instance.counts().at("leaked_keys") == 2);
  CHECK(ledger.Lines(0, 9).empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "UpstreamInstance, no free slot, refuses as not run") {
  SetFault("slow", 20);
  client.Send({"127.0.0.1", port}, {"GET", "/p", "", {}, "", ""},
              milliseconds(5000), [](const HttpOutcome&) {});
  const HttpOutcome out = Call(Marked("2"));
  CHECK(out.response.status == 503);
  CHECK(out.response.headers.Get("X-Not-Run") == "1");
}

// Guards the ledger states that the checks of rwf-load rely on.
TEST_CASE_FIXTURE(Fixture, "UpstreamInstance, faults, act as documented") {
  struct Row {
    std::string fault;
    int64_t value;
    int status;  // 0: transport error
    const char* state;
  };
  const Row rows[] = {
      {"draining", 0, 503, ""},          {"shed", 100, 503, ""},
      {"truncate", 100, 0, "completed"}, {"extra", 100, 200, "completed"},
      {"crash-on-marker", 0, 0, "cut"},  {"slow", 1000, 0, "cancelled"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.fault);
    SetFault("none", 0);
    SetFault(row.fault, row.value, "boom");
    const std::string before = ledger.Lines(0, 99);
    const HttpOutcome out =
        Call(Marked(row.fault), "/p", "boom", milliseconds(200));
    // The instance detects a cancelled call shortly afterwards.
    const auto pause = loop.After(milliseconds(30), [this] { loop.Stop(); });
    loop.Run();
    CHECK(out.response.status == row.status);
    const std::string lines = ledger.Lines(0, 99).substr(before.size());
    CHECK(lines.empty() == (*row.state == '\0'));
    CHECK(lines.find(row.state) != std::string::npos);
  }
}

TEST_CASE_FIXTURE(
    Fixture, "UpstreamInstance, deadline before completion, aborts the run") {
  SetFault("slow", 1000);
  HttpHeaders headers = Marked("1");
  headers.Add("X-Request-Timeout-Ms", "10");
  CHECK(Call(headers).response.status == 504);
  CHECK(ledger.Lines(0, 9).find("cut") != std::string::npos);
}

}  // namespace
}  // namespace rwf
