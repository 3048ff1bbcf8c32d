#pragma once

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "net/event_loop.h"
#include "wire/frame.h"
#include "wire/handshake.h"

namespace rwf {

// One authenticated connection to another entry VM.
class PeerLink {
 public:
  // The link is closed when more bytes than this are queued for a slow peer.
  static constexpr size_t kMaxQueuedBytes = 8 << 20;
  static constexpr Duration kHandshakeTimeout = std::chrono::seconds(2);

  // Called from the loop. on_closed is called at most once and may destroy the
  // link.
  struct Callbacks {
    std::function<void(PeerLink*)> on_ready;
    std::function<void(PeerLink*, const wire::MessageT&)> on_message;
    std::function<void(PeerLink*, const Error&)> on_closed;
  };

  // Takes ownership of `fd`.
  PeerLink(EventLoop* loop, int fd, const LinkIdentity* identity,
           bool is_dialer, Callbacks callbacks);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;
  ~PeerLink();

  // Queues a message. Closes the link if more than kMaxQueuedBytes are already
  // queued.
  void Send(const wire::MessageT& message);
  void SendPacked(std::string_view packed);
  size_t queued_bytes() const;

  bool is_ready() const { return handshake_.is_done(); }
  bool is_dialer() const { return is_dialer_; }
  const std::string& vm() const { return handshake_.peer_vm(); }
  uint64_t incarnation() const { return handshake_.peer_incarnation(); }
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }

 private:
  static void HandleRead(bufferevent*, void* self);
  static void HandleEvent(bufferevent*, short what, void* self);
  Result<void> HandleMessage(const wire::MessageT& message);
  Result<void> HandleHandshake(const wire::MessageT& message);
  void ScheduleClose(Error error);

  EventLoop* loop_;
  bufferevent* bev_;
  bool is_dialer_;
  Callbacks callbacks_;
  Handshake handshake_;
  FrameReader reader_;
  FrameWriter writer_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  bool is_closing_ = false;
  std::unique_ptr<Timer> handshake_timer_;
  std::unique_ptr<Timer> close_timer_;
};

}  // namespace rwf
