#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "traffic/catalog.h"

namespace rwf {

// Identifies one caller connection. Never reused within a process.
using CallerId = uint64_t;

// Accepts caller connections and passes on complete requests, one at a time per
// connection. Uses bufferevents instead of evhttp, which reports neither
// whether a caller disconnected before its response nor whether unread bytes
// would reset the connection.
class FrontServer {
 public:
  struct Callbacks {
    // Receives a complete request. Reply must be called for it unless the
    // caller disconnects.
    std::function<void(CallerId, ReceivedMessage)> on_request;
    // The caller closed its connection before the response.
    std::function<void(CallerId)> on_disconnected;
  };
  // After the last response, a connection waits this long for the caller to
  // close it: closing with unread bytes would reset the connection and lose the
  // response.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  // Timeout without progress while a caller sends a body or reads a response.
  static constexpr Duration kStallTimeout = std::chrono::seconds(20);
  // Maximum input that is buffered while a request is handled.
  static constexpr size_t kMaxPipelinedBytes = 64 << 10;

  FrontServer(EventLoop* loop, Callbacks callbacks);
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;
  ~FrontServer();

  Result<void> Listen(const std::string& address, uint16_t port);
  void StopListening();
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  // Sends the response. Does nothing if the caller has disconnected.
  void Reply(CallerId id, int status, const HttpHeaders& headers,
             const Body& body);

  // Closes each connection after its next response.
  void CloseAfterResponses() { closes_after_responses_ = true; }
  // Closes the connections on which no request has begun.
  void CloseIdle();

  size_t connections() const { return connections_.size(); }
  size_t open_requests() const { return open_requests_; }

 private:
  enum class State { kIdle, kReading, kHandling, kReplying, kLingering };
  struct Connection {
    FrontServer* server = nullptr;
    CallerId id = 0;
    bufferevent* bev = nullptr;
    MessageParser parser{HttpMessageType::kRequest, {}};
    State state = State::kIdle;
    bool should_close = false;
    bool is_head = false;
    bool sent_continue = false;
    TimePoint request_started_at{};
    ~Connection();
  };
  static void HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* self);
  static void HandleRead(bufferevent*, void* arg);
  static void HandleWrite(bufferevent*, void* arg);
  static void HandleEvent(bufferevent*, short what, void* arg);

  void ReadMore(Connection* it);
  void Refuse(Connection* it, int status);
  void Send(Connection* it, int status, const HttpHeaders& headers,
            const Body& body);
  void SetReadTimeout(Connection* it, Duration timeout);
  void Linger(Connection* it);
  void Remove(CallerId id);

  EventLoop* loop_;
  Callbacks callbacks_;
  CallerLimits limits_;
  evconnlistener* listener_ = nullptr;
  CallerId next_id_ = 1;
  std::unordered_map<CallerId, std::unique_ptr<Connection>> connections_;
  size_t open_requests_ = 0;
  bool closes_after_responses_ = false;
};

}  // namespace rwf
