#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <string>

#include "net/event_loop.h"

namespace rwf {

// Answers the first bytes of each connection with fixed bytes, whole or faulty,
// then closes it unless told to keep it open.
class RawServer {
 public:
  RawServer(EventLoop* loop, std::string answer, bool keeps_open = false);
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer();

  uint16_t port() const { return port_; }
  void Close();

 private:
  std::string answer_;
  bool keeps_open_;
  uint16_t port_ = 0;
  evconnlistener* listener_;
};

}  // namespace rwf
