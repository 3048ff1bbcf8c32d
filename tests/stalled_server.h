#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace rwf {

// A server that accepts a connection and reads nothing until asked to, as
// behind a stalled link: most of what it is sent stays with the kernel of the
// sender.
class StalledServer {
 public:
  StalledServer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int bytes = 4096;
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    socklen_t n = sizeof(to);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&to), &n);
    port = ntohs(to.sin_port);
  }
  StalledServer(const StalledServer&) = delete;
  StalledServer& operator=(const StalledServer&) = delete;
  ~StalledServer() { close(listener_); }

  // Returns what arrives until the connection ends.
  std::string ReadAll() const {
    const int fd = accept(listener_, nullptr, nullptr);
    const timeval timeout{5, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::string out;
    char buf[1024];
    for (ssize_t n = 0; (n = read(fd, buf, sizeof(buf))) > 0;)
      out.append(buf, static_cast<size_t>(n));
    close(fd);
    return out;
  }

  uint16_t port = 0;

 private:
  int listener_;
};

}  // namespace rwf
