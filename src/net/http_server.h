#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace rwf {

// A received request and its pending response.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(event_base* base, evhttp_request* raw,
               std::function<void()> on_done);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  // Responds with status 500 if there was no response yet.
  ~HttpExchange();

  const HttpRequest& request() const { return request_; }
  bool has_responded() const { return raw_ == nullptr; }

  // Calls back once if the caller closes its connection before the response.
  void OnCallerDisconnect(std::function<void()> callback);

  // Sends the response. Only the first call has an effect.
  void Respond(const HttpResponse& response);

  // Closes the caller's connection without a response, so that the caller
  // cannot take a truncated response for a complete one.
  void Abort();

 private:
  void WatchForClose(short events);
  static void HandleClosed(evutil_socket_t fd, short what, void* self);

  event_base* base_;
  evhttp_request* raw_;
  HttpRequest request_;
  std::function<void()> on_done_;
  std::function<void()> on_caller_disconnect_;
  EventPtr closed_event_;
};

struct HttpServerLimits {
  int64_t max_header_bytes = 16 << 10;
  int64_t max_body_bytes = 1 << 20;
  Duration idle_timeout = std::chrono::seconds(60);
};

// An evhttp server on one address. The handler receives complete requests.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop* loop, const HttpServerLimits& limits, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Listens on an IPv4 address. With port 0, the kernel assigns a free port.
  // Returns the port.
  Result<uint16_t> Listen(const std::string& address, uint16_t port);

  // Stops accepting connections. Open connections remain in use.
  void StopListening();

  // Adds "Connection: close" to all responses to requests received from now on.
  void CloseAfterResponses() { closes_after_responses_ = true; }

  // Number of requests without a response yet.
  int64_t open_exchanges() const { return open_exchanges_; }

  // Number of open connections that have carried at least one request.
  size_t connections() const { return connections_.size(); }

 private:
  static void HandleConnectionClosed(evhttp_connection* raw, void* self);
  static void HandleRequest(evhttp_request* raw, void* self);

  EventLoop* loop_;
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  bool closes_after_responses_ = false;
  int64_t open_exchanges_ = 0;
  std::unordered_set<evhttp_connection*> connections_;
};

}  // namespace rwf
