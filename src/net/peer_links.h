#pragma once

#include <event2/listener.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/error.h"
#include "net/connect_attempt.h"
#include "net/event_loop.h"
#include "net/peer_link.h"

namespace rwf {

// The address at which a peer accepts links.
struct PeerAddress {
  std::string vm;
  std::string address;  // IPv4
  uint16_t port = 0;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

// Manages the links of this VM: accepts links, dials the wanted ones with
// jittered backoff, and keeps one link per peer.
class PeerLinks {
 public:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(1);
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  // Heartbeats to a peer with more queued bytes than this are skipped, as the
  // next one supersedes them.
  static constexpr size_t kCongestedBytes = 256 << 10;

  struct Counters {
    uint64_t links_opened = 0;
    uint64_t links_closed = 0;
    uint64_t links_refused = 0;  // rejected handshakes or frames
    uint64_t messages_sent = 0;
    uint64_t messages_received = 0;
    uint64_t messages_skipped = 0;
    uint64_t bytes_sent = 0;  // on closed links
    uint64_t bytes_received = 0;
  };

  PeerLinks(EventLoop* loop, LinkIdentity identity, uint64_t seed);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  ~PeerLinks();

  Result<uint16_t> Listen(const std::string& address, uint16_t port);

  // Sets the known peers and cancels dials to all others.
  void SetAddresses(const std::vector<PeerAddress>& peers);
  // Sets the peers to dial. Existing links to other peers stay open.
  void SetWanted(const std::vector<std::string>& vms);

  // Returns false if there is no link to the peer.
  bool Send(const std::string& vm, wire::BodyUnion body);
  // Sends a message to every linked peer except those with more than
  // kCongestedBytes queued.
  void SendToAll(const wire::MessageT& message);
  bool HasLink(const std::string& vm) const;
  // Closes the link to a peer that does not respond. It is dialled again if it
  // is wanted. signal_down is emitted from the loop.
  void Close(const std::string& vm);
  // Returns 0 if there is no link to the peer.
  uint64_t IncarnationOf(const std::string& vm) const;
  std::vector<std::string> linked() const;

  // Attempts one connection, independent of any link. signal_probed reports the
  // result.
  void Probe(const std::string& vm);

  const Counters& counters() const { return counters_; }
  uint64_t total_bytes() const;

  sigc::signal<void(const std::string& vm, uint64_t incarnation)> signal_up;
  // A link broke, or a dial failed while there was no link. `refused`: the
  // kernel of the peer refused the connection.
  sigc::signal<void(const std::string& vm, bool refused)> signal_down;
  sigc::signal<void(const std::string& vm, const wire::MessageT& message)>
      signal_message;
  // A connection attempt by Probe or by a dial has finished.
  sigc::signal<void(const std::string& vm, std::error_code ec,
                    TimePoint started_at)>
      signal_probed;

 private:
  struct Dial {
    PeerAddress endpoint;
    std::unique_ptr<ConnectAttempt> attempt;
    bool is_for_link = false;
    bool is_wanted = false;
    Duration backoff = kInitialBackoff;
    TimePoint next_try{};
  };

  static void HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* self);
  void AddConnection(int fd, bool is_dialer);
  void HandleReady(PeerLink* link);
  void HandleClosed(PeerLink* link, const Error& error);
  void Tick();
  void StartDial(Dial* dial, bool is_for_link);
  void HandleDialed(const std::string& vm, std::error_code ec, int fd);

  EventLoop* loop_;
  LinkIdentity identity_;
  std::mt19937_64 random_;
  evconnlistener* listener_ = nullptr;
  std::map<std::string, Dial> dials_;
  std::map<PeerLink*, std::unique_ptr<PeerLink>> connections_;
  std::map<std::string, PeerLink*> links_;  // ready links, by peer
  std::unique_ptr<Timer> timer_;
  std::string last_refused_error_;
  Counters counters_;
};

}  // namespace rwf
