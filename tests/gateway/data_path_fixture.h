#pragma once

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/forwarder.h"
#include "platform/notice_decoder.h"
#include "platform/settings.h"

namespace rwf {

inline constexpr Duration kResponseTimeout = std::chrono::seconds(4);

inline std::string RequestIdOf(const std::string& request) {
  const size_t at = request.find("X-Request-Id: ") + 14;
  return request.substr(at, request.find("\r\n", at) - at);
}

// An instance on loopback that answers each request with scripted bytes.
class ScriptedInstance {
 public:
  // Returns the bytes to send in reply to the received bytes. A leading "CLOSE"
  // closes the connection after the rest has been sent; "CRASH" ends the
  // instance: it closes all connections and listens no more. After "HOLD", the
  // request is kept until Release.
  using Script = std::function<std::string(const std::string& received)>;

  ScriptedInstance(EventLoop* loop, Script script)
      : script_(std::move(script)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ =
        evconnlistener_new_bind(loop->base(), &ScriptedInstance::Accept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&to), sizeof(to));
    socklen_t n = sizeof(to);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&to), &n);
    port = ntohs(to.sin_port);
    base_ = loop->base();
  }
  ~ScriptedInstance() {
    if (listener_ != nullptr) Crash();
  }
  void Crash() {
    evconnlistener_free(listener_);
    listener_ = nullptr;
    for (const auto& [bev, text] : received_) bufferevent_free(bev);
    received_.clear();
  }
  bool has_crashed() const { return listener_ == nullptr; }
  // Answers a request that was kept.
  void Release(const std::string& id, const std::string& response) {
    bufferevent_write(held.at(id), response.data(), response.size());
    held.erase(id);
  }

  uint16_t port = 0;
  int requests = 0;
  int closed = 0;
  std::string last_request;
  std::map<std::string, bufferevent*> held;  // by request id

 private:
  static void Accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                     void* arg) {
    auto* self = static_cast<ScriptedInstance*>(arg);
    bufferevent* bev =
        bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE);
    self->received_[bev] = "";
    bufferevent_setcb(bev, &ScriptedInstance::Read, nullptr,
                      &ScriptedInstance::Event, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
  }
  static void Read(bufferevent* bev, void* arg) {
    auto* self = static_cast<ScriptedInstance*>(arg);
    std::string& text = self->received_[bev];
    evbuffer* buf = bufferevent_get_input(bev);
    std::string more(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, more.data(), more.size());
    text += more;
    if (text.find("\r\n\r\n") == std::string::npos) return;
    ++self->requests;
    self->last_request = text;
    std::string response = self->script_(text);
    text.clear();
    if (response == "CRASH") {
      self->Crash();
      return;
    }
    if (response == "HOLD") {
      self->held[RequestIdOf(self->last_request)] = bev;
      return;
    }
    const bool closes = response.starts_with("CLOSE");
    if (closes) response.erase(0, 5);
    bufferevent_write(bev, response.data(), response.size());
    if (!closes) return;
    // The response is sent before the connection is closed.
    bufferevent_flush(bev, EV_WRITE, BEV_FLUSH);
    const int fd = bufferevent_getfd(bev);
    [[maybe_unused]] const ssize_t n =
        write(fd, response.data(), response.size());
    evbuffer_drain(bufferevent_get_output(bev),
                   evbuffer_get_length(bufferevent_get_output(bev)));
    self->received_.erase(bev);
    bufferevent_free(bev);
  }
  static void Event(bufferevent* bev, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto* self = static_cast<ScriptedInstance*>(arg);
    ++self->closed;
    self->received_.erase(bev);
    std::erase_if(self->held,
                  [bev](const auto& it) { return it.second == bev; });
    bufferevent_free(bev);
  }

  Script script_;
  event_base* base_ = nullptr;
  evconnlistener* listener_ = nullptr;
  std::map<bufferevent*, std::string> received_;
};

