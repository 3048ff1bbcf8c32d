#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"

namespace rwf {

// Responds to the first bytes on each connection with fixed bytes, which may be
// an invalid response, and then closes it unless `keeps_open` is set.
class RawServer {
 public:
  RawServer(EventLoop* loop, std::string response, bool keeps_open = false);
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer();

  uint16_t port() const { return port_; }
  // Stops accepting connections. Open connections remain in use.
  void Close();

 private:
  struct Connection {
    bool has_read = false;
    std::unique_ptr<Timer> close_timer;
  };

  static void HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* self);
  static void HandleRead(bufferevent* bev, void* self);
  static void HandleWritten(bufferevent* bev, void* self);
  static void HandleEvent(bufferevent* bev, short, void* self);
  void CloseConnection(bufferevent* bev);

  EventLoop* loop_;
  std::string response_;
  bool keeps_open_;
  uint16_t port_ = 0;
  evconnlistener* listener_;
  std::map<bufferevent*, Connection> connections_;
};

}  // namespace rwf
