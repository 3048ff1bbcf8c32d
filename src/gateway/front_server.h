#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "entry/metrics.h"
#include "gateway/buffer_account.h"
#include "gateway/caller_connection.h"
#include "gateway/event_log.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "traffic/catalog.h"

namespace rwf {

// Accepts caller connections and passes on complete requests. Uses bufferevents
// instead of evhttp, which reports neither whether a caller disconnected before
// its response nor whether unread bytes would reset the connection.
class FrontServer : public CallerConnection::Owner, public sigc::trackable {
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

  // What the front may use. All pointers may be null.
  struct Resources {
    BufferAccount* buffers = nullptr;
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
    std::string retry_after_name;  // of the header field
    // Bounds the receive buffers of callers; zero: left to the kernel.
    int64_t memory_mb = 0;
    // Bounds the connections of callers; zero: no bound.
    int64_t max_descriptors = 0;
  };
  // Fraction of the descriptors for connections of callers. The rest is for
  // connections to instances, other VMs and the store.
  static constexpr double kCallerDescriptorFraction = 0.7;
  // Fraction of the memory for received bytes in the kernel, and the bounds of
  // one receive buffer: 128 KiB carry 8 MB/s at a round trip of 16 ms.
  static constexpr double kReceiveBufferFraction = 0.125;
  static constexpr int kMinReceiveBuffer = 128 << 10;
  static constexpr int kMaxReceiveBuffer = 512 << 10;
  static constexpr Duration kReclaimInterval = std::chrono::milliseconds(100);
  // Accepting pauses for this long when there are no descriptors.
  static constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
  // When there are no descriptors, only connections that were idle for this
  // long are closed: the one accepted with the last descriptor is newer.
  static constexpr Duration kMinIdle = std::chrono::seconds(1);
  // A line about a bound that is reached is logged after this time without one.
  static constexpr Duration kLogInterval = std::chrono::seconds(10);

  FrontServer(EventLoop* loop, Callbacks callbacks)
      : FrontServer(loop, std::move(callbacks), Resources()) {}
  FrontServer(EventLoop* loop, Callbacks callbacks, Resources resources);
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
  static void HandleAcceptError(evconnlistener*, void* self);

  EventLoop* loop() override { return loop_; }
  const CallerLimits& limits() const override { return limits_; }
  BufferAccount* buffers() override { return resources_.buffers; }
  const std::string& retry_after_name() const override {
    return resources_.retry_after_name;
  }
  bool closes_after_responses() const override {
    return closes_after_responses_;
  }
  bool MayPipeline(const ReceivedMessage& request) override;
  ExchangeId NewExchange(CallerConnection* connection) override;
  void Handle(ExchangeId id, ReceivedMessage request) override;
  void Close(CallerConnection* connection) override;
  void OnPaused() override { ReclaimSoon(Duration::zero()); }

  void AddGauges();
  void ReclaimSoon(Duration delay);
  // Reclaims what exceeds the account, and lets paused connections read on.
  void Reclaim();
  void OnExceeded() { ReclaimSoon(Duration::zero()); }
  void OnReclaim(BufferUse use, size_t bytes);
  // Closes the connection without an unanswered request that was idle for
  // longest, and at least for `min_idle`; if there is none, the one whose
  // caller has stopped reading a response for longest. Returns false if there
  // is neither.
  bool CloseLongestIdle(Duration min_idle);
  // Logs the first time in a series that a bound was reached.
  void LogBound(const char* event, TimePoint* last, const char* use,
                size_t bytes);

  EventLoop* loop_;
  Callbacks callbacks_;
  Resources resources_;
  size_t max_connections_;  // zero: no bound
  CallerLimits limits_;
  evconnlistener* listener_ = nullptr;
  ExchangeId next_id_ = 1;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
  // Exchanges without a response.
  std::unordered_map<ExchangeId, CallerConnection*> exchanges_;
  bool closes_after_responses_ = false;
  bool is_reclaiming_ = false;
  bool is_reclaim_due_ = false;
  TimePoint buffer_limit_at_{};
  TimePoint connection_limit_at_{};
  TimePoint accept_failure_at_{};
  std::unique_ptr<Timer> reclaim_timer_;
  std::unique_ptr<Timer> accept_timer_;
};

}  // namespace rwf
