#include "gateway/upstream_pool.h"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <string>
#include <utility>
#include <vector>

#include "stalled_server.h"

namespace rwf {
namespace {

// An instance on loopback whose responses to requests under /hold/ never come.
class PoolFixture {
 protected:
  PoolFixture() {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
          static_cast<PoolFixture*>(arg)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&to), sizeof(to));
    socklen_t n = sizeof(to);
    getsockname(evconnlistener_get_fd(listener),
                reinterpret_cast<sockaddr*>(&to), &n);
    target = {"i", "127.0.0.1", ntohs(to.sin_port)};
  }
  ~PoolFixture() {
    CloseAccepted();
    evconnlistener_free(listener);
  }
  void Accept(evutil_socket_t fd) {
    bufferevent* bev =
        bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    accepted.push_back(bev);
    bufferevent_setcb(
        bev,
        [](bufferevent* b, void* arg) {
          evbuffer* buf = bufferevent_get_input(b);
          std::string text(evbuffer_get_length(buf), '\0');
          evbuffer_remove(buf, text.data(), text.size());
          if (text.find("/hold/") != std::string::npos) return;
          const std::string response =
              "HTTP/1.1 200 X\r\nId: r\r\n" +
              static_cast<PoolFixture*>(arg)->extra_header +
              "Content-Length: 0\r\n\r\n";
          bufferevent_write(b, response.data(), response.size());
        },
        nullptr, nullptr, this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
  }
  // Closes all connections of the instance.
  void CloseAccepted() {
    for (bufferevent* it : accepted) {
      // libevent closes the descriptor only when the loop runs.
      shutdown(bufferevent_getfd(it), SHUT_RDWR);
      bufferevent_free(it);
    }
    accepted.clear();
  }

  UpstreamPool::SendId Start(bool is_idempotent,
                             const std::string& path = "/") {
    UpstreamPool::Request request;
    request.head = "GET " + path + " HTTP/1.1\r\n\r\n";
    request.request_id = "r";
    request.id_header = "Id";
    request.is_idempotent = is_idempotent;
    return pool.Send(target, std::move(request), [this](const SendResult& it) {
      outcomes.push_back(it.outcome);
      loop.Stop();
    });
  }
  // Returns true if the instance responded.
  bool Send(bool is_idempotent) {
    const size_t n = outcomes.size();
    Start(is_idempotent);
    Run(std::chrono::seconds(2));
    return outcomes.size() == n + 1 &&
           outcomes.back() == SendOutcome::kResponded;
  }
  void Run(Duration time) {
    const auto end = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  uint64_t Opened(OpenReason reason) const {
    return pool.counters().opened_by[static_cast<size_t>(reason)];
  }

  EventLoop loop;
  UpstreamPool pool{&loop};
  evconnlistener* listener = nullptr;
  std::vector<bufferevent*> accepted;
  UpstreamTarget target;
  std::string extra_header;
  std::vector<SendOutcome> outcomes;
};

// Guards against connections whose reason is unknown, so that an operator can
// not tell what opens them.
TEST_CASE_FIXTURE(PoolFixture, "Upstream pool, opens, counts the reason") {
  CHECK(Send(true));
  CHECK(Send(false));
  CHECK(Opened(OpenReason::kFirst) == 1);
  const UpstreamPool::SendId held = Start(true, "/hold/");
  CHECK(Send(true));
  CHECK(Opened(OpenReason::kBusy) == 1);
  pool.Cancel(held);
  extra_header = "Connection: close\r\n";
  CHECK(Send(true));
  extra_header = {};
  CHECK(Send(true));
  CHECK(Opened(OpenReason::kNotKept) == 1);
  pool.Cancel(Start(true, "/hold/"));
  CHECK(Send(true));
  CHECK(Opened(OpenReason::kCancelled) == 1);
  CloseAccepted();
  Run(std::chrono::milliseconds(50));
  CHECK(Send(true));
  CHECK(Opened(OpenReason::kClosed) == 1);
  pool.Probe(target, [this](bool) { loop.Stop(); });
  Run(std::chrono::seconds(2));
  CHECK(Opened(OpenReason::kProbe) == 1);
  CHECK(pool.counters().opened == 6);
}

// Guards against a request that is lost because this VM was busy or paused
// while the instance closed the connection.
TEST_CASE_FIXTURE(PoolFixture,
                  "Upstream pool, close not yet read, opens a connection") {
  CHECK(Send(false));
  CloseAccepted();
  CHECK(Send(false));
  CHECK(Opened(OpenReason::kClosed) == 1);
  CHECK(pool.counters().reused == 0);
}

// Guards against reuse at the moment at which an instance closes that
// advertises a short timeout, and against never reusing its connections.
TEST_CASE_FIXTURE(PoolFixture,
                  "Upstream pool, timeout of 1 s advertised, reuses for half") {
  extra_header = "Keep-Alive: timeout=1\r\n";
  CHECK(Send(false));
  Run(std::chrono::milliseconds(200));
  CHECK(Send(false));
  CHECK(pool.counters().reused == 1);
  Run(std::chrono::milliseconds(600));
  CHECK(Send(false));
  CHECK(pool.counters().reused == 1);
}

// Guards against a cancelled request that reaches its instance seconds later,
// when the instance may be leaving: a closed connection still delivers what it
// holds.
TEST_CASE("Request, cancelled before the instance read it, never arrives") {
  EventLoop loop;
  UpstreamPool pool(&loop);
  const StalledServer instance;
  const std::string last = "the last bytes";
  UpstreamPool::Request request;
  request.head = "POST /x HTTP/1.1\r\nContent-Length: 20014\r\n\r\n" +
                 std::string(20000, 'x') + last;
  request.request_id = "r";
  request.id_header = "Id";
  const UpstreamPool::SendId id =
      pool.Send({"i", "127.0.0.1", instance.port}, std::move(request),
                [](const SendResult&) {});
  const auto run_for = [&](Duration time) {
    const auto timer = loop.After(time, [&] { loop.Stop(); });
    loop.Run();
  };
  run_for(std::chrono::milliseconds(100));
  REQUIRE(pool.connections() == 1);
  pool.Cancel(id);
  run_for(std::chrono::milliseconds(20));
  CHECK_FALSE(instance.ReadAll().ends_with(last));
}

}  // namespace
}  // namespace rwf
