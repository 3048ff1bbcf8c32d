#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/buffer_account.h"
#include "gateway/exchange_queue.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "traffic/catalog.h"

namespace rwf {

// One connection of a caller: reads requests, starts them in order of arrival
// and writes the responses in the same order
// (docs/design/front-connections.md).
class CallerConnection {
 public:
  // Owns the connections. Closing a connection destroys it.
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    virtual ~Owner() = default;
    virtual EventLoop* loop() = 0;
    virtual const CallerLimits& limits() const = 0;
    // Null: buffered bytes are not counted.
    virtual BufferAccount* buffers() = 0;
    // Name of the header field with the delay of a retry.
    virtual const std::string& retry_after_name() const = 0;
    // True once each connection closes after the requests that it has started.
    virtual bool closes_after_responses() const = 0;
    virtual bool MayPipeline(const ReceivedMessage& request) = 0;
    virtual ExchangeId NewExchange(CallerConnection* connection) = 0;
    // May reply before it returns.
    virtual void Handle(ExchangeId id, ReceivedMessage request) = 0;
    virtual void Close(CallerConnection* connection) = 0;
    // Resume is to be called once memory is no longer scarce.
    virtual void OnPaused() = 0;
  };

  // After the last response, a connection waits at least this long for the
  // caller to close it: closing with unread bytes would reset the connection
  // and lose the response.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  // Timeout without progress while a caller sends a body or reads a response.
  // It includes the time in which the caller reads what its kernel has
  // acknowledged.
  static constexpr Duration kStallTimeout = std::chrono::seconds(20);
  // While a caller has bytes of a response to acknowledge, its progress is
  // asked of the kernel at this interval.
  static constexpr Duration kDeliveryCheckInterval =
      std::chrono::milliseconds(100);
  // Fewer sent bytes than these are not tracked while requests follow: they fit
  // in the receive buffer of any caller.
  static constexpr size_t kMaxUntrackedBytes = 16 << 10;
  // Maximum input that is buffered while no further request may be read.
  static constexpr size_t kMaxUnreadBytes = 64 << 10;
  // While reading is suspended, an end of file is not read. Whether the caller
  // has disconnected is asked at this interval.
  static constexpr Duration kDisconnectCheckInterval =
      std::chrono::milliseconds(100);
  // No further request is read while responses of more bytes wait or are
  // unsent.
  static constexpr size_t kMaxWaitingBytes = 256 << 10;
  // Retry delay for requests that were given up for their memory: by then,
  // stalled bodies have been reclaimed or read to their end.
  static constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);

  CallerConnection(Owner* owner, evutil_socket_t fd);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;
  ~CallerConnection();

  void Answer(ExchangeId id, ExchangeQueue::Response response);
  // Starts nothing more if a request is unanswered. The response to the last
  // started request closes the connection.
  void CloseAfterResponses();
  // Closes the connection if no request has begun.
  void CloseIfIdle();
  std::vector<ExchangeId> Unanswered() const { return queue_.Unanswered(); }
  bool has_unanswered() const { return queue_.has_unanswered(); }
  // Reads on after a pause.
  void Resume();
  bool is_paused() const { return is_paused_; }
  // Counts received bytes that are still in the kernel.
  void CountUnreadBytes();
  // When the last byte was received, sent or known to be acknowledged.
  TimePoint progress_at() const { return progress_at_; }
  // A response is unsent, or its caller is known to have to acknowledge it.
  bool is_delivering() const {
    return OutputBytes() > 0 || delivery_timer_ != nullptr;
  }

 private:
  static void HandleRead(bufferevent*, void* arg);
  static void HandleWrite(bufferevent*, void* arg);
  static void HandleEvent(bufferevent*, short what, void* arg);
  static void HandleOutput(evbuffer*, const evbuffer_cb_info* info, void* arg);

  evbuffer* input() const { return bufferevent_get_input(bev_); }
  size_t OutputBytes() const;
  bool MayRead() const;
  void ReadMore();
  // Feeds the parser once. Returns false if it takes no more bytes.
  bool ReadSome();
  void BeginMessage();
  // The head is complete, the body is not.
  void OnHead();
  void OnMessage();
  void Start(ReceivedMessage request);
  // True if the request may start behind others.
  bool MayPipeline(const ReceivedMessage& request) const;
  void Refuse(int status, HttpHeaders headers = {});
  void CountInput();
  void CountOutput();
  void ReclaimInput();
  void EndInput();
  void SendReady();
  // Asks the kernel what the caller has yet to acknowledge, and goes on asking
  // until it has acknowledged everything.
  void CheckDelivery();
  void StartDeliveryChecks();
  // Half-closes the connection, and closes it once the caller has closed it or
  // has had time to read what was sent. What arrives until then is discarded.
  void Linger();
  TimePoint LingerEnd() const;
  void ScheduleLingerEnd();
  void OnIdleTimeout();
  void OnWriteTimeout();
  // The caller has ended its side or the connection is broken.
  void OnDisconnected(bool is_end_of_file);
  void UpdateReadTimeout();
  void UpdateDisconnectCheck();
  void CheckDisconnected();

  Owner* owner_;
  bufferevent* bev_;
  BufferAccount::Holder input_holder_;
  BufferAccount::Holder output_holder_;
  MessageParser parser_{HttpMessageType::kRequest, {}};
  ExchangeQueue queue_;
  bool is_reading_ = false;  // a byte of the next request has been read
  bool has_head_ = false;    // of the request that is being read
  // The request that is being read may not be pipelined.
  bool must_wait_ = false;
  // A complete request that waits for those before it.
  std::optional<ReceivedMessage> held_;
  bool is_last_sent_ = false;
  bool is_lingering_ = false;
  // The last response refuses bytes that are no complete request.
  bool is_input_refused_ = false;
  // The caller has closed its side; only responses remain to be sent.
  bool is_input_closed_ = false;
  bool is_in_read_loop_ = false;
  // Memory is too scarce to read the rest of a large body.
  bool is_paused_ = false;
  size_t unread_bytes_ = 0;  // in the kernel, when last counted
  TimePoint progress_at_ = EventLoop::Now();
  // Bytes passed to the kernel since all were known to be acknowledged.
  size_t untracked_bytes_ = 0;
  size_t unacknowledged_bytes_ = 0;  // when last asked
  // When bytes were last sent or known to be acknowledged.
  TimePoint delivery_progress_at_{};
  TimePoint lingering_since_{};
  TimePoint message_started_at_{};
  Duration read_timeout_{-1};
  std::unique_ptr<Timer> close_timer_;
  std::unique_ptr<Timer> delivery_timer_;
  std::unique_ptr<Timer> disconnect_timer_;
};

}  // namespace rwf