inline std::string FullResponse(const std::string& request, int status = 200,
                                const std::string& body = "done") {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Request-Id: " + RequestIdOf(request) +
         "\r\nX-Server-Stamp: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ShedResponse(const std::string& request) {
  return "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
         RequestIdOf(request) + "\r\nContent-Length: 0\r\n\r\n";
}

// A caller that sends requests ahead on one connection.
class PipeliningCaller {
 public:
  PipeliningCaller(EventLoop* loop, uint16_t port)
      : bev_(bufferevent_socket_new(loop->base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(bev_, &PipeliningCaller::Read, nullptr,
                      &PipeliningCaller::Event, this);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&to),
                               sizeof(to));
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
  }
  PipeliningCaller(const PipeliningCaller&) = delete;
  PipeliningCaller& operator=(const PipeliningCaller&) = delete;
  ~PipeliningCaller() { Disconnect(); }

  void Send(const std::string& text) {
    bufferevent_write(bev_, text.data(), text.size());
  }
  void StopReading() { bufferevent_disable(bev_, EV_READ); }
  // Disconnects without an orderly end.
  void Reset() {
    const linger now{1, 0};
    setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &now,
               sizeof(now));
    Disconnect();
  }
  void Disconnect() {
    if (bev_ != nullptr) bufferevent_free(bev_);
    bev_ = nullptr;
  }

  std::vector<ReceivedMessage> responses;
  bool is_closed = false;

 private:
  static void Read(bufferevent* bev, void* arg) {
    auto* self = static_cast<PipeliningCaller*>(arg);
    evbuffer* buf = bufferevent_get_input(bev);
    while (evbuffer_get_length(buf) > 0) {
      std::string bytes(evbuffer_get_length(buf), '\0');
      evbuffer_copyout(buf, bytes.data(), bytes.size());
      const size_t n = self->parser_.Feed(bytes);
      evbuffer_drain(buf, n);
      if (self->parser_.state() != ParseState::kComplete) break;
      self->responses.push_back(self->parser_.Take());
      self->parser_.Reset();
    }
  }
  static void Event(bufferevent*, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<PipeliningCaller*>(arg)->is_closed = true;
  }

  bufferevent* bev_;
  MessageParser parser_{HttpMessageType::kResponse, {}};
};

// The data path of one VM, with scripted instances and one caller.
class DataPathFixture {
 protected:
  explicit DataPathFixture(int64_t memory_mb = 0, int64_t max_descriptors = 0)
      : buffers(BufferAccount::LimitOf(memory_mb)),
        front(&loop,
              {[this](ExchangeId id, ReceivedMessage it) {
                 forwarder->Handle(id, std::move(it));
               },
               [this](ExchangeId id) { forwarder->OnCallerDisconnected(id); },
               [this](const ReceivedMessage& it) {
                 return forwarder->MayPipeline(it);
               }},
              {&buffers, &log, &metrics, header_names.retry_after, memory_mb,
               max_descriptors}) {
    TrafficWorkspace workspace;
    workspace.name = "w";
    workspace.keys = {Sha256("key")};
    std::vector<TrafficRoute> routes;
    for (const bool idempotent : {true, false}) {
      TrafficRoute route;
      route.name = idempotent ? "safe" : "once";
      route.host = "h";
      route.prefix = "/" + route.name + "/";
      route.backends = {{"s", 1}};
      route.idempotent = idempotent;
      route.objective = std::chrono::milliseconds(600);
      route.timeout = std::chrono::milliseconds(900);
      route.max_attempts = 2;
      routes.push_back(route);
    }
    ForwarderDependencies deps;
    deps.loop = &loop;
    deps.header_names = &header_names;
    deps.notice_decoder = &notice_decoder;
    deps.registry = &registry;
    deps.notices = &notices;
    deps.placement = &placement;
    deps.limiter = &limiter;
    deps.budget = &budget;
    deps.pool = &pool;
    deps.buffers = &buffers;
    deps.freshness = &freshness;
    deps.crashes = &crashes;
    deps.log = &log;
    deps.metrics = &metrics;
    deps.front = &front;
    deps.local_vm_count = [] { return size_t{1}; };
    forwarder = std::make_unique<Forwarder>(deps);
    forwarder->SetCatalog(std::make_shared<const Catalog>(
        1, routes, std::vector<TrafficWorkspace>{workspace},
        std::vector<TrafficService>{}, CallerLimits{}));
    limiter.SetLimits({workspace}, EventLoop::Now());
    budget.SetBounds({1, 100, std::chrono::seconds(10)});
    freshness.OnConfirmed(BootTimeNow());
    REQUIRE(front.Listen("127.0.0.1", front_port).has_value());
  }

