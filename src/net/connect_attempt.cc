#include "net/connect_attempt.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "net/net_error.h"

namespace rwf {
namespace {

std::error_code FromErrno(int error) {
  return error == ECONNREFUSED ? NetErrc::kConnectRefused
                               : NetErrc::kConnectFailed;
}

}  // namespace

ConnectAttempt::ConnectAttempt(EventLoop* loop, const std::string& address,
                               uint16_t port, Duration timeout,
                               Callback callback)
    : started_at_(EventLoop::Now()), callback_(std::move(callback)) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &to.sin_addr);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (fd_ < 0 ||
      (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
       errno != EINPROGRESS)) {
    const std::error_code ec = FromErrno(errno);
    failure_timer_ = loop->After(Duration::zero(), [this, ec] { Finish(ec); });
    return;
  }
  event_.reset(event_new(loop->base(), fd_, EV_WRITE,
                         &ConnectAttempt::HandleWritable, this));
  const timeval tv = ToTimeval(timeout);
  event_add(event_.get(), &tv);
}

ConnectAttempt::~ConnectAttempt() {
  event_.reset();
  if (fd_ >= 0) close(fd_);
}

void ConnectAttempt::HandleWritable(evutil_socket_t fd, short what,
                                    void* self) {
  auto* attempt = static_cast<ConnectAttempt*>(self);
  if ((what & EV_TIMEOUT) != 0) {
    attempt->Finish(NetErrc::kDeadline);
    return;
  }
  int error = 0;
  socklen_t n = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
  attempt->Finish(error == 0 ? std::error_code() : FromErrno(error));
}

void ConnectAttempt::Finish(std::error_code ec) {
  event_.reset();
  const Callback callback = std::move(callback_);
  int fd = -1;
  if (!ec) std::swap(fd, fd_);
  callback(ec, fd);
}

}  // namespace rwf
