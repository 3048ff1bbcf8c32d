#pragma once

#include <event2/bufferevent.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/parser.h"
#include "net/event_loop.h"

namespace rwf {

// Where an instance listens, and which start of it is meant. Connections are
// never shared between two instances, also not when one follows the other at
// the same address.
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
  kBroken,         // the connection was lost or spoke no HTTP
};

struct SendResult {
  SendOutcome outcome = SendOutcome::kBroken;
  ReceivedMessage response;
  bool was_reused = false;  // the connection had carried a request before
  bool has_response_begun = false;
};

// Connections to instances: one request at a time on each, kept open for a
// while. evhttp would read the next answer on a connection as the one that is
// due and does not tell a clean end from a reset, so bufferevents are used.
class UpstreamPool {
 public:
  using SendId = uint64_t;
  using Callback = std::function<void(const SendResult&)>;

  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
  // Kept connections are not used after this, or one second before the time
  // that the instance states.
  static constexpr Duration kIdleTimeout = std::chrono::milliseconds(4000);
  // A request that must not run twice takes only a connection used this
  // recently: an older one may be closed by the instance at the same moment.
  static constexpr Duration kMaxIdleForNonIdempotent =
      std::chrono::milliseconds(1000);
  // Unacknowledged bytes mean that the instance or its network is gone.
  static constexpr unsigned kUserTimeoutMs = 2000;
  static constexpr size_t kMaxResponseBytes = 32 << 20;
  static constexpr size_t kMaxIdlePerInstance = 16;

  struct Request {
    std::string bytes;       // head and body
    std::string request_id;  // answers with another id are not for it
    std::string id_header;   // header field of the id
    bool is_head = false;
    bool is_idempotent = false;
  };

  struct Counters {
    uint64_t opened = 0;
    uint64_t reused = 0;
    uint64_t connect_failures = 0;
    uint64_t mismatched_responses = 0;  // answers to an earlier request
  };

  explicit UpstreamPool(EventLoop* loop);
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;
  ~UpstreamPool();

  // Calls back exactly once, from the loop, unless cancelled. There is no
  // timeout but that of connecting: the caller cancels.
  SendId Send(const UpstreamTarget& target, Request request, Callback callback);
  // Closes the connection of a request, which tells the instance to stop.
  void Cancel(SendId id);
  // Closes the idle connections of an instance that is gone.
  void CloseIdleConnections(const std::string& instance);

  const Counters& counters() const { return counters_; }
  size_t connections() const { return connections_.size(); }

 private:
  enum class State { kConnecting, kBusy, kIdle };
  struct Connection {
    UpstreamPool* pool = nullptr;
    UpstreamTarget target;
    bufferevent* bev = nullptr;
    State state = State::kConnecting;
    MessageParser parser{HttpMessageType::kResponse, {0, kMaxResponseBytes}};
    SendId send_id = 0;
    Request request;
    Callback callback;
    bool was_used = false;
    // An answer that was not asked for came: the connection ends after this.
    bool has_mismatched_response = false;
    TimePoint idle_since{};
    Duration idle_limit = kIdleTimeout;
    std::unique_ptr<Timer> connect_timer;
    ~Connection();
  };
  static void HandleRead(bufferevent*, void* arg);
  static void HandleEvent(bufferevent*, short what, void* arg);

  Connection* TakeIdle(const UpstreamTarget& target, bool is_idempotent);
  Connection* Open(const UpstreamTarget& target);
  void Write(Connection* it);
  void ReadResponse(Connection* it);
  void Complete(Connection* it, const SendResult& result, bool keep_open);
  void Remove(Connection* it);
  void CloseExpired();

  EventLoop* loop_;
  SendId next_id_ = 1;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<SendId, Connection*> busy_;
  std::map<std::string, std::vector<Connection*>> idle_;
  std::unique_ptr<Timer> timer_;
  Counters counters_;
};

}  // namespace rwf
