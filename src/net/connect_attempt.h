#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "net/event_loop.h"

namespace rwf {

// One attempt to open a TCP connection. Results in a connected socket or an
// error. kConnectRefused proves that no process listens on the port. Destroying
// the attempt cancels it.
class ConnectAttempt {
 public:
  // Called once, from the loop. The callee owns `fd`, which is -1 on failure,
  // and may destroy the attempt.
  using Callback = std::function<void(std::error_code ec, int fd)>;

  ConnectAttempt(EventLoop* loop, const std::string& address, uint16_t port,
                 Duration timeout, Callback callback);
  ConnectAttempt(const ConnectAttempt&) = delete;
  ConnectAttempt& operator=(const ConnectAttempt&) = delete;
  ~ConnectAttempt();

  TimePoint started_at() const { return started_at_; }

 private:
  static void HandleWritable(evutil_socket_t, short what, void* self);
  void Finish(std::error_code ec);

  TimePoint started_at_;
  int fd_ = -1;
  Callback callback_;
  EventPtr event_;
  std::unique_ptr<Timer> failure_timer_;
};

}  // namespace rwf
