#include "net/peer_links.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <map>

#include "net/net_error.h"
#include "net/raw_server.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

struct LinksFixture {
  EventLoop loop;
  std::unique_ptr<Timer> time_limit =
      loop.After(std::chrono::seconds(10), [this] { loop.Stop(); });

  std::unique_ptr<PeerLinks> Make(const std::string& vm, uint64_t incarnation,
                                  const std::string& secret = "secret") {
    return std::make_unique<PeerLinks>(
        &loop, LinkIdentity{"site", vm, incarnation, {secret}}, incarnation);
  }
  // Runs until `done` returns true. Returns false after the time limit.
  bool RunUntil(const std::function<bool()>& done) {
    const auto timer = loop.Every(milliseconds(1), [&] {
      if (done()) loop.Stop();
    });
    loop.Run();
    return done();
  }
};

TEST_CASE_FIXTURE(
    LinksFixture,
    "PeerLinks, both sides dial, one link remains and carries messages") {
  auto a = Make("a", 1);
  auto b = Make("b", 2);
  const uint16_t port_a = a->Listen("127.0.0.1", 0).value();
  const uint16_t port_b = b->Listen("127.0.0.1", 0).value();
  std::vector<uint64_t> received;
  b->signal_message.connect(
      [&](const std::string& vm, const wire::MessageT& message) {
        CHECK(vm == "a");
        received.push_back(message.body.AsProbe()->nonce);
      });
  a->SetAddresses({{"b", "127.0.0.1", port_b}});
  b->SetAddresses({{"a", "127.0.0.1", port_a}});
  a->SetWanted({"b"});
  b->SetWanted({"a"});
  REQUIRE(RunUntil([&] { return a->HasLink("b") && b->HasLink("a"); }));
  uint64_t n = 0;
  // Messages may be lost while the duplicate link is closed, but not
  // afterwards.
  REQUIRE(RunUntil([&] {
    wire::ProbeT probe;
    probe.nonce = ++n;
    wire::BodyUnion body;
    body.Set(std::move(probe));
    a->Send("b", std::move(body));
    return received.size() >= 20;
  }));
  CHECK(std::is_sorted(received.begin(), received.end()));
}

TEST_CASE_FIXTURE(LinksFixture,
                  "PeerLinks, peer without the secret, gets no link") {
  auto a = Make("a", 1);
  auto b = Make("b", 2, "another");
  const uint16_t port_b = b->Listen("127.0.0.1", 0).value();
  a->SetAddresses({{"b", "127.0.0.1", port_b}});
  a->SetWanted({"b"});
  REQUIRE(RunUntil([&] {
    return a->counters().links_refused + b->counters().links_refused >= 2;
  }));
  CHECK_FALSE(a->HasLink("b"));
  CHECK_FALSE(b->HasLink("a"));
}

// A listener on loopback whose queue is full, so that connections to it hang.
class FullListener {
 public:
  FullListener() {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* address = reinterpret_cast<sockaddr*>(&to);
    socklen_t n = sizeof(to);
    sockets_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    REQUIRE(bind(sockets_[0], address, n) == 0);
    REQUIRE(listen(sockets_[0], 0) == 0);
    getsockname(sockets_[0], address, &n);
    port_ = ntohs(to.sin_port);
    for (int k = 0; k < 4; ++k) {
      sockets_.push_back(
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      // Non-blocking: it is in progress, or waits for the full backlog.
      CHECK(
          (connect(sockets_.back(), address, n) == 0 || errno == EINPROGRESS));
    }
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;
  ~FullListener() {
    for (const int it : sockets_) close(it);
  }
  uint16_t port() const { return port_; }

 private:
  std::vector<int> sockets_;
  uint16_t port_ = 0;
};

// Both sides dial during a partition. Guards against a link that counts as down
// for good because the dial of this side timed out after the peer's dial had
// brought the link up.
TEST_CASE_FIXTURE(LinksFixture,
                  "PeerLinks, dial fails after the peer's dial linked, keeps "
                  "the link up") {
  auto a = Make("a", 1);
  auto b = Make("b", 2);
  const FullListener full;
  const uint16_t port_a = a->Listen("127.0.0.1", 0).value();
  std::vector<std::string> states;
  a->signal_up.connect(
      [&](const std::string&, uint64_t) { states.emplace_back("up"); });
  a->signal_down.connect(
      [&](const std::string&, bool) { states.emplace_back("down"); });
  int failed = 0;
  a->signal_probed.connect([&](const std::string&, std::error_code ec,
                               TimePoint) { failed += ec ? 1 : 0; });
  a->SetAddresses({{"b", "127.0.0.1", full.port()}});
  a->SetWanted({"b"});
  const auto timer = loop.After(milliseconds(300), [&] {
    b->SetAddresses({{"a", "127.0.0.1", port_a}});
    b->SetWanted({"a"});
  });
  REQUIRE(RunUntil([&] { return failed > 0; }));
  CHECK(a->HasLink("b"));
  CHECK(states == std::vector<std::string>{"up"});
}

// A refused connection proves that no process listens, so that another VM may
// use the share. Guards against taking a missing response for that proof.
TEST_CASE_FIXTURE(LinksFixture,
                  "PeerLinks, probe, distinguishes refusal from acceptance") {
  auto a = Make("a", 1);
  RawServer silent(&loop, "", /*keeps_open=*/true);
  RawServer closed(&loop, "");
  const uint16_t closed_port = closed.port();
  closed.Close();
  std::map<std::string, std::error_code> results;
  a->signal_probed.connect([&](const std::string& vm, std::error_code ec,
                               TimePoint) { results[vm] = ec; });
  a->SetAddresses({{"silent", "127.0.0.1", silent.port()},
                   {"closed", "127.0.0.1", closed_port}});
  a->Probe("silent");
  a->Probe("closed");
  REQUIRE(RunUntil([&] { return results.size() == 2; }));
  CHECK_FALSE(results["silent"]);
  CHECK(results["closed"] == NetErrc::kConnectRefused);
}

// Guards against a crash on arbitrary bytes sent to the peer port.
TEST_CASE_FIXTURE(
    LinksFixture,
    "PeerLinks, invalid bytes, are refused and the listener keeps accepting") {
  auto a = Make("a", 1);
  const uint16_t port = a->Listen("127.0.0.1", 0).value();
  auto b = Make("b", 2);
  const char* const bytes[] = {"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff",
                               "\x14\0\0\0garbage-garbage-garbage"};
  std::vector<std::unique_ptr<ConnectAttempt>> attempts;
  std::vector<int> sockets;
  for (const char* it : bytes) {
    attempts.push_back(std::make_unique<ConnectAttempt>(
        &loop, "127.0.0.1", port, milliseconds(1000),
        [&sockets, it](std::error_code, int fd) {
          sockets.push_back(fd);
          CHECK(write(fd, it, strlen(it)) > 0);
        }));
  }
  REQUIRE(RunUntil([&] { return sockets.size() == 3; }));
  b->SetAddresses({{"a", "127.0.0.1", port}});
  b->SetWanted({"a"});
  CHECK(RunUntil(
      [&] { return b->HasLink("a") && a->counters().links_refused >= 1; }));
  for (int it : sockets) evutil_closesocket(it);
}

}  // namespace
}  // namespace rwf
