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

// The result of a call: a complete response or an error.
struct HttpOutcome {
  HttpResponse response;  // status 0 on error
  std::error_code ec;
  // False only if no byte of the request was written to the socket.
  bool was_sent = false;
};

struct HttpClientLimits {
  int64_t max_response_bytes = 8 << 20;  // of the body
  int64_t max_head_bytes = 64 << 10;
  size_t max_idle_per_target = 64;
  Duration idle_timeout = std::chrono::seconds(10);
};

// Sends requests over pooled connections, one request at a time on each. A
// connection is reused only after exactly one complete response.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  using CallId = uint64_t;

  HttpClient(EventLoop* loop, const HttpClientLimits& limits);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // Drops open calls without calling back.
  ~HttpClient();

  // Calls back exactly once, from the loop, within `timeout`, unless cancelled.
  CallId Send(const HttpTarget& target, const HttpRequest& request,
              Duration timeout, Callback callback);

  // Closes the connection of the call without calling back. Returns false if
  // the call is already finished.
  bool Cancel(CallId id);

  size_t open_calls() const { return calls_.size(); }
  // Number of connections in use or idle, for metrics.
  size_t connections(const HttpTarget& target) const;

 private:
  class Connection;
  struct Call;

  std::unique_ptr<Connection> TakeConnection(const HttpTarget& target);
  void ReturnConnection(std::unique_ptr<Connection> connection);
  void FinishBroken(CallId id);
  void Finish(CallId id, HttpOutcome outcome, bool may_reuse);
  void HandleResponse(CallId id, evhttp_request* raw);
  void CloseExpiredConnections();

  // Posted callbacks hold it weakly to detect that the client is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  EventLoop* loop_;
  HttpClientLimits limits_;
  uint64_t next_id_ = 1;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  std::map<HttpTarget, std::vector<std::unique_ptr<Connection>>> idle_;
  std::unique_ptr<Timer> idle_timer_;
};

}  // namespace rwf
