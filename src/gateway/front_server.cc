#include "gateway/front_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <vector>

#include "net/net_error.h"

namespace rwf {
namespace {

constexpr int kListenBacklog = 512;
// A connection is dropped if its caller does not acknowledge bytes for this
// long.
constexpr unsigned kUserTimeoutMs = 10'000;

}  // namespace

FrontServer::Connection::~Connection() {
  if (bev != nullptr) bufferevent_free(bev);
}

FrontServer::FrontServer(EventLoop* loop, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

FrontServer::~FrontServer() { StopListening(); }

Result<void> FrontServer::Listen(const std::string& address, uint16_t port) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &bound.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_->base(), &FrontServer::HandleAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  if (listener_ == nullptr) {
    return Fail(NetErrc::kListenFailed,
                fmt::format("cannot listen for callers on {}:{}: {}", address,
                            port, std::strerror(errno)));
  }
  return {};
}

void FrontServer::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void FrontServer::HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*,
                               int, void* self) {
  auto* server = static_cast<FrontServer*>(self);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  auto it = std::make_unique<Connection>();
  it->server = server;
  it->id = server->next_id_++;
  it->bev =
      bufferevent_socket_new(server->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(it->bev, &FrontServer::HandleRead,
                    &FrontServer::HandleWrite, &FrontServer::HandleEvent,
                    it.get());
  server->SetReadTimeout(it.get(), server->limits_.idle_timeout);
  bufferevent_enable(it->bev, EV_READ | EV_WRITE);
  server->connections_.emplace(it->id, std::move(it));
}

void FrontServer::SetReadTimeout(Connection* it, Duration timeout) {
  const timeval stall = ToTimeval(kStallTimeout);
  if (timeout <= Duration::zero()) {
    bufferevent_set_timeouts(it->bev, nullptr, &stall);
    return;
  }
  const timeval tv = ToTimeval(timeout);
  bufferevent_set_timeouts(it->bev, &tv, &stall);
}

void FrontServer::HandleRead(bufferevent*, void* arg) {
  auto* it = static_cast<Connection*>(arg);
  it->server->ReadMore(it);
}

void FrontServer::ReadMore(Connection* it) {
  evbuffer* buf = bufferevent_get_input(it->bev);
  if (it->state == State::kLingering) {
    evbuffer_drain(buf, evbuffer_get_length(buf));
    return;
  }
  // Pipelined bytes of the next request stay buffered until the response is
  // sent.
  if (it->state == State::kHandling || it->state == State::kReplying) return;
  while (evbuffer_get_length(buf) > 0) {
    if (it->state == State::kIdle) {
      it->state = State::kReading;
      it->request_started_at = EventLoop::Now();
      it->sent_continue = false;
      it->parser.Reset();
      it->parser.set_limits({static_cast<size_t>(limits_.max_header_bytes),
                             static_cast<size_t>(limits_.max_body_bytes)});
      SetReadTimeout(it, limits_.header_timeout);
    }
    evbuffer_iovec chunk;
    if (evbuffer_peek(buf, -1, nullptr, &chunk, 1) < 1) return;
    const size_t n = it->parser.Feed(
        {static_cast<const char*>(chunk.iov_base), chunk.iov_len});
    evbuffer_drain(buf, n);
    switch (it->parser.state()) {
      case ParseState::kHead:
        if (limits_.header_timeout > Duration::zero() &&
            EventLoop::Now() - it->request_started_at >
                limits_.header_timeout) {
          Refuse(it, 408);
          return;
        }
        break;
      case ParseState::kBody:
        if (!it->sent_continue) {
          it->sent_continue = true;
          SetReadTimeout(it, kStallTimeout);
          if (it->parser.message().headers.Has("Expect")) {
            static constexpr std::string_view kContinue =
                "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(it->bev, kContinue.data(), kContinue.size());
          }
        }
        break;
      case ParseState::kComplete: {
        it->state = State::kHandling;
        ++open_requests_;
        SetReadTimeout(it, Duration::zero());
        bufferevent_setwatermark(it->bev, EV_READ, 0, kMaxPipelinedBytes);
        ReceivedMessage message = it->parser.Take();
        it->should_close = !message.keep_alive;
        it->is_head = message.method == "HEAD";
        callbacks_.on_request(it->id, std::move(message));
        return;
      }
      case ParseState::kHeadTooLarge:
        Refuse(it, 431);
        return;
      case ParseState::kBodyTooLarge:
        Refuse(it, 413);
        return;
      case ParseState::kMalformed:
        Refuse(it, 400);
        return;
    }
  }
}

void FrontServer::Refuse(Connection* it, int status) {
  it->should_close = true;
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  Send(it, status, headers, Body(R"({"error":"request refused"})"));
}

void FrontServer::Reply(CallerId id, int status, const HttpHeaders& headers,
                        const Body& body) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection* it = found->second.get();
  if (it->state != State::kHandling) return;
  --open_requests_;
  if (closes_after_responses_) it->should_close = true;
  Send(it, status, headers, body);
}

void FrontServer::Send(Connection* it, int status, const HttpHeaders& headers,
                       const Body& body) {
  HttpHeaders out = headers;
  if (it->should_close) out.Add("Connection", "close");
  const std::string head =
      SerializeResponseHead(status, out, body.size(), it->is_head);
  it->state = State::kReplying;
  evbuffer* buf = bufferevent_get_output(it->bev);
  evbuffer_add(buf, head.data(), head.size());
  if (HasResponseBody(status, it->is_head)) body.AddTo(buf);
}

void FrontServer::HandleWrite(bufferevent* bev, void* arg) {
  auto* it = static_cast<Connection*>(arg);
  if (it->state != State::kReplying) return;
  if (evbuffer_get_length(bufferevent_get_output(bev)) > 0) return;
  if (it->should_close || it->server->closes_after_responses_) {
    it->server->Linger(it);
    return;
  }
  it->state = State::kIdle;
  it->server->SetReadTimeout(it, it->server->limits_.idle_timeout);
  it->server->ReadMore(it);
}

void FrontServer::Linger(Connection* it) {
  it->state = State::kLingering;
  shutdown(bufferevent_getfd(it->bev), SHUT_WR);
  SetReadTimeout(it, kLingerTimeout);
  // Reading is disabled after a read timeout.
  bufferevent_enable(it->bev, EV_READ);
  ReadMore(it);
}

void FrontServer::HandleEvent(bufferevent*, short what, void* arg) {
  auto* it = static_cast<Connection*>(arg);
  FrontServer* server = it->server;
  if ((what & BEV_EVENT_TIMEOUT) != 0 && it->state == State::kReading &&
      (what & BEV_EVENT_READING) != 0) {
    server->Refuse(it, 408);
    return;
  }
  const CallerId id = it->id;
  if (it->state == State::kHandling) {
    --server->open_requests_;
    // The callback may look up the caller, so the connection is removed first.
    auto owned = std::move(server->connections_[id]);
    server->connections_.erase(id);
    server->callbacks_.on_disconnected(id);
    return;
  }
  server->Remove(id);
}

void FrontServer::Remove(CallerId id) { connections_.erase(id); }

void FrontServer::CloseIdle() {
  std::vector<Connection*> idle;
  for (const auto& [id, it] : connections_) {
    if (it->state == State::kIdle &&
        evbuffer_get_length(bufferevent_get_input(it->bev)) == 0)
      idle.push_back(it.get());
  }
  for (Connection* it : idle) Linger(it);
}

}  // namespace rwf
