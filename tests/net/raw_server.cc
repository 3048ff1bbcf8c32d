#include "net/raw_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <utility>

namespace rwf {
namespace {

// The answer and the close travel apart, as they do between processes.
constexpr timeval kCloseDelay = {0, 5000};

struct RawConnection {
  std::string answer;
  bool keeps_open;
  bool has_read = false;
  bufferevent* bev = nullptr;
};

void Drop(bufferevent* bev, void* arg) {
  delete static_cast<RawConnection*>(arg);
  bufferevent_free(bev);
}

void OnEvent(bufferevent* bev, short, void* arg) { Drop(bev, arg); }

void DropLater(evutil_socket_t, short, void* arg) {
  Drop(static_cast<RawConnection*>(arg)->bev, arg);
}

void OnWritten(bufferevent* bev, void* arg) {
  auto* connection = static_cast<RawConnection*>(arg);
  // libevent also reports an output buffer that has been empty from the start.
  if (connection->keeps_open || !connection->has_read) return;
  connection->bev = bev;
  bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
  event_base_once(bufferevent_get_base(bev), -1, EV_TIMEOUT, &DropLater, arg,
                  &kCloseDelay);
}

void OnRead(bufferevent* bev, void* arg) {
  auto* connection = static_cast<RawConnection*>(arg);
  connection->has_read = true;
  evbuffer_drain(bufferevent_get_input(bev), -1);
  if (connection->answer.empty()) {
    OnWritten(bev, arg);
    return;
  }
  bufferevent_write(bev, connection->answer.data(), connection->answer.size());
}

void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr*, int,
              void* arg) {
  bufferevent* bev = bufferevent_socket_new(evconnlistener_get_base(listener),
                                            fd, BEV_OPT_CLOSE_ON_FREE);
  const auto* prototype = static_cast<RawConnection*>(arg);
  bufferevent_setcb(bev, &OnRead, &OnWritten, &OnEvent,
                    new RawConnection(*prototype));
  bufferevent_enable(bev, EV_READ | EV_WRITE);
}

}  // namespace

RawServer::RawServer(EventLoop* loop, std::string answer, bool keeps_open)
    : answer_(std::move(answer)), keeps_open_(keeps_open) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ = evconnlistener_new_bind(
      loop->base(), &OnAccept, new RawConnection{answer_, keeps_open_},
      LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&address),
      sizeof(address));
  socklen_t n = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &n);
  port_ = ntohs(address.sin_port);
}

RawServer::~RawServer() { Close(); }

void RawServer::Close() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

}  // namespace rwf
