#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "gateway/data_path_fixture.h"

namespace rwf {
namespace {

// One instance that keeps each request until the test answers it.
class PipeliningFixture : public DataPathFixture {
 protected:
  PipeliningFixture() { AddInstance("i1", instance.port); }

  static std::string Id(int n) { return "id" + std::to_string(n); }
  static std::string Safe(int n) { return RequestText("/safe/x", Id(n)); }
  static std::string Once(int n) { return RequestText("/once/x", Id(n)); }
  void Release(int n) {
    instance.Release(Id(n), FullResponse("X-Request-Id: " + Id(n) + "\r\n", 200,
                                         "body" + std::to_string(n)));
  }
  bool IsHeld(int n) const { return instance.held.contains(Id(n)); }

  ScriptedInstance instance{&loop, [](const std::string&) { return "HOLD"; }};
  PipeliningCaller caller{&loop, front_port};
};

// Guards against requests that wait for the responses to earlier ones
// (head-of-line blocking), and against responses out of order.
TEST_CASE_FIXTURE(
    PipeliningFixture,
    "Safe requests, sent ahead, run side by side, are answered in order") {
  std::string text;
  for (int n = 0; n < 8; ++n) text += Safe(n);
  caller.Send(text);
  REQUIRE(RunUntil([&] { return instance.held.size() == 8; }));
  CHECK(caller.responses.empty());
  for (int n = 7; n > 0; --n) Release(n);
  Settle();
  CHECK(caller.responses.empty());
  Release(0);
  REQUIRE(RunUntil([&] { return caller.responses.size() == 8; }));
  for (int n = 0; n < 8; ++n) {
    const ReceivedMessage& it = caller.responses[static_cast<size_t>(n)];
    CHECK(it.headers.Get("X-Request-Id") == Id(n));
    CHECK(it.body == "body" + std::to_string(n));
  }
  CHECK(instance.requests == 8);
}

// Guards against callers that take more than their part of a VM.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Safe requests, more than allowed, wait for an earlier one") {
  const int limit = static_cast<int>(ExchangeQueue::kMaxPipelinedRequests);
  for (int n = 0; n < limit + 3; ++n) caller.Send(Safe(n));
  REQUIRE(RunUntil([&] { return instance.requests == limit; }));
  Settle();
  CHECK(instance.requests == limit);
  Release(0);
  REQUIRE(RunUntil([&] { return instance.requests == limit + 1; }));
  Settle();
  CHECK(instance.requests == limit + 1);
  CHECK(IsHeld(limit));
}

// Guards against a non-idempotent request that runs before one that was sent
// before it, and against requests that overtake it.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Request, not idempotent, waits and lets none overtake it") {
  const std::string body =
      "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id(1) +
      "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
      "key\r\nContent-Length: 100000\r\n\r\n" +
      std::string(100'000, 'x');
  for (const std::string& once : {Once(1), body}) {
    instance.requests = 0;
    caller.responses.clear();
    caller.Send(Safe(0) + once + Safe(2));
    REQUIRE(RunUntil([&] { return IsHeld(0); }));
    Settle();
    CHECK(instance.requests == 1);
    Release(0);
    REQUIRE(RunUntil([&] { return IsHeld(1); }));
    Settle();
    CHECK_FALSE(IsHeld(2));
    Release(1);
    REQUIRE(RunUntil([&] { return IsHeld(2); }));
    Release(2);
    REQUIRE(RunUntil([&] { return caller.responses.size() == 3; }));
    for (int n = 0; n < 3; ++n) {
      CHECK(caller.responses[static_cast<size_t>(n)].headers.Get(
                "X-Request-Id") == Id(n));
    }
  }
}

// Guards against interim responses in the place of others, and against a caller
// that waits for one without end.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Request, expects 100-continue behind another, gets it") {
  caller.Send(Safe(0) +
              RequestText("/safe/x", Id(1),
                          "Expect: 100-continue\r\nContent-Length: 4\r\n"));
  REQUIRE(RunUntil([&] { return IsHeld(0); }));
  Settle();
  Release(0);
  REQUIRE(RunUntil([&] { return caller.responses.size() == 1; }));
  caller.Send("body");
  REQUIRE(RunUntil([&] { return IsHeld(1); }));
  Release(1);
  REQUIRE(RunUntil([&] { return caller.responses.size() == 2; }));
  CHECK(caller.responses[1].status == 200);
}

