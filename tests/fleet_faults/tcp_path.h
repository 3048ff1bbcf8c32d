#pragma once

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace rwf {

// The network path from one VM to another: passes connections on until it is
// cut. Then bytes stand still, and new connections hang as behind a partition:
// the queue of the listening socket is kept full, so that the kernel drops what
// opens a connection.
class TcpPath {
 public:
  static constexpr int kBacklog = 64;
  static constexpr int kMaxFillers = 8;

  TcpPath(EventLoop* loop, const std::string& address,
          const std::string& target, uint16_t port)
      : loop_(loop),
        address_(Address(address, port)),
        target_(Address(target, port)),
        listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    is_open = bind(listener_, reinterpret_cast<sockaddr*>(&address_),
                   sizeof(address_)) == 0;
    SetCut(false);
  }
  TcpPath(const TcpPath&) = delete;
  TcpPath& operator=(const TcpPath&) = delete;
  ~TcpPath() {
    SetCut(true);
    for (const int fd : fillers_) close(fd);
    for (const auto& [bev, other] : pairs_) bufferevent_free(bev);
    close(listener_);
  }

  void SetCut(bool is_cut) {
    for (const int fd : fillers_) close(fd);
    fillers_.clear();
    accept_event_.reset();
    for (const auto& [bev, other] : pairs_) {
      if (is_cut) {
        bufferevent_disable(bev, EV_READ | EV_WRITE);
      } else {
        bufferevent_enable(bev, EV_READ | EV_WRITE);
      }
    }
    listen(listener_, is_cut ? 0 : kBacklog);
    if (!is_cut) {
      accept_event_.reset(event_new(loop_->base(), listener_,
                                    EV_READ | EV_PERSIST, &TcpPath::Accept,
                                    this));
      event_add(accept_event_.get(), nullptr);
      return;
    }
    for (int n = 0; n < kMaxFillers; ++n) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(fd, reinterpret_cast<sockaddr*>(&address_), sizeof(address_));
      fillers_.push_back(fd);
    }
  }

  bool is_open = false;

 private:
  static sockaddr_in Address(const std::string& text, uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, text.c_str(), &out.sin_addr);
    return out;
  }
  static void Accept(evutil_socket_t listener, short, void* arg) {
    auto* self = static_cast<TcpPath*>(arg);
    const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd < 0) return;
    bufferevent* from =
        bufferevent_socket_new(self->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* to =
        bufferevent_socket_new(self->loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
    self->pairs_[from] = to;
    self->pairs_[to] = from;
    for (bufferevent* bev : {from, to}) {
      bufferevent_setcb(bev, &TcpPath::Read, nullptr, &TcpPath::Event, self);
      bufferevent_enable(bev, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(to, reinterpret_cast<sockaddr*>(&self->target_),
                               sizeof(self->target_));
  }
  static void Read(bufferevent* bev, void* arg) {
    auto* self = static_cast<TcpPath*>(arg);
    bufferevent_write_buffer(self->pairs_.at(bev), bufferevent_get_input(bev));
  }
  static void Event(bufferevent* bev, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto* self = static_cast<TcpPath*>(arg);
    bufferevent* other = self->pairs_.at(bev);
    self->pairs_.erase(bev);
    self->pairs_.erase(other);
    bufferevent_free(bev);
    bufferevent_free(other);
  }

  EventLoop* loop_;
  sockaddr_in address_;
  sockaddr_in target_;
  int listener_;
  EventPtr accept_event_;
  std::vector<int> fillers_;
  std::map<bufferevent*, bufferevent*> pairs_;
};

}  // namespace rwf
