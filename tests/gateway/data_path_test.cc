#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/data_path_fixture.h"

namespace rwf {
namespace {

// Guards against forwarding keys to upstreams and against callers that choose
// the workspace themselves.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Request, forwarded, carries the workspace and no key") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  const ReceivedMessage response =
      SendRequest(RequestText("/safe/x?q=1", "id1", "X-Tenant: other\r\n"));
  CHECK(response.status == 200);
  CHECK(response.body == "done");
  CHECK(instance.last_request.starts_with("GET /safe/x?q=1 HTTP/1.1\r\n"));
  CHECK(instance.last_request.find("X-Tenant: w\r\n") != std::string::npos);
  CHECK(instance.last_request.find("other") == std::string::npos);
  CHECK(instance.last_request.find("Bearer") == std::string::npos);
  CHECK(instance.last_request.find("X-Expect-Instance: i1\r\n") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(DataPathFixture,
                  "Request, not allowed, is refused with its reason") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  CHECK(SendRequest("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n").status == 404);
  CHECK(SendRequest("GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n").status == 401);
  CHECK(SendRequest("GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    "wrong\r\n\r\n")
            .status == 401);
  CHECK(SendRequest("nonsense\r\n\r\n").status == 400);
  CHECK(instance.requests == 0);
}

// Guards against a configuration whose list of workspaces is empty and that is
// taken for one that asks for no keys.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Request, last workspace removed, is refused") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  std::vector<TrafficRoute> routes = forwarder->catalog()->routes();
  routes.back().open = true;
  forwarder->SetCatalog(std::make_shared<const Catalog>(
      2, routes, std::vector<TrafficWorkspace>{}, std::vector<TrafficService>{},
      CallerLimits{}));
  CHECK(SendRequest(RequestText("/safe/x", "id1")).status == 401);
  CHECK(instance.requests == 0);
  CHECK(SendRequest(RequestText("/once/x", "id2")).status == 200);
  forwarder->SetCatalog(std::make_shared<const Catalog>(
      3, routes, std::nullopt, std::vector<TrafficService>{}, CallerLimits{}));
  CHECK(SendRequest(RequestText("/safe/x", "id3")).status == 200);
  CHECK(instance.requests == 2);
}

// Guards against accepting withdrawn keys: without a recent confirmation, no
// request with a key may run.
TEST_CASE("Request, keys not confirmed, is refused as not run") {
  class StaleFixture : public DataPathFixture {
   public:
    void Check() {
      ScriptedInstance instance(
          &loop, [](const std::string& it) { return FullResponse(it); });
      AddInstance("i1", instance.port);
      freshness = KeyFreshness(std::chrono::seconds(1));
      const ReceivedMessage response = SendRequest(RequestText("/safe/", "id"));
      CHECK(response.status == 503);
      CHECK(response.headers.Has("Retry-After"));
      CHECK(instance.requests == 0);
    }
  };
  StaleFixture().Check();
}

// Guards against second runs of non-idempotent requests, false promises that a
// request did not run, and accepting broken responses. Each row has the
// response of an instance and the status that the caller gets, for an
// idempotent and a non-idempotent request.
TEST_CASE("Instance, each kind of failure, yields the right status") {
  struct Row {
    const char* name;
    ScriptedInstance::Script script;
    int safe_status;  // with a healthy second instance
    int once_status;
    bool once_may_repeat;
  };
  const std::vector<Row> rows = {
      {"sheds", ShedResponse, 200, 200, true},
      {"wrong instance",
       [](const std::string&) {
         return std::string(
             "HTTP/1.1 421 X\r\nX-Instance-Id: z\r\nContent-Length: 0\r\n\r\n");
       },
       200, 200, true},
      {"head without end",
       [](const std::string&) {
         return "HTTP/1.1 200 X\r\nA: " + std::string(200'000, 'x');
       },
       200, 502, false},
      {"fields without end",
       [](const std::string&) {
         std::string out = "HTTP/1.1 200 X\r\n";
         for (int n = 0; n < 40'000; ++n) out += "A: b\r\n";
         return out;
       },
       200, 502, false},
      {"status line without end",
       [](const std::string&) {
         return "HTTP/1.1 200 " + std::string(200'000, 'x');
       },
       200, 502, false},
      {"line ends without end",
       [](const std::string&) { return std::string(200'000, '\n'); }, 200, 502,
       false},
      {"chunk extension without end",
       [](const std::string& it) {
         return "HTTP/1.1 200 X\r\nX-Request-Id: " + RequestIdOf(it) +
                "\r\nX-Server-Stamp: s\r\nTransfer-Encoding: "
                "chunked\r\n\r\n5;" +
                std::string(200'000, 'x');
       },
       200, 502, false},
      {"interim responses without end",
       [](const std::string&) {
         std::string out;
         for (int n = 0; n < 10'000; ++n) out += "HTTP/1.1 102 X\r\n\r\n";
         return out;
       },
       200, 502, false},
      {"body without end",
       [](const std::string& it) {
         return "HTTP/1.1 200 X\r\nX-Request-Id: " + RequestIdOf(it) +
                "\r\nX-Server-Stamp: s\r\nTransfer-Encoding: "
                "chunked\r\n\r\n5000000\r\n" +
                std::string(UpstreamPool::kMaxResponseBytes + 1, 'x');
       },
       200, 502, false},
      {"trailers without end",
       [](const std::string& it) {
         return "HTTP/1.1 200 X\r\nX-Request-Id: " + RequestIdOf(it) +
                "\r\nX-Server-Stamp: s\r\nTransfer-Encoding: "
                "chunked\r\n\r\n0\r\nA: " +
                std::string(200'000, 'x');
       },
       200, 502, false},
      {"closes without a response",
       [](const std::string&) { return std::string("CLOSE"); }, 200, 502,
       false},
      {"truncated",
       [](const std::string& it) {
         return "CLOSE" +
                FullResponse(it).substr(0, FullResponse(it).size() - 2);
       },
       200, 502, false},
      {"not HTTP",
       [](const std::string&) { return std::string("garbage\r\n\r\n"); }, 200,
       502, false},
      {"success without a server stamp",
       [](const std::string& it) {
         return "HTTP/1.1 200 X\r\nX-Request-Id: " + RequestIdOf(it) +
                "\r\nContent-Length: 0\r\n\r\n";
       },
       200, 502, false},
      {"error of the instance",
       [](const std::string& it) { return FullResponse(it, 500, "no"); }, 200,
       500, false},
      {"503 without the not-run header",
       [](const std::string& it) { return FullResponse(it, 503, "no"); }, 200,
       502, false},
  };
  for (const Row& row : rows) {
    for (const bool is_safe : {true, false}) {
      CAPTURE(row.name);
      CAPTURE(is_safe);
      class Fixture : public DataPathFixture {
       public:
        void Check(const Row& row, bool is_safe) {
          int bad_requests = 0;
          int good_requests = 0;
          ScriptedInstance bad(&loop, [&](const std::string& it) {
            ++bad_requests;
            return row.script(it);
          });
          ScriptedInstance good(&loop, [&](const std::string& it) {
            ++good_requests;
            return FullResponse(it);
          });
          AddInstance("bad", bad.port);
          // The second instance is busy enough not to be chosen for the first
          // attempt.
          AddInstance("good", good.port);
          registry.Find("good")->OnReport(5, 0, EventLoop::Now());
          const ReceivedMessage response =
              SendRequest(RequestText(is_safe ? "/safe/" : "/once/", "id"));
          REQUIRE(bad_requests == 1);
          CHECK(response.status ==
                (is_safe ? row.safe_status : row.once_status));
          const bool may_repeat = is_safe || row.once_may_repeat;
          CHECK(good_requests == (may_repeat ? 1 : 0));
        }
      };
      Fixture().Check(row, is_safe);
    }
  }
}

// Guards against taking a late duplicate response to an earlier request as the
// response to the current one.
TEST_CASE_FIXTURE(
    DataPathFixture,
    "Instance, response to an earlier request first, is skipped") {
  ScriptedInstance instance(&loop, [](const std::string& it) {
    return "HTTP/1.1 200 X\r\nX-Request-Id: earlier\r\nX-Server-Stamp: "
           "s\r\nContent-Length: 5\r\n\r\nother" +
           FullResponse(it);
  });
  AddInstance("i1", instance.port);
  const ReceivedMessage response = SendRequest(RequestText("/once/", "id"));
  CHECK(response.status == 200);
  CHECK(response.body == "done");
  CHECK(pool.counters().mismatched_responses == 1);
  CHECK(pool.connections() == 0);
}

// Guards against running out of memory when several instances send responses
// without end, and against giving up a small response for them.
TEST_CASE_FIXTURE(
    DataPathFixture,
    "Responses, incomplete ones above the bound, lose the largest") {
  constexpr size_t kLarge = 30 << 20;
  std::vector<std::unique_ptr<ScriptedInstance>> instances;
  int broken = 0;
  for (size_t n = 0; n < 4; ++n) {
    const size_t size = n == 0 ? 1000 : kLarge;
    instances.push_back(
        std::make_unique<ScriptedInstance>(&loop, [size](const std::string&) {
          return "HTTP/1.1 200 X\r\nContent-Length: 31457281\r\n\r\n" +
                 std::string(size, 'x');
        }));
    const std::string id = "i" + std::to_string(n);
    pool.Send({id, "127.0.0.1", instances.back()->port},
              {"GET / HTTP/1.1\r\n\r\n", {}, id, "X-Request-Id", false, true},
              [&, n](const SendResult& it) {
                CHECK(it.outcome == SendOutcome::kBroken);
                CHECK(n != 0);
                ++broken;
              });
  }
  // Sanitizers and a busy machine take seconds to move this much.
  const size_t expected = 2 * kLarge + 1000;
  const TimePoint end = EventLoop::Now() + std::chrono::seconds(30);
  while ((broken == 0 || pool.buffered_bytes() != expected) &&
         EventLoop::Now() < end) {
    const auto timer =
        loop.After(std::chrono::milliseconds(20), [this] { loop.Stop(); });
    loop.Run();
    CHECK(pool.buffered_bytes() <= UpstreamPool::kMaxBufferedBytes);
  }
  CHECK(broken == 1);
  CHECK(pool.buffered_bytes() == expected);
}

class RepeatedRefusalFixture : public DataPathFixture {
 public:
  struct Row {
    const char* name;
    bool has_id;
    bool has_response;
    int status;
  };

  // The first request is answered, on the second the instance repeats a refusal
  // of the first.
  void Check(const Row& row) {
    std::string earlier_id;
    ScriptedInstance first(&loop, [&](const std::string& text) {
      const std::string id = RequestIdOf(text);
      if (earlier_id.empty()) {
        earlier_id = id;
        return FullResponse(text);
      }
      const std::string field = "X-Request-Id: " + id + "\r\n";
      std::string refusal = ShedResponse(text);
      refusal.replace(refusal.find(field), field.size(),
                      row.has_id ? "X-Request-Id: " + earlier_id + "\r\n" : "");
      return refusal + (row.has_response ? FullResponse(text) : "");
    });
    AddInstance("i1", first.port);
    REQUIRE(SendRequest(RequestText("/once/x", "id1")).status == 200);
    // It could run the request again.
    ScriptedInstance second(
        &loop, [](const std::string& text) { return FullResponse(text); });
    AddInstance("i2", second.port);
    // Full, so that the first instance is preferred.
    registry.Find("i2")->OnReport(12, 0, EventLoop::Now());
    CHECK(SendRequest(RequestText("/once/x", "id2")).status == row.status);
    CHECK(first.requests == 2);
    CHECK(second.requests == 0);
  }
};

// Guards against telling a caller that its request has not run, or running it
// at a second instance, because an instance wrote an earlier refusal once more
// on a kept connection.
TEST_CASE("Instance, repeats an earlier refusal, is not believed") {
  using Row = RepeatedRefusalFixture::Row;
  for (const Row& row :
       {Row{"with its id, then the response", true, true, 200},
        Row{"without an id, then the response", false, true, 502},
        Row{"without an id, alone", false, false, 502}}) {
    CAPTURE(row.name);
    RepeatedRefusalFixture().Check(row);
  }
}

// Guards against callers that wait beyond the timeout of the route, and against
// attempts that outlive it.
TEST_CASE_FIXTURE(
    DataPathFixture,
    "Instance, no response, times out after the timeout of the route") {
  ScriptedInstance instance(&loop, [](const std::string&) { return ""; });
  AddInstance("i1", instance.port);
  const TimePoint start = EventLoop::Now();
  CHECK(SendRequest(RequestText("/once/", "id")).status == 504);
  const Duration took = EventLoop::Now() - start;
  CHECK(took >= std::chrono::milliseconds(850));
  CHECK(took < std::chrono::milliseconds(1400));
  CHECK(forwarder->active_requests() == 0);
}

// Six instances that end when they run a request whose path contains "crash".
class CrashingRequestFixture : public DataPathFixture {
 public:
  CrashingRequestFixture() {
    for (int n = 0; n < 6; ++n) {
      instances.push_back(
          std::make_unique<ScriptedInstance>(&loop, [](const std::string& it) {
            const bool crashes =
                it.substr(0, it.find('\r')).find("crash") != std::string::npos;
            return crashes ? "CRASH" : FullResponse(it);
          }));
    }
    timer = loop.Every(std::chrono::milliseconds(100),
                       [this] { crashes.Tick(EventLoop::Now()); });
  }
  void AddInstances(bool with_kept_connections) {
    for (size_t n = 0; n < instances.size(); ++n) {
      const std::string id = "i" + std::to_string(n);
      AddInstance(id, instances[n]->port);
      if (!with_kept_connections) continue;
      REQUIRE(SendRequest(RequestText("/safe/x", id)).status == 200);
      registry.Find(id)->OnReport(12, 0, EventLoop::Now());
    }
    for (size_t n = 0; n < instances.size(); ++n)
      registry.Find("i" + std::to_string(n))->OnReport(0, 0, EventLoop::Now());
  }
  // Sends the request and lets half a second pass.
  int Send(const std::string& path, const std::string& id) {
    const int status = SendRequest(RequestText(path, id)).status;
    // An instance that has ended gets no further requests, which would find it
    // ended.
    for (size_t n = 0; n < instances.size(); ++n) {
      InstanceState* state = registry.Find("i" + std::to_string(n));
      if (state != nullptr && instances[n]->has_crashed())
        state->OnReport(60, 0, EventLoop::Now());
    }
    const auto end =
        loop.After(std::chrono::milliseconds(500), [this] { loop.Stop(); });
    loop.Run();
    return status;
  }
  int CrashedInstances() const {
    return static_cast<int>(
        std::count_if(instances.begin(), instances.end(),
                      [](const auto& it) { return it->has_crashed(); }));
  }

  std::vector<std::unique_ptr<ScriptedInstance>> instances;
  std::unique_ptr<Timer> timer;
};

// Sends a crashing request four times.
void CheckCrashesTwoInstances(bool with_kept_connections) {
  for (const std::string path : {"/safe/crash", "/once/crash"}) {
    CAPTURE(path);
    CrashingRequestFixture fixture;
    fixture.AddInstances(with_kept_connections);
    for (int n = 0; n < 4; ++n)
      CHECK(fixture.Send(path, "id" + std::to_string(n)) == 502);
    CHECK(fixture.CrashedInstances() == 2);
    CHECK(fixture.Send("/safe/x", "other") == 200);
  }
}

// Guards against sending on a request that crashes instances because nothing
// else finds out that they have ended
// (docs/incidents/budget-of-crashing-requests.md).
TEST_CASE("Request, crashes instances that get nothing else, is stopped") {
  CheckCrashesTwoInstances(/*with_kept_connections=*/false);
}

// Guards against counting the crashes of one id once: a request goes to the
// same instance each time that it is back.
TEST_CASE_FIXTURE(
    CrashingRequestFixture,
    "Request, crashes an instance that keeps its id, is stopped") {
  for (int64_t n = 0; n < 4; ++n) {
    const size_t process = static_cast<size_t>(n);
    AddInstance("i", instances[process]->port, 1000 + n);
    CHECK(Send("/once/crash", "id" + std::to_string(n)) == 502);
  }
  CHECK(CrashedInstances() == 2);
}

// Guards against sending a request to a second instance after other VMs have
// reported that it crashes instances.
TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "Request, blocked while it runs, is not sent again") {
  const Digest fingerprint = CrashFingerprint("w", "GET", "/safe/lost", {});
  ScriptedInstance instance(&loop, [&](const std::string&) {
    for (const char* id : {"a", "b"}) {
      wire::CrashSuspicionT suspicion;
      suspicion.fingerprint = fingerprint;
      suspicion.upstream = id;
      crashes.OnMessage(suspicion, EventLoop::Now());
    }
    return "CRASH";
  });
  AddInstance("first", instance.port);
  ScriptedInstance second(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("second", second.port);
  registry.Find("second")->OnReport(5, 0, EventLoop::Now());
  CHECK(Send("/safe/lost", "id") == 502);
  CHECK(instance.requests == 1);
  CHECK(second.requests == 0);
}

// Guards against blaming a request whose responses are lost while its instance
// lives, and against wasting the connections that probe it.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Request, connections break at a live instance, goes on") {
  ScriptedInstance instance(
      &loop, [](const std::string&) { return std::string("CLOSE"); });
  AddInstance("i1", instance.port);
  for (int n = 1; n <= 3; ++n) {
    CHECK(SendRequest(RequestText("/once/x", "id")).status == 502);
    CHECK(instance.requests == n);
    const auto end =
        loop.After(InstanceProber::kDelay * 4, [this] { loop.Stop(); });
    loop.Run();
    crashes.Tick(EventLoop::Now());
    CHECK(pool.connections() == 1);
  }
  CHECK(pool.counters().reused == 2);
}

// Guards against taking the crash of an instance for the close of an idle
// connection (docs/incidents/budget-of-crashing-requests.md).
TEST_CASE("Request, crashes instances on kept connections, is stopped") {
  CheckCrashesTwoInstances(/*with_kept_connections=*/true);
}

// The keeper of the workspace's limit is another VM, which says that tokens are
// scarce.
class ScarceLimitFixture : public DataPathFixture {
 protected:
  ScarceLimitFixture() {
    TrafficWorkspace workspace;
    workspace.name = "w";
    workspace.rate = workspace.burst = 10;
    limiter.SetTolerance({0.1, 20, std::chrono::seconds(5)});
    limiter.SetLimits({workspace}, EventLoop::Now());
    for (int n = 0; keeper.empty(); ++n) {
      const std::string vm = "peer" + std::to_string(n);
      limiter.SetPeers({{vm, true, true, {}, true}}, EventLoop::Now());
      if (limiter.KeeperOf("w") == vm) keeper = vm;
    }
    limiter.OnScarceLimits(keeper, {"w"}, EventLoop::Now());
    timer = loop.Every(WorkspaceLimiter::kClaimInterval, [this] { Tick(); });
    RunFor(WorkspaceLimiter::kAnnounceTime * 2);
  }
  void RunFor(Duration time) {
    const auto end = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  void Tick() {
    const TimePoint now = EventLoop::Now();
    limiter.Tick(now);
    for (const WorkspaceLimiter::Message& it : limiter.TakeMessages()) {
      ++asked;
      if (!verdict) continue;
      limiter.OnReply(keeper, {it.claims.id, {*verdict}}, now);
    }
    for (const WorkspaceLimiter::Decision& it : limiter.TakeDecisions())
      forwarder->OnLimitDecided(it);
  }

  std::string keeper;
  std::optional<LimitVerdict> verdict;  // absent: the keeper is silent
  int asked = 0;
  std::unique_ptr<Timer> timer;
};

// Guards against requests that are lost or run without a token while the keeper
// decides.
TEST_CASE_FIXTURE(ScarceLimitFixture,
                  "Limit, scarce, follows the keeper and outlives its loss") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  verdict = LimitVerdict{"w", 1, {}, true};
  CHECK(SendRequest(RequestText("/once/", "id1")).status == 200);
  CHECK(asked >= 1);
  verdict = LimitVerdict{"w", 0, std::chrono::milliseconds(400), true};
  const ReceivedMessage refused = SendRequest(RequestText("/once/", "id2"));
  CHECK(refused.status == 429);
  CHECK(refused.headers.Get("Retry-After") == "0.40");
  CHECK(instance.requests == 1);
  // The limit is known to be empty, so the keeper is not asked.
  const int asked_before = asked;
  CHECK(SendRequest(RequestText("/once/", "id3")).status == 429);
  CHECK(asked == asked_before);
  CHECK(instance.requests == 1);
  // This VM keeps the limit when the keeper does not reply.
  verdict.reset();
  RunFor(std::chrono::seconds(1));
  CHECK(SendRequest(RequestText("/once/", "id4")).status == 200);
  CHECK(instance.requests == 2);
}

TEST_CASE_FIXTURE(ScarceLimitFixture,
                  "Limit, caller leaves while it is undecided, ends the "
                  "request") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  SendRequest(RequestText("/once/", "id1"), true);
  RunFor(WorkspaceLimiter::kMaxWait);
  CHECK(forwarder->active_requests() == 0);
  CHECK(limiter.waiting() == 0);
  CHECK(instance.requests == 0);
}

// Guards against a planned stop that takes requests late and cuts them at its
// end, those that may not be repeated among them.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Stop, planned, takes only requests that end before it") {
  ScriptedInstance instance(
      &loop, [](const std::string& it) { return FullResponse(it); });
  AddInstance("i1", instance.port);
  // The route allows 0.9 s.
  forwarder->SetStopTime(EventLoop::Now() + std::chrono::milliseconds(1500));
  CHECK(SendRequest(RequestText("/once/", "id1")).status == 200);
  forwarder->SetStopTime(EventLoop::Now() + std::chrono::milliseconds(800));
  for (const char* path : {"/once/", "/safe/"}) {
    const ReceivedMessage response = SendRequest(RequestText(path, "id2"));
    CHECK(response.status == 503);
    CHECK(response.headers.Has("Retry-After"));
  }
  CHECK(instance.requests == 1);
}

// Guards against work for callers that have disconnected.
// Guards against refusing every request of a route whose requests name no
// object once the region is full (docs/incidents/config-added-routes.md).
TEST_CASE_FIXTURE(DataPathFixture,
                  "Route without objects, region full, is served") {
  ScriptedInstance instance(
      &loop, [](const std::string& text) { return FullResponse(text); });
  AddInstance("i1", instance.port);
  REQUIRE(SendRequest(RequestText("/safe/x", "id0")).status == 200);
  // A fifth more requests than the instance has slots.
  placement.SetPeerLoads({{{"s", "r"}, 7.2}}, EventLoop::Now());
  const auto timer =
      loop.After(2 * Placement::kLoadCacheInterval, [this] { loop.Stop(); });
  loop.Run();
  for (int n = 1; n <= 3; ++n) {
    const std::string id = "id" + std::to_string(n);
    CHECK(SendRequest(RequestText("/safe/x", id)).status == 200);
    CHECK(SendRequest(RequestText("/once/x", id)).status == 200);
  }
}

// Guards against sending an instance more than it says it takes, and against
// holding a request that no instance takes
// (docs/incidents/limit-of-instances.md).
TEST_CASE_FIXTURE(
    DataPathFixture,
    "Instance, names a limit, gets no more and is not taken for failed") {
  ScriptedInstance limited(&loop, [](const std::string& text) {
    std::string response = FullResponse(text);
    return response.insert(response.find("\r\n") + 2, "Server-Limit: 0.5\r\n");
  });
  AddInstance("i1", limited.port);
  CHECK(SendRequest(RequestText("/safe/x", "id0")).status == 200);
  // No other instance: refused at once, with the time of the next token.
  const TimePoint from = EventLoop::Now();
  const ReceivedMessage refused = SendRequest(RequestText("/safe/x", "id1"));
  CHECK(refused.status == 503);
  CHECK(EventLoop::Now() - from < std::chrono::milliseconds(300));
  CHECK(std::stod(refused.headers.Get("Retry-After")) ==
        doctest::Approx(2).epsilon(0.1));
  CHECK(limited.requests == 1);
  CHECK_FALSE(registry.Find("i1")->IsEjected(EventLoop::Now()));
  ScriptedInstance other(
      &loop, [](const std::string& text) { return FullResponse(text); });
  AddInstance("i2", other.port);
  for (int n = 2; n < 8; ++n) {
    const std::string id = "id" + std::to_string(n);
    CHECK(SendRequest(RequestText("/once/x", id)).status == 200);
  }
  CHECK(limited.requests == 1);
  CHECK(other.requests == 6);
}

// Guards against new work for an instance that leaves while the registry still
// lists it, and against telling callers of it.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Instance, says that it leaves, gets no further request") {
  ScriptedInstance leaving(&loop, [](const std::string& text) {
    std::string response = FullResponse(text);
    return response.insert(
        response.find("\r\n") + 2,
        "Server-Leaving: 1\r\nServer-Limit: 100\r\nX-Own: kept\r\n");
  });
  AddInstance("i1", leaving.port);
  const ReceivedMessage last = SendRequest(RequestText("/safe/x", "id0"));
  CHECK(last.status == 200);
  CHECK(last.headers.Get("X-Own") == "kept");
  CHECK_FALSE(last.headers.Has("Server-Leaving"));
  CHECK_FALSE(last.headers.Has("Server-Limit"));
  const ReceivedMessage refused = SendRequest(RequestText("/safe/x", "id1"));
  CHECK(refused.status == 503);
  CHECK(refused.headers.Has("Retry-After"));
  CHECK(leaving.requests == 1);
  CHECK(pool.connections() == 0);
  ScriptedInstance other(
      &loop, [](const std::string& text) { return FullResponse(text); });
  AddInstance("i2", other.port);
  CHECK(SendRequest(RequestText("/once/x", "id2")).status == 200);
  CHECK(leaving.requests == 1);
}

// Guards against a route that stays refused although a request that was sent to
// test its estimate succeeded.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Route, trial of its estimate succeeds, is served again") {
  ScriptedInstance instance(
      &loop, [](const std::string& text) { return FullResponse(text); });
  AddInstance("i1", instance.port);
  PlacementRequest measured;
  measured.service = "s";
  measured.route = "safe";
  measured.objective = std::chrono::milliseconds(600);
  for (int n = 0; n < RunEvidence::kMinRuns; ++n) {
    placement.OnRunEnded(measured, registry.Find("i1"),
                         ServiceTimeModel::Warmth::kNoObject, EventLoop::Now(),
                         std::chrono::seconds(5), EventLoop::Now());
  }
  CHECK(SendRequest(RequestText("/safe/x", "id0")).status == 503);
  const auto timer =
      loop.After(RunEvidence::kMinTrialPeriod + std::chrono::milliseconds(100),
                 [this] { loop.Stop(); });
  loop.Run();
  for (int n = 1; n < 20; ++n) {
    CAPTURE(n);
    CHECK(
        SendRequest(RequestText("/safe/x", "id" + std::to_string(n))).status ==
        200);
  }
}

// Guards against a notice that is lost because the entry of the instance lapsed
// while the request was running, and came back later.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Instance, leaves while its entry lapsed, gets no request") {
  ScriptedInstance leaving(&loop, [](const std::string&) { return "HOLD"; });
  constexpr int64_t kStartedMs = 1000;
  AddInstance("i1", leaving.port, kStartedMs);
  PipeliningCaller caller(&loop, front_port);
  caller.Send(RequestText("/safe/x", "id0"));
  REQUIRE(RunUntil([&] { return leaving.held.contains("id0"); }));
  registry.Remove("i1");
  std::string response = FullResponse(leaving.last_request);
  response.insert(response.find("\r\n") + 2, "Server-Leaving: 1\r\n");
  leaving.Release("id0", response);
  REQUIRE(RunUntil([&] { return caller.responses.size() == 1; }));
  AddInstance("i1", leaving.port, kStartedMs);
  CHECK(SendRequest(RequestText("/safe/x", "id1")).status == 503);
  CHECK(leaving.requests == 1);
  // The next process under the same id takes requests.
  registry.Remove("i1");
  AddInstance("i1", leaving.port, kStartedMs + 1);
  SendRequest(RequestText("/safe/x", "id2"));
  CHECK(leaving.requests == 2);
}

// Guards against requests, retries and second attempts at an instance within
// the time for which it wants none.
TEST_CASE_FIXTURE(
    DataPathFixture,
    "Instance, turns away with a wait, gets nothing until its end") {
  for (const bool says_not_run : {true, false}) {
    ScriptedInstance waiting(&loop, [says_not_run](const std::string& text) {
      std::string response =
          says_not_run ? ShedResponse(text) : FullResponse(text, 503, "");
      return response.insert(response.find("\r\n") + 2, "Retry-After: 1\r\n");
    });
    const std::string id = says_not_run ? "i1" : "i2";
    AddInstance(id, waiting.port);
    SendRequest(RequestText("/safe/x", "id0"));
    CHECK(waiting.requests == 1);
    const TimePoint from = EventLoop::Now();
    for (int n = 1; n < 6; ++n) {
      const ReceivedMessage refused =
          SendRequest(RequestText("/safe/x", "id" + std::to_string(n)));
      CHECK(refused.status == 503);
      CHECK(std::stod(refused.headers.Get("Retry-After")) ==
            doctest::Approx(1).epsilon(0.2));
    }
    CHECK(EventLoop::Now() - from < std::chrono::milliseconds(500));
    CHECK(waiting.requests == 1);
    CHECK_FALSE(registry.Find(id)->IsEjected(EventLoop::Now()));
    const auto timer =
        loop.After(std::chrono::milliseconds(1100), [this] { loop.Stop(); });
    loop.Run();
    SendRequest(RequestText("/safe/x", "id9"));
    CHECK(waiting.requests == 2);
    registry.Remove(id);
  }
}

// Guards against taking an instance that turns away what is above its limit
// for one that fails.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Instance, sheds within its named limit, is not ejected") {
  ScriptedInstance limited(&loop, [](const std::string& text) {
    std::string response = ShedResponse(text);
    return response.insert(response.find("\r\n") + 2, "Server-Limit: 50\r\n");
  });
  AddInstance("i1", limited.port);
  for (int n = 0; n < 6; ++n) {
    CHECK(
        SendRequest(RequestText("/once/x", "id" + std::to_string(n))).status ==
        503);
    const auto timer =
        loop.After(std::chrono::milliseconds(50), [this] { loop.Stop(); });
    loop.Run();
  }
  CHECK(limited.requests > 2);
  CHECK_FALSE(registry.Find("i1")->IsEjected(EventLoop::Now()));
}

TEST_CASE_FIXTURE(DataPathFixture,
                  "Caller, disconnects early, cancels an idempotent request") {
  ScriptedInstance instance(&loop, [](const std::string&) { return ""; });
  AddInstance("i1", instance.port);
  SendRequest(RequestText("/safe/", "id"), /*disconnects_early=*/true);
  const auto timer =
      loop.After(std::chrono::milliseconds(200), [this] { loop.Stop(); });
  loop.Run();
  CHECK(instance.requests == 1);
  CHECK(instance.closed == 1);
  CHECK(forwarder->active_requests() == 0);
}

// Guards against blocking on a log reader that does not read.
TEST_CASE("Log, full pipe, drops lines and does not block") {
  EventLoop loop;
  int fds[2];
  REQUIRE(pipe(fds) == 0);
  EventLog log(&loop, fds[1], "vm");
  const std::string text(1000, 'x');
  for (int n = 0; n < 2000; ++n) {
    log.State("test").Text("text", text);
    log.Flush();
  }
  CHECK(log.dropped() > 0);
  CHECK(log.lines() + log.dropped() == 2000);
  close(fds[0]);
}

// The only instance has answered ten requests and then reports a load.
class ShortageFixture : public DataPathFixture {
 protected:
  ShortageFixture() {
    forwarder->SetWaitsForCapacity(true);
    AddInstance("i1", instance.port);
    for (int n = 0; n < 10; ++n)
      CHECK(SendRequest(RequestText("/once/x", "w")).status == 200);
  }
  // Sends one request whose response reports the load.
  void Report(const std::string& load) {
    reported = load;
    CHECK(SendRequest(RequestText("/once/x", "r")).status == 200);
    reported = "0,0,6";
    // Placement keeps the load of the region for a moment.
    const auto end =
        loop.After(Placement::kLoadCacheInterval * 2, [this] { loop.Stop(); });
    loop.Run();
    sent = instance.requests;
    now = EventLoop::Now();
  }
  Duration Elapsed() const { return EventLoop::Now() - now; }

  std::string reported;
  ScriptedInstance instance{&loop, [this](const std::string& request) {
                              std::string out = FullResponse(request);
                              if (!reported.empty())
                                out.insert(
                                    out.find("\r\n") + 2,
                                    "X-Server-Load: " + reported + "\r\n");
                              return out;
                            }};
  int sent = 0;
  TimePoint now{};
};

// Guards against refusing a request that a slot becomes free for in time. The
// estimate of the load falls below the instance's bound within 0.1 s.
// Guards against deployments that did not ask for it.
TEST_CASE_FIXTURE(ShortageFixture,
                  "Shortage, not switched on, refuses at once") {
  forwarder->SetWaitsForCapacity(false);
  Report("20,0,6");
  CHECK(SendRequest(RequestText("/once/x", "a")).status == 503);
  CHECK(instance.requests == sent);
}

TEST_CASE_FIXTURE(ShortageFixture, "Shortage, slot expected in time, waits") {
  Report("20,0,6");
  CHECK(SendRequest(RequestText("/once/x", "a")).status == 200);
  CHECK(Elapsed() >= std::chrono::milliseconds(40));
  CHECK(instance.requests == sent + 1);
}

// Guards against holding a request until its deadline.
TEST_CASE_FIXTURE(ShortageFixture,
                  "Shortage, latest start passed, refuses as not run") {
  Report("60,0,6");
  const ReceivedMessage it = SendRequest(RequestText("/once/x", "a"));
  CHECK(it.status == 503);
  CHECK(it.headers.Has("Retry-After"));
  CHECK(Elapsed() >= std::chrono::milliseconds(400));
  CHECK(Elapsed() < std::chrono::milliseconds(880));
  CHECK(instance.requests == sent);
}

// Guards against running a request for a caller that has left.
TEST_CASE_FIXTURE(ShortageFixture, "Shortage, caller leaves, sends nothing") {
  Report("30,0,6");
  SendRequest(RequestText("/once/x", "a"), /*disconnects_early=*/true);
  const auto end =
      loop.After(std::chrono::milliseconds(900), [this] { loop.Stop(); });
  loop.Run();
  CHECK(forwarder->active_requests() == 0);
  CHECK(instance.requests == sent);
}

// Guards against a planned stop that waits for capacity.
TEST_CASE_FIXTURE(ShortageFixture, "Shortage, planned stop, refuses at once") {
  Report("60,0,6");
  const auto stop = loop.After(std::chrono::milliseconds(50), [this] {
    forwarder->SetStopTime(EventLoop::Now() + std::chrono::seconds(1));
  });
  CHECK(SendRequest(RequestText("/once/x", "a")).status == 503);
  CHECK(Elapsed() < std::chrono::milliseconds(300));
  CHECK(SendRequest(RequestText("/once/x", "b")).status == 503);
  CHECK(Elapsed() < std::chrono::milliseconds(400));
  CHECK(instance.requests == sent);
}

// Guards against waiting where the service does not report its load.
TEST_CASE_FIXTURE(ShortageFixture, "Shortage, no reports, refuses at once") {
  sent = instance.requests;
  now = EventLoop::Now();
  placement.SetPeerLoads({{{"s", "r"}, 100}}, now);
  CHECK(SendRequest(RequestText("/once/x", "a")).status == 503);
  CHECK(Elapsed() < std::chrono::milliseconds(200));
  CHECK(instance.requests == sent);
}

}  // namespace
}  // namespace rwf