// Guards against work for a caller that has disconnected.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Caller, disconnects with requests ahead, cancels them all") {
  for (int n = 0; n < 5; ++n) caller.Send(Safe(n));
  REQUIRE(RunUntil([&] { return instance.held.size() == 5; }));
  // Its response waits for an earlier one.
  Release(3);
  Settle();
  caller.Disconnect();
  REQUIRE(RunUntil([&] { return instance.held.empty(); }));
  CHECK(instance.closed == 4);
  CHECK(instance.requests == 5);
  CHECK(forwarder->active_requests() == 0);
  CHECK(front.open_requests() == 0);
  CHECK(front.connections() == 0);
}

// Guards against work for a caller that has disconnected behind more requests
// than are read ahead: its end of file is not read then.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Caller, disconnects behind unread requests, cancels all") {
  for (const bool resets : {false, true}) {
    CAPTURE(resets);
    instance.requests = 0;
    PipeliningCaller leaving(&loop, front_port);
    std::string text;
    for (int n = 0; n < 8; ++n) text += Safe(n);
    leaving.Send(text + Safe(8) +
                 std::string(CallerConnection::kMaxUnreadBytes + 8192, '\n'));
    REQUIRE(RunUntil([&] { return instance.held.size() == 8; }));
    Settle();
    if (resets) {
      leaving.Reset();
    } else {
      leaving.Disconnect();
    }
    REQUIRE(RunUntil([&] { return instance.held.empty(); }));
    CHECK(instance.requests == 8);
    CHECK(forwarder->active_requests() == 0);
    CHECK(front.connections() == 1);
  }
}

// Guards against running a request that its caller counts as not read and sends
// again, and against losing requests that have run before it.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Requests, behind a closing response, run nowhere") {
  const std::string close = "Connection: close\r\n";
  struct Row {
    std::string text;
    int status;
  };
  const std::vector<Row> rows = {
      {RequestText("/safe/x", Id(1), close), 200},
      {"nonsense\r\n\r\n", 400},
      {"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5x\r\n\r\n", 400},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    instance.requests = 0;
    PipeliningCaller closing(&loop, front_port);
    closing.Send(Safe(0) + row.text + Safe(2) + Once(3));
    const int started = row.status == 200 ? 2 : 1;
    REQUIRE(RunUntil([&] { return instance.requests == started; }));
    closing.Send(Safe(4));
    Settle();
    if (row.status == 200) Release(1);
    Settle();
    CHECK(closing.responses.empty());
    Release(0);
    REQUIRE(RunUntil([&] { return closing.is_closed; }));
    REQUIRE(closing.responses.size() == 2);
    CHECK(closing.responses[0].status == 200);
    CHECK_FALSE(closing.responses[0].headers.Has("Connection"));
    CHECK(closing.responses[1].status == row.status);
    CHECK(closing.responses[1].headers.Get("Connection") == "close");
    CHECK(instance.requests == started);
  }
}

// Guards against a planned stop that drops requests which it has started, or
// starts more on a connection that it closes.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Stop, planned, answers what was started and closes") {
  for (int n = 0; n < 3; ++n) caller.Send(Safe(n));
  REQUIRE(RunUntil([&] { return instance.held.size() == 3; }));
  front.CloseAfterResponses();
  for (int n = 3; n < 6; ++n) caller.Send(Safe(n));
  Settle();
  for (int n = 0; n < 3; ++n) Release(n);
  REQUIRE(RunUntil([&] { return caller.is_closed; }));
  REQUIRE(caller.responses.size() == 3);
  CHECK_FALSE(caller.responses[1].headers.Has("Connection"));
  CHECK(caller.responses[2].headers.Get("Connection") == "close");
  CHECK(instance.requests == 3);
}

// Guards against a deadline that begins only when a request gets its turn.
TEST_CASE_FIXTURE(PipeliningFixture,
                  "Request, waits beyond its deadline, is refused as not run") {
  std::string late = Once(1);
  late.replace(late.find("3000"), 4, "0090");
  caller.Send(Safe(0) + late);
  REQUIRE(RunUntil([&] { return IsHeld(0); }));
  const auto timer =
      loop.After(std::chrono::milliseconds(120), [this] { loop.Stop(); });
  loop.Run();
  Release(0);
  REQUIRE(RunUntil([&] { return caller.responses.size() == 2; }));
  CHECK(caller.responses[1].status == 503);
  CHECK(instance.requests == 1);
}

}  // namespace
}  // namespace rwf
