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

// Where a peer listens for links.
struct PeerAddress {
  std::string vm;
  std::string address;  // IPv4
  uint16_t port = 0;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

// The links of this VM: accepts them, dials the wanted ones with jittered
// backoff, and keeps one for each peer.
class PeerLinks {
 public:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(1);
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  // With more than this waiting for a peer, heartbeats to it are left out: the
  // next one says the same and more.
  static constexpr size_t kCongestedBytes = 256 << 10;

  struct Counters {
    uint64_t links_opened = 0;
    uint64_t links_closed = 0;
    uint64_t links_refused = 0;  // handshakes or frames that were not accepted
    uint64_t messages_sent = 0;
    uint64_t messages_received = 0;
    uint64_t messages_skipped = 0;
    uint64_t bytes_sent = 0;  // of links that are closed
    uint64_t bytes_received = 0;
  };

  PeerLinks(EventLoop* loop, LinkIdentity identity, uint64_t seed);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  ~PeerLinks();

  Result<uint16_t> Listen(const std::string& address, uint16_t port);

  // All peers whose address is known.
  void SetAddresses(const std::vector<PeerAddress>& peers);
  // Peers to hold a link to. Links that peers opened stay in any case.
  void SetWanted(const std::vector<std::string>& vms);

  // False if there is no link to the peer.
  bool Send(const std::string& vm, wire::BodyUnion body);
  // Sends one message to every linked peer; peers that do not read are left out
  // as heartbeats are.
  void SendToAll(const wire::MessageT& message);
  bool HasLink(const std::string& vm) const;
  // Closes the link to a peer that has gone silent; it is dialled anew if it is
  // wanted. signal_down follows from the loop.
  void Close(const std::string& vm);
  // Zero without a link.
  uint64_t IncarnationOf(const std::string& vm) const;
  std::vector<std::string> linked() const;

  // Tries to connect once, apart from any link; signal_probed tells the result.
  void Probe(const std::string& vm);

  const Counters& counters() const { return counters_; }
  uint64_t total_bytes() const;

  sigc::signal<void(const std::string& vm, uint64_t incarnation)> signal_up;
  // A link broke, or a dial failed. `refused`: by the kernel of the peer.
  sigc::signal<void(const std::string& vm, bool refused)> signal_down;
  sigc::signal<void(const std::string& vm, const wire::MessageT& message)>
      signal_message;
  // A connection attempt ended, by Probe or by a dial.
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
  std::map<std::string, PeerLink*> links_;  // ready, one for each peer
  std::unique_ptr<Timer> timer_;
  std::string last_refused_error_;
  Counters counters_;
};

}  // namespace rwf
