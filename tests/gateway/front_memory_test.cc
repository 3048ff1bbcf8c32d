#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "gateway/data_path_fixture.h"

namespace rwf {
namespace {

constexpr size_t kMiB = 1 << 20;
constexpr int64_t kMemoryMb = 16;
constexpr size_t kLimit = 8 * kMiB;

// One instance that keeps each request, and an account of half of 16 MiB.
class FrontMemoryFixture : public DataPathFixture {
 protected:
  explicit FrontMemoryFixture(int64_t max_descriptors = 0)
      : DataPathFixture(kMemoryMb, max_descriptors) {
    AddInstance("i1", instance.port);
  }
  std::unique_ptr<PipeliningCaller> NewCaller() {
    return std::make_unique<PipeliningCaller>(&loop, front_port);
  }
  // Without the bytes of the body.
  static std::string Post(const std::string& id, size_t body_bytes) {
    std::string out =
        RequestText("/once/x", id,
                    "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    return out.replace(0, 3, "POST");
  }
  static std::string Bytes(size_t n) { return std::string(n, 'x'); }
  bool IsHeld(const std::string& id) const {
    return instance.held.contains(id);
  }
  void Release(const std::string& id) {
    instance.Release(id, FullResponse("X-Request-Id: " + id + "\r\n"));
  }

  ScriptedInstance instance{&loop, [](const std::string&) { return "HOLD"; }};
};

// Guards against bodies that are never finished and keep all memory, and
// against a refusal of a request that has run.
TEST_CASE_FIXTURE(FrontMemoryFixture,
                  "Bodies, unfinished ones fill the account, yield to others") {
  auto stalled = NewCaller();
  stalled->Send(Post("stalled", 7 * kMiB) + Bytes(7 * kMiB - 1));
  REQUIRE(RunUntil([&] { return buffers.bytes() >= 6 * kMiB; }));
  auto other = NewCaller();
  other->Send(Post("other", 3 * kMiB) + Bytes(3 * kMiB));
  auto small = NewCaller();
  small->Send(Post("small", 1000) + Bytes(1000));
  REQUIRE(RunUntil([&] { return IsHeld("small"); }));
  REQUIRE(RunUntil([&] { return IsHeld("other"); }));
  REQUIRE(RunUntil([&] { return stalled->is_closed; }));
  REQUIRE(stalled->responses.size() == 1);
  CHECK(stalled->responses[0].status == 503);
  CHECK(stalled->responses[0].headers.Get("Connection") == "close");
  CHECK(std::stod(stalled->responses[0].headers.Get("Retry-After")) > 0);
  CHECK(buffers.bytes() <= kLimit);
  CHECK_FALSE(IsHeld("stalled"));
  Release("other");
  REQUIRE(RunUntil([&] { return other->responses.size() == 1; }));
  CHECK(other->responses[0].status == 200);
}

// Guards against giving up a request that an instance may be running for one
// that has not begun, and against refusing small ones with the large.
TEST_CASE_FIXTURE(
    FrontMemoryFixture,
    "Bodies, served ones fill the account, stay; only small ones go on") {
  auto served = NewCaller();
  served->Send(Post("served", 6 * kMiB) + Bytes(6 * kMiB));
  REQUIRE(RunUntil([&] { return IsHeld("served"); }));
  auto large = NewCaller();
  large->Send(Post("large", 3 * kMiB) + Bytes(3 * kMiB));
  auto small = NewCaller();
  small->Send(Post("small", 1000) + Bytes(1000));
  REQUIRE(RunUntil([&] { return IsHeld("small"); }));
  REQUIRE(RunUntil([&] { return large->responses.size() == 1; }));
  CHECK(large->responses[0].status == 503);
  CHECK(instance.requests == 2);
  if (IsHeld("served")) Release("served");
  REQUIRE(RunUntil([&] { return served->responses.size() == 1; }));
  // 504 if the instance was slower than the timeout of the route.
  CHECK(served->responses[0].status != 503);
}

// Guards against keeping bytes of a body that is too large, with or without its
// length.
TEST_CASE_FIXTURE(FrontMemoryFixture,
                  "Body, above the limit of callers, is refused and not kept") {
  CallerLimits limits;
  limits.max_body_bytes = 100'000;
  front.SetLimits(limits);
  auto announced = NewCaller();
  announced->Send(Post("id1", 100'001));
  auto chunked = NewCaller();
  std::string head =
      RequestText("/once/x", "id2", "Transfer-Encoding: chunked\r\n");
  head.replace(0, 3, "POST");
  for (int n = 0; n < 7; ++n) head += "4000\r\n" + Bytes(0x4000) + "\r\n";
  chunked->Send(head);
  for (const auto* it : {&announced, &chunked}) {
    PipeliningCaller& caller = **it;
    REQUIRE(RunUntil([&] { return caller.is_closed; }));
    REQUIRE(caller.responses.size() == 1);
    CHECK(caller.responses[0].status == 413);
    CHECK(caller.responses[0].headers.Get("Connection") == "close");
  }
  CHECK(instance.requests == 0);
  REQUIRE(RunUntil([&] { return front.connections() == 2; }));
  announced->Disconnect();
  chunked->Disconnect();
  REQUIRE(RunUntil([&] { return front.connections() == 0; }));
  CHECK(buffers.bytes() == 0);
}

// Guards against responses that callers do not read and that take all memory.
TEST_CASE_FIXTURE(FrontMemoryFixture,
                  "Responses, unread ones fill the account, are given up") {
  std::vector<std::unique_ptr<PipeliningCaller>> callers;
  size_t peak = 0;
  for (int n = 0; n < 6; ++n) {
    const std::string id = "id" + std::to_string(n);
    callers.push_back(NewCaller());
    callers.back()->StopReading();
    callers.back()->Send(RequestText("/safe/x", id));
    REQUIRE(RunUntil([&] { return IsHeld(id); }));
    // More than the kernel takes for one connection.
    instance.Release(
        id, FullResponse("X-Request-Id: " + id + "\r\n", 200, Bytes(7 * kMiB)));
    REQUIRE(RunUntil([&] {
      peak = std::max(peak, buffers.bytes());
      return forwarder->active_requests() == 0;
    }));
    Settle();
  }
  CHECK(buffers.bytes() <= kLimit);
  // One response that is received beside those that are not read.
  CHECK(peak <= kLimit + kMiB);
  CHECK(front.connections() < 6);
  auto caller = NewCaller();
  caller->Send(RequestText("/safe/x", "small"));
  REQUIRE(RunUntil([&] { return IsHeld("small"); }));
  Release("small");
  REQUIRE(RunUntil([&] { return caller->responses.size() == 1; }));
  CHECK(caller->responses[0].status == 200);
}

// Guards against bytes that stay in the account after their holder has gone.
TEST_CASE_FIXTURE(FrontMemoryFixture,
                  "Caller, resets while it sends a body, leaves no bytes") {
  auto caller = NewCaller();
  caller->Send(Post("id", 2 * kMiB) + Bytes(kMiB));
  REQUIRE(RunUntil([&] { return buffers.bytes() >= kMiB; }));
  caller->Reset();
  REQUIRE(RunUntil([&] { return front.connections() == 0; }));
  CHECK(buffers.bytes() == 0);
}

// Guards against a body that is lost with the connection on which it was being
// written.
TEST_CASE_FIXTURE(DataPathFixture,
                  "Instance, closes while a body is written, body goes to the "
                  "next") {
  ScriptedInstance bad(&loop,
                       [](const std::string&) { return std::string("CLOSE"); });
  std::string received;
  ScriptedInstance good(&loop, [&](const std::string& it) {
    received = it;
    return std::string("HOLD");
  });
  AddInstance("bad", bad.port);
  AddInstance("good", good.port);
  registry.Find("good")->OnReport(5, 0, EventLoop::Now());
  PipeliningCaller caller(&loop, front_port);
  std::string text =
      RequestText("/safe/x", "id", "Content-Length: 4000000\r\n");
  text.replace(0, 3, "POST");
  caller.Send(text + std::string(4'000'000, 'x'));
  REQUIRE(RunUntil([&] { return good.held.contains("id"); }));
  CHECK(bad.requests == 1);
  good.Release("id", FullResponse("X-Request-Id: id\r\n"));
  REQUIRE(RunUntil([&] { return caller.responses.size() == 1; }));
  CHECK(caller.responses[0].status == 200);
  REQUIRE(RunUntil([&] { return buffers.bytes() == 0; }));
}

class ConnectionBoundFixture : public FrontMemoryFixture {
 protected:
  static constexpr size_t kMaxConnections = 7;
  ConnectionBoundFixture() : FrontMemoryFixture(10) {}
};

// Guards against callers that open connections without end, and against closing
// one whose request is being served.
TEST_CASE_FIXTURE(ConnectionBoundFixture,
                  "Connections, above the bound, close the longest idle") {
  std::vector<std::unique_ptr<PipeliningCaller>> callers;
  callers.push_back(NewCaller());
  callers[0]->Send(RequestText("/safe/x", "id"));
  REQUIRE(RunUntil([&] { return IsHeld("id"); }));
  for (size_t n = 1; n < kMaxConnections + 3; ++n) {
    callers.push_back(NewCaller());
    callers.back()->Send("GET /unfinished");
    REQUIRE(RunUntil([&] {
      return front.connections() == std::min(n + 1, kMaxConnections);
    }));
    Settle();
  }
  for (size_t n = 0; n < callers.size(); ++n) {
    CAPTURE(n);
    CHECK(callers[n]->is_closed == (n >= 1 && n <= 3));
  }
  Release("id");
  REQUIRE(RunUntil([&] { return callers[0]->responses.size() == 1; }));
}

// Guards against a loop that accepts without success, and against a VM that
// serves nobody after it was short of descriptors.
TEST_CASE_FIXTURE(FrontMemoryFixture,
                  "Descriptors, none left, pauses accepting and goes on") {
  auto idle = NewCaller();
  REQUIRE(RunUntil([&] { return front.connections() == 1; }));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  // The next descriptor would be the lowest free one.
  const int next = dup(0);
  REQUIRE(next > fd);
  close(next);
  rlimit bound = before;
  bound.rlim_cur = static_cast<rlim_t>(next);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &bound) == 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(front_port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int ec = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  const bool is_connecting = ec == 0 || errno == EINPROGRESS;
  // The idle connection makes room for the new one.
  const bool has_closed = RunUntil([&] { return idle->is_closed; });
  const bool has_accepted = RunUntil([&] { return front.connections() == 1; });
  setrlimit(RLIMIT_NOFILE, &before);
  close(fd);
  CHECK(is_connecting);
  CHECK(has_closed);
  CHECK(has_accepted);
}

}  // namespace
}  // namespace rwf
