#include "net/raw_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>

#include <utility>

namespace rwf {
namespace {

// Delays the close so that it arrives separately from the response, as it does
// between processes.
constexpr Duration kCloseDelay = std::chrono::milliseconds(5);

}  // namespace

RawServer::RawServer(EventLoop* loop, std::string response, bool keeps_open)
    : loop_(loop), response_(std::move(response)), keeps_open_(keeps_open) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ = evconnlistener_new_bind(
      loop->base(), &RawServer::HandleAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
      reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t n = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &n);
  port_ = ntohs(address.sin_port);
}

RawServer::~RawServer() {
  Close();
  while (!connections_.empty()) CloseConnection(connections_.begin()->first);
}

void RawServer::Close() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void RawServer::HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*,
                             int, void* self) {
  auto* server = static_cast<RawServer*>(self);
  bufferevent* bev =
      bufferevent_socket_new(server->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  server->connections_[bev];
  bufferevent_setcb(bev, &RawServer::HandleRead, &RawServer::HandleWritten,
                    &RawServer::HandleEvent, self);
  bufferevent_enable(bev, EV_READ | EV_WRITE);
}

void RawServer::HandleRead(bufferevent* bev, void* self) {
  auto* server = static_cast<RawServer*>(self);
  server->connections_.at(bev).has_read = true;
  evbuffer_drain(bufferevent_get_input(bev), -1);
  if (server->response_.empty()) return HandleWritten(bev, self);
  bufferevent_write(bev, server->response_.data(), server->response_.size());
}

void RawServer::HandleWritten(bufferevent* bev, void* self) {
  auto* server = static_cast<RawServer*>(self);
  Connection& connection = server->connections_.at(bev);
  // libevent also calls this when nothing has been written yet.
  if (server->keeps_open_ || !connection.has_read) return;
  bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
  connection.close_timer = server->loop_->After(
      kCloseDelay, [server, bev] { server->CloseConnection(bev); });
}

void RawServer::HandleEvent(bufferevent* bev, short, void* self) {
  static_cast<RawServer*>(self)->CloseConnection(bev);
}

void RawServer::CloseConnection(bufferevent* bev) {
  connections_.erase(bev);
  bufferevent_free(bev);
}

}  // namespace rwf
