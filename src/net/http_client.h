#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"

namespace rwf {

// An IPv4 address and port.
struct HttpTarget {
  std::string address;
  uint16_t port = 0;

  friend bool operator==(const HttpTarget&, const HttpTarget&) = default;
  friend auto operator<=>(const HttpTarget&, const HttpTarget&) = default;
};

// How a call ended: a whole response, or an error.
struct HttpOutcome {
  HttpResponse response;  // status 0 with an error
  std::error_code ec;
  // False only if surely no byte of the request left this process.
  bool was_sent = false;
};

struct HttpClientLimits {
  int64_t max_response_bytes = 8 << 20;
  size_t max_idle_per_target = 64;
  Duration idle_timeout = std::chrono::seconds(10);
};

// Sends requests over pooled connections, one request at a time on each. A
// connection on which anything but one whole response came is closed and not
// used again.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  using CallId = uint64_t;

  HttpClient(EventLoop* loop, const HttpClientLimits& limits);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // Calls still open are dropped without a callback.
  ~HttpClient();

  // Calls back exactly once, from the loop, at most `timeout` from now, unless
  // cancelled.
  CallId Send(const HttpTarget& target, const HttpRequest& request,
              Duration timeout, Callback callback);

  // Closes the call's connection. Its callback is not called. False if the call
  // had ended.
  bool Cancel(CallId id);

  size_t open_calls() const { return calls_.size(); }
  // Connections in use or idle, for metrics.
  size_t connections(const HttpTarget& target) const;

 private:
  class Connection;
  struct Call;

  std::unique_ptr<Connection> TakeConnection(const HttpTarget& target);
  void ReturnConnection(std::unique_ptr<Connection> connection);
  void Finish(CallId id, HttpOutcome outcome, bool may_reuse);
  void HandleResponse(CallId id, evhttp_request* raw);
  void CloseExpiredConnections();

  // Expires with the client; posted callbacks look at it first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  EventLoop* loop_;
  HttpClientLimits limits_;
  uint64_t next_id_ = 1;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  std::map<HttpTarget, std::vector<std::unique_ptr<Connection>>> idle_;
  std::unique_ptr<Timer> idle_timer_;
};

}  // namespace rwf
