// Tests of every way in which a connection ends while its caller still reads a
// response.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/data_path_fixture.h"

namespace rwf {
namespace {

constexpr size_t kBodyBytes = 450'000;

// A caller with a small receive buffer that reads at a bounded rate.
class SlowCaller {
 public:
  static constexpr size_t kBytesPerRead = 6000;
  static constexpr Duration kReadInterval = std::chrono::milliseconds(20);
  static constexpr int kReceiveBuffer = 16 << 10;

  SlowCaller(EventLoop* loop, uint16_t port)
      : loop_(loop), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    timer_ = loop->Every(kReadInterval, [this] { Read(); });
  }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;
  ~SlowCaller() { close(fd_); }

  void Send(const std::string& text) const {
    send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  void SendEvery(Duration interval, std::function<std::string()> text) {
    send_timer_ = loop_->Every(
        interval, [this, text = std::move(text)] { Send(text()); });
  }
  void EndRequests() const { shutdown(fd_, SHUT_WR); }

  size_t received_bytes = 0;
  std::vector<ReceivedMessage> responses;
  bool is_closed = false;

 private:
  void Read() {
    std::string bytes(kBytesPerRead, '\0');
    const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      is_closed = true;
      timer_.reset();
      send_timer_.reset();
      return;
    }
    received_bytes += static_cast<size_t>(n);
    bytes.resize(static_cast<size_t>(n));
    while (!bytes.empty()) {
      bytes.erase(0, parser_.Feed(bytes));
      if (parser_.state() != ParseState::kComplete) break;
      responses.push_back(parser_.Take());
      parser_.Reset();
    }
  }

  EventLoop* loop_;
  int fd_;
  MessageParser parser_{HttpMessageType::kResponse, {}};
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> send_timer_;
};

// One instance with large responses, and a front with few connections.
class SlowReaderFixture : public DataPathFixture {
 public:
  using DataPathFixture::front;
  using DataPathFixture::front_port;
  using DataPathFixture::loop;
  using DataPathFixture::RunUntil;

  static constexpr int64_t kDescriptors = 10;

  SlowReaderFixture() : DataPathFixture(0, kDescriptors) {
    AddInstance("i1", instance.port);
  }
  std::string NextRequest(const std::string& extra = "") {
    return RequestText("/safe/x", "id" + std::to_string(++requests), extra);
  }
  void SetIdleTimeout(Duration timeout) {
    CallerLimits limits;
    limits.idle_timeout = timeout;
    front.SetLimits(limits);
  }
  bool ReadsFirstResponse(const SlowCaller& caller) {
    RunUntil([&] { return caller.is_closed || !caller.responses.empty(); });
    return !caller.responses.empty() &&
           caller.responses.front().body.size() == kBodyBytes;
  }

  int requests = 0;
  ScriptedInstance instance{
      &loop, [](const std::string& it) {
        const bool is_first = RequestIdOf(it) == "id1";
        return FullResponse(it, 200,
                            is_first ? std::string(kBodyBytes, 'x') : "done");
      }};
};

// Guards against a response that is cut because the connection is closed once
// the kernel has taken its last byte: a caller that still reads has not
// received it, and one that sends further requests gets a reset.
TEST_CASE("Caller, reads slowly while its connection ends, gets the response") {
  struct Row {
    std::string name;
    // Makes the connection end after the first bytes have been read.
    std::function<void(SlowReaderFixture*, SlowCaller*)> end;
  };
  std::unique_ptr<Timer> timer;
  std::vector<std::unique_ptr<PipeliningCaller>> others;
  const std::vector<Row> rows = {
      {"planned stop",
       [](SlowReaderFixture* it, SlowCaller* caller) {
         it->front.CloseAfterResponses();
         caller->Send(it->NextRequest());
       }},
      {"VM admits no more",
       [&](SlowReaderFixture* it, SlowCaller*) {
         it->front.CloseAfterResponses();
         timer = it->loop.Every(std::chrono::milliseconds(50),
                                [it] { it->front.CloseIdle(); });
       }},
      {"idle timeout",
       [](SlowReaderFixture*, SlowCaller*) {
         // Set from the start, since it applies to idle connections.
       }},
      {"caller closes",
       [](SlowReaderFixture* it, SlowCaller* caller) {
         caller->Send(it->NextRequest("Connection: close\r\n"));
       }},
      {"malformed request",
       [](SlowReaderFixture*, SlowCaller* caller) {
         caller->Send("nonsense\r\n\r\n");
       }},
      {"caller ends its requests",
       [](SlowReaderFixture*, SlowCaller* caller) { caller->EndRequests(); }},
      {"too many connections",
       [&](SlowReaderFixture* it, SlowCaller*) {
         timer = it->loop.Every(std::chrono::milliseconds(50), [&, it] {
           others.push_back(
               std::make_unique<PipeliningCaller>(&it->loop, it->front_port));
         });
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (const bool sends_ahead : {false, true}) {
      CAPTURE(sends_ahead);
      SlowReaderFixture fixture;
      const bool is_idle_row = row.name == "idle timeout";
      if (is_idle_row) fixture.SetIdleTimeout(std::chrono::milliseconds(300));
      SlowCaller caller(&fixture.loop, fixture.front_port);
      caller.Send(fixture.NextRequest());
      REQUIRE(fixture.RunUntil([&] { return caller.received_bytes > 20'000; }));
      row.end(&fixture, &caller);
      if (sends_ahead) {
        caller.SendEvery(std::chrono::milliseconds(500),
                         [&] { return fixture.NextRequest(); });
      }
      CHECK(fixture.ReadsFirstResponse(caller));
      timer.reset();
      others.clear();
    }
  }
}

// Guards against an idle timeout that counts the time in which the caller still
// reads: it may use the connection again for four fifths of the timeout.
TEST_CASE_FIXTURE(
    SlowReaderFixture,
    "Caller, reads longer than the idle timeout, may send again") {
  SetIdleTimeout(std::chrono::milliseconds(700));
  SlowCaller caller(&loop, front_port);
  caller.Send(NextRequest());
  REQUIRE(ReadsFirstResponse(caller));
  const auto timer =
      loop.After(std::chrono::milliseconds(400), [this] { loop.Stop(); });
  loop.Run();
  caller.Send(NextRequest());
  REQUIRE(RunUntil([&] { return caller.responses.size() == 2; }));
  CHECK(caller.responses.back().status == 200);
}

// Guards against connections that stay open for callers that never close them.
TEST_CASE_FIXTURE(SlowReaderFixture,
                  "Connection, nothing to deliver, ends soon after it is "
                  "half-closed") {
  SlowCaller caller(&loop, front_port);
  REQUIRE(RunUntil([&] { return front.connections() == 1; }));
  front.CloseIdle();
  REQUIRE(RunUntil([&] { return caller.is_closed; }));
  CHECK(front.connections() == 1);
  CHECK(RunUntil([&] { return front.connections() == 0; }));
}

}  // namespace
}  // namespace rwf
