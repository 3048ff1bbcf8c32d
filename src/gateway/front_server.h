#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "gateway/caller_connection.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "traffic/catalog.h"

namespace rwf {

// Accepts caller connections and passes on complete requests. Uses bufferevents
// instead of evhttp, which reports neither whether a caller disconnected before
// its response nor whether unread bytes would reset the connection.
class FrontServer : public CallerConnection::Owner {
 public:
  struct Callbacks {
    // Receives a complete request. Reply must be called for it unless the
    // caller disconnects.
    std::function<void(ExchangeId, ReceivedMessage)> on_request;
    // The caller closed its connection before the response was ready.
    std::function<void(ExchangeId)> on_disconnected;
    // Returns whether the request may run beside others of its connection that
    // may. If absent, no request may.
    std::function<bool(const ReceivedMessage&)> may_pipeline;
  };

  FrontServer(EventLoop* loop, Callbacks callbacks);
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;
  ~FrontServer() override;

  Result<void> Listen(const std::string& address, uint16_t port);
  void StopListening();
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  // Sends the response once those to earlier requests of its connection have
  // been sent. Does nothing if the caller has disconnected.
  void Reply(ExchangeId id, int status, const HttpHeaders& headers,
             const Body& body);

  // Closes each connection after the responses to the requests that it has
  // started.
  void CloseAfterResponses();
  // Closes the connections on which no request has begun.
  void CloseIdle();

  size_t connections() const { return connections_.size(); }
  size_t open_requests() const { return exchanges_.size(); }

 private:
  static void HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* self);

  EventLoop* loop() override { return loop_; }
  const CallerLimits& limits() const override { return limits_; }
  bool closes_after_responses() const override {
    return closes_after_responses_;
  }
  bool MayPipeline(const ReceivedMessage& request) override;
  ExchangeId NewExchange(CallerConnection* connection) override;
  void Handle(ExchangeId id, ReceivedMessage request) override;
  void Close(CallerConnection* connection) override;

  EventLoop* loop_;
  Callbacks callbacks_;
  CallerLimits limits_;
  evconnlistener* listener_ = nullptr;
  ExchangeId next_id_ = 1;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
  // Exchanges without a response.
  std::unordered_map<ExchangeId, CallerConnection*> exchanges_;
  bool closes_after_responses_ = false;
};

}  // namespace rwf
