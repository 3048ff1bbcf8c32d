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

// Names one connection of a caller for as long as the process lives.
using CallerId = uint64_t;

// Accepts callers and hands over whole requests, one at a time for each
// connection. evhttp does not tell whether a caller left before its answer nor
// whether unread bytes would reset the connection, so connections are held as
// bufferevents here.
class FrontServer {
 public:
  struct Callbacks {
    // A whole request. It must be answered by Reply, unless the caller leaves.
    std::function<void(CallerId, ReceivedMessage)> on_request;
    // The caller closed its connection before the answer.
    std::function<void(CallerId)> on_disconnected;
  };
  // After the last answer a connection waits this long for its caller to close,
  // since closing with unread bytes would reset it and lose the answer.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  // Time without progress of a caller that sends a body or reads an answer.
  static constexpr Duration kStallTimeout = std::chrono::seconds(20);
  // Input that may wait while a request is handled.
  static constexpr size_t kMaxPipelinedBytes = 64 << 10;

  FrontServer(EventLoop* loop, Callbacks callbacks);
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;
  ~FrontServer();

  Result<void> Listen(const std::string& address, uint16_t port);
  void StopListening();
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  // Sends the answer; nothing happens if the caller has left.
  void Reply(CallerId id, int status, const HttpHeaders& headers,
             std::string_view body);

  // From now on answers close their connections.
  void CloseAfterResponses() { closes_after_responses_ = true; }
  // Closes connections on which no request has begun.
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
            std::string_view body);
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
