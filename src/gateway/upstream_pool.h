#pragma once

#include <event2/bufferevent.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/metrics.h"
#include "gateway/buffer_account.h"
#include "gateway/idle_limits.h"
#include "http/parser.h"
#include "net/event_loop.h"

namespace rwf {

// Address of an instance, and the process that is meant. Two instances never
// share a connection, even if one replaces the other at the same address.
struct UpstreamTarget {
  std::string instance;
  std::string address;  // IPv4
  uint16_t port = 0;
  friend bool operator==(const UpstreamTarget&,
                         const UpstreamTarget&) = default;
  friend auto operator<=>(const UpstreamTarget&,
                          const UpstreamTarget&) = default;
};

enum class SendOutcome : uint8_t {
  kResponded,
  kConnectFailed,  // no byte of the request was sent
  kBroken,         // the connection was lost or the response was not HTTP
};

struct SendResult {
  SendOutcome outcome = SendOutcome::kBroken;
  ReceivedMessage response;
  bool was_reused = false;  // the connection had served an earlier request
  bool has_response_begun = false;
  bool was_silent = false;  // the host did not acknowledge what was sent
};

// Why a new connection was opened.
enum class OpenReason : uint8_t {
  kFirst,      // there was none to the instance
  kBusy,       // all connections to it serve other requests
  kTooOld,     // its idle connections rested too long for the request
  kExpired,    // this VM closed the last idle one
  kClosed,     // the instance closed the last idle one
  kNotKept,    // the instance closed the last one with its response
  kFailed,     // the last one failed to connect or broke
  kCancelled,  // the request on the last one was cancelled
  kProbe,      // it tests whether the instance listens
  kCount,
};
const char* OpenReasonName(OpenReason reason);

// Pool of connections to instances, each with one request at a time and kept
// open for reuse. Uses bufferevents instead of evhttp, which would take any
// next response on a connection as the one to the current request and does not
// distinguish a clean close from a reset.
class UpstreamPool {
 public:
  using SendId = uint64_t;
  using Callback = std::function<void(const SendResult&)>;
  using ProbeCallback = std::function<void(bool is_refused)>;

  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
  // TCP user timeout. If bytes stay unacknowledged for this long, the instance
  // or its network has failed.
  static constexpr unsigned kUserTimeoutMs = 2000;
  static constexpr size_t kMaxResponseHeadBytes = 64 << 10;
  static constexpr size_t kMaxResponseBytes = 32 << 20;
  // Incomplete responses of all connections together. Above it, the largest is
  // given up: an instance may send bytes without end.
  static constexpr size_t kMaxBufferedBytes = 64 << 20;
  static constexpr size_t kMaxIdlePerInstance = 16;

  struct Request {
    std::string head;  // with the framing of the body
    Body body;
    std::string request_id;  // responses with another id are ignored
    std::string id_header;   // name of the header field with the id
    bool is_head = false;
    bool is_idempotent = false;
  };

  struct Counters {
    uint64_t opened = 0;
    // `opened` by the reason.
    std::array<uint64_t, static_cast<size_t>(OpenReason::kCount)> opened_by{};
    uint64_t reused = 0;
    uint64_t connect_failures = 0;
    uint64_t mismatched_responses = 0;    // responses to earlier requests
    uint64_t unidentified_responses = 0;  // on reused connections
    uint64_t malformed_responses = 0;     // against the syntax of HTTP/1.1
  };

  // Responses that are being received count in `buffers`, if given.
  explicit UpstreamPool(EventLoop* loop, BufferAccount* buffers = nullptr);
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;
  ~UpstreamPool();

  // Registers the counters below.
  void AddMetrics(Metrics* metrics) const;

  // Calls back exactly once, from the loop, unless cancelled. Only connecting
  // has a timeout; for anything else the sender calls Cancel.
  SendId Send(const UpstreamTarget& target, Request request, Callback callback);
  // Opens a connection and keeps it for later requests. Calls back from the
  // loop; `is_refused` means that nothing listens at the address.
  void Probe(const UpstreamTarget& target, ProbeCallback callback);
  // Resets the connection of a request, which tells the instance to abort it.
  // What the instance has not received by then never reaches it.
  void Cancel(SendId id);
  // Closes the idle connections of an instance that is draining or removed.
  void CloseIdleConnections(const std::string& instance);

  const Counters& counters() const { return counters_; }
  size_t buffered_bytes() const { return buffered_bytes_; }
  size_t connections() const { return connections_.size(); }

 private:
  enum class State { kConnecting, kBusy, kIdle };
  struct Connection {
    UpstreamPool* pool = nullptr;
    UpstreamTarget target;
    bufferevent* bev = nullptr;
    State state = State::kConnecting;
    MessageParser parser{HttpMessageType::kResponse,
                         {kMaxResponseHeadBytes, kMaxResponseBytes}};
    size_t buffered_bytes = 0;  // of the incomplete response
    std::unique_ptr<BufferAccount::Holder> holder;
    SendId send_id = 0;
    Request request;
    Callback callback;
    ProbeCallback probe_callback;  // set while a probe connects
    bool was_used = false;
    // A response to an earlier request arrived, so the connection is closed
    // after the current request.
    bool has_mismatched_response = false;
    TimePoint sent_at{};
    TimePoint idle_since{};
    Duration advertised_idle{};  // idle timeout that the instance named
    std::unique_ptr<Timer> connect_timer;
    ~Connection();
  };
  struct InstanceConnections {
    std::vector<Connection*> idle;  // by the start of the rest
    size_t open = 0;                // including idle ones
    // Why the connection that ended last is not available.
    OpenReason last_end = OpenReason::kFirst;
    bool is_removed = false;  // the instance is draining or removed
  };
  static void HandleRead(bufferevent*, void* arg);
  static void HandleEvent(bufferevent*, short what, void* arg);

  Connection* TakeIdle(const UpstreamTarget& target, bool is_idempotent);
  // Returns why a request opens a connection although it may reuse one.
  OpenReason ReasonToOpen(const UpstreamTarget& target) const;
  Connection* Open(const UpstreamTarget& target, OpenReason reason);
  void OnConnectFailed(Connection* it, bool is_refused);
  // Makes a connection idle, or closes it for the reason `end` if it may not be
  // reused.
  void KeepOrErase(Connection* it, bool keep_open, OpenReason end);
  void Write(Connection* it);
  void ReadResponse(Connection* it);
  enum class ResponseOrigin : uint8_t {
    kCurrentRequest,
    kEarlierRequest,
    kUnknown,  // it names no request, and there were several
  };
  static ResponseOrigin OriginOf(const Connection& it,
                                 const ReceivedMessage& response);
  void Complete(Connection* it, const SendResult& result, bool keep_open);
  // Closes an idle connection.
  void Remove(Connection* it, OpenReason end);
  // The instance closed an idle connection, or sent what belongs to no request.
  void OnIdleClosed(Connection* it);
  void EraseConnection(Connection* it, OpenReason end);
  void SetBuffered(Connection* it, size_t bytes);
  // Gives up the largest incomplete responses above kMaxBufferedBytes.
  void LimitBufferedBytes();
  void GiveUpResponse(Connection* it);
  void CloseExpired();

  EventLoop* loop_;
  BufferAccount* buffers_;
  SendId next_id_ = 1;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<SendId, Connection*> busy_;
  std::map<std::string, InstanceConnections> instances_;
  IdleLimits idle_limits_;
  std::unique_ptr<Timer> timer_;
  size_t buffered_bytes_ = 0;
  Counters counters_;
};

}  // namespace rwf