  void AddInstance(const std::string& id, uint16_t port,
                   int64_t started_ms = 0) {
    InstanceInfo info;
    info.started_ms = started_ms;
    info.id = id;
    info.service = "s";
    info.address = "127.0.0.1";
    info.port = port;
    info.zone = "z";
    info.region = "r";
    info.slots = 6;
    registry.Put(info, EventLoop::Now());
  }

  // Sends one request on a new connection and returns the response.
  ReceivedMessage SendRequest(const std::string& text,
                              bool disconnects_early = false) {
    MessageParser parser(HttpMessageType::kResponse, {});
    bufferevent* bev =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(front_port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct Caller {
      MessageParser* parser;
      EventLoop* loop;
    } caller{&parser, &loop};
    bufferevent_setcb(
        bev,
        [](bufferevent* b, void* arg) {
          auto* it = static_cast<Caller*>(arg);
          evbuffer* buf = bufferevent_get_input(b);
          std::string bytes(evbuffer_get_length(buf), '\0');
          evbuffer_remove(buf, bytes.data(), bytes.size());
          it->parser->Feed(bytes);
          if (it->parser->state() == ParseState::kComplete) it->loop->Stop();
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<Caller*>(arg)->loop->Stop();
        },
        &caller);
    bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&to),
                               sizeof(to));
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_write(bev, text.data(), text.size());
    const Duration wait =
        disconnects_early ? std::chrono::milliseconds(150) : kResponseTimeout;
    const auto timer = loop.After(wait, [this] { loop.Stop(); });
    loop.Run();
    bufferevent_free(bev);
    return parser.Take();
  }

  // Runs the loop until the condition holds. Returns false after 10 s, for
  // which no condition of these tests has a reason.
  bool RunUntil(const std::function<bool()>& condition) {
    const TimePoint end = EventLoop::Now() + std::chrono::seconds(10);
    while (!condition() && EventLoop::Now() < end) RunOnce();
    return condition();
  }
  // Lets events that are due, and what follows from them, happen.
  void Settle() {
    for (int n = 0; n < 20; ++n) RunOnce();
  }
  void RunOnce() {
    const auto timer =
        loop.After(std::chrono::milliseconds(2), [this] { loop.Stop(); });
    loop.Run();
  }

  static std::string RequestText(const std::string& path, const std::string& id,
                                 const std::string& extra = "") {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key\r\n" + extra +
           "\r\n";
  }

  // Differs between processes, since tests of several builds may run at once.
  static uint16_t FreePort() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(at);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&at), n) == 0);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n) == 0);
    close(fd);
    return ntohs(at.sin_port);
  }

  const uint16_t front_port = FreePort();

  EventLoop loop;
  HeaderNames header_names = platform::PlatformDialect();
  InstanceRegistry registry;
  platform::ResponseNoticeDecoder notice_decoder;
  InstanceNotices notices;
  Placement placement{PlacementSettings{"r"}, &registry, &notices};
  WorkspaceLimiter limiter{"vm", EventLoop::Now()};
  AttemptBudget budget;
  BufferAccount buffers;
  UpstreamPool pool{&loop, &buffers};
  KeyFreshness freshness{std::chrono::seconds(60)};
  CrashWatch crashes;
  int null_fd = open("/dev/null", O_WRONLY);
  EventLog log{&loop, null_fd, "vm"};
  Metrics metrics;
  FrontServer front;
  std::unique_ptr<Forwarder> forwarder;
};

}  // namespace rwf
