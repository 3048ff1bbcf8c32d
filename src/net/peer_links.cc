#include "net/peer_links.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>

#include "base/log.h"
#include "net/net_error.h"
#include "wire/wire_error.h"

namespace rwf {
namespace {

constexpr Duration kDialInterval = std::chrono::milliseconds(50);

}  // namespace

PeerLinks::PeerLinks(EventLoop* loop, LinkIdentity identity, uint64_t seed)
    : loop_(loop), identity_(std::move(identity)), random_(seed) {
  timer_ = loop->Every(kDialInterval, [this] { Tick(); });
}

PeerLinks::~PeerLinks() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<uint16_t> PeerLinks::Listen(const std::string& address, uint16_t port) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &bound.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_->base(), &PeerLinks::HandleAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  if (listener_ == nullptr) {
    return Fail(NetErrc::kListenFailed,
                fmt::format("cannot listen for peers on {}:{}: {}", address,
                            port, std::strerror(errno)));
  }
  socklen_t n = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&bound), &n);
  return ntohs(bound.sin_port);
}

void PeerLinks::SetAddresses(const std::vector<PeerAddress>& peers) {
  std::set<std::string> known;
  for (const PeerAddress& peer : peers) {
    if (peer.vm == identity_.vm) continue;
    known.insert(peer.vm);
    Dial& dial = dials_[peer.vm];
    if (dial.endpoint == peer) continue;
    dial.endpoint = peer;
    dial.attempt.reset();
    dial.backoff = kInitialBackoff;
    dial.next_try = {};
  }
  std::erase_if(
      dials_, [&](const auto& entry) { return !known.contains(entry.first); });
}

void PeerLinks::SetWanted(const std::vector<std::string>& vms) {
  for (auto& [vm, dial] : dials_) {
    dial.is_wanted = std::find(vms.begin(), vms.end(), vm) != vms.end();
  }
}

bool PeerLinks::Send(const std::string& vm, wire::BodyUnion body) {
  const auto it = links_.find(vm);
  if (it == links_.end()) return false;
  if (body.type == wire::Body::Heartbeat &&
      it->second->queued_bytes() > kCongestedBytes) {
    ++counters_.messages_skipped;
    return true;
  }
  wire::MessageT message;
  message.body = std::move(body);
  it->second->Send(message);
  ++counters_.messages_sent;
  return true;
}

void PeerLinks::SendToAll(const wire::MessageT& message) {
  const std::string packed = PackMessage(message);
  for (const auto& [vm, link] : links_) {
    if (link->queued_bytes() > kCongestedBytes) {
      ++counters_.messages_skipped;
      continue;
    }
    link->SendPacked(packed);
    ++counters_.messages_sent;
  }
}

bool PeerLinks::HasLink(const std::string& vm) const {
  return links_.contains(vm);
}

void PeerLinks::Close(const std::string& vm) {
  const auto it = links_.find(vm);
  if (it == links_.end()) return;
  PeerLink* link = it->second;
  loop_->Post([this, link] {
    HandleClosed(link, {NetErrc::kBroken,
                        "no message from the peer within the timeout"});
  });
}

uint64_t PeerLinks::IncarnationOf(const std::string& vm) const {
  const auto it = links_.find(vm);
  return it == links_.end() ? 0 : it->second->incarnation();
}

std::vector<std::string> PeerLinks::linked() const {
  std::vector<std::string> out;
  out.reserve(links_.size());
  for (const auto& [vm, link] : links_) out.push_back(vm);
  return out;
}

uint64_t PeerLinks::total_bytes() const {
  uint64_t out = counters_.bytes_sent + counters_.bytes_received;
  for (const auto& [raw, link] : connections_) {
    out += link->bytes_sent() + link->bytes_received();
  }
  return out;
}

void PeerLinks::Probe(const std::string& vm) {
  const auto it = dials_.find(vm);
  if (it == dials_.end() || it->second.attempt != nullptr) return;
  StartDial(&it->second, /*is_for_link=*/false);
}

void PeerLinks::HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*,
                             int, void* self) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  static_cast<PeerLinks*>(self)->AddConnection(fd, /*is_dialer=*/false);
}

void PeerLinks::AddConnection(int fd, bool is_dialer) {
  PeerLink::Callbacks callbacks;
  callbacks.on_ready = [this](PeerLink* link) { HandleReady(link); };
  callbacks.on_message = [this](PeerLink* link, const wire::MessageT& message) {
    ++counters_.messages_received;
    signal_message.emit(link->vm(), message);
  };
  callbacks.on_closed = [this](PeerLink* link, const Error& error) {
    HandleClosed(link, error);
  };
  auto link = std::make_unique<PeerLink>(loop_, fd, &identity_, is_dialer,
                                         std::move(callbacks));
  connections_.emplace(link.get(), std::move(link));
}

void PeerLinks::HandleReady(PeerLink* link) {
  const std::string vm = link->vm();
  const auto it = links_.find(vm);
  if (it != links_.end()) {
    PeerLink* other = it->second;
    // Both sides may dial at the same time. The link dialled by the VM with the
    // smaller id is kept, so that both sides close the same one.
    const bool is_preferred = link->is_dialer() == (identity_.vm < vm);
    const bool is_newer = link->incarnation() > other->incarnation();
    const bool is_same = link->incarnation() == other->incarnation();
    PeerLink* redundant_link =
        is_newer || (is_same && is_preferred) ? other : link;
    loop_->Post([this, redundant_link] {
      HandleClosed(redundant_link,
                   {NetErrc::kCancelled, "duplicate link to the peer"});
    });
    if (redundant_link == link) return;
  }
  links_[vm] = link;
  ++counters_.links_opened;
  if (const auto dial = dials_.find(vm); dial != dials_.end()) {
    dial->second.backoff = kInitialBackoff;
  }
  signal_up.emit(vm, link->incarnation());
}

void PeerLinks::HandleClosed(PeerLink* link, const Error& error) {
  const auto it = connections_.find(link);
  if (it == connections_.end()) return;
  const std::unique_ptr<PeerLink> owned = std::move(it->second);
  connections_.erase(it);
  counters_.bytes_sent += owned->bytes_sent();
  counters_.bytes_received += owned->bytes_received();
  if (error.code.category() == make_error_code(WireErrc::kProof).category()) {
    ++counters_.links_refused;
    // A rejected peer keeps retrying; repeats of the same error are not logged.
    if (error.message != last_refused_error_) {
      Log(LogLevel::kWarning, "peer_link_refused", "vm={} error=\"{}\"",
          owned->vm(), error.message);
      last_refused_error_ = error.message;
    }
  }
  const auto ready = links_.find(owned->vm());
  if (ready == links_.end() || ready->second != link) return;
  links_.erase(ready);
  ++counters_.links_closed;
  signal_down.emit(owned->vm(), false);
}

void PeerLinks::Tick() {
  const TimePoint now = EventLoop::Now();
  for (auto& [vm, dial] : dials_) {
    if (!dial.is_wanted || dial.attempt != nullptr || HasLink(vm)) continue;
    if (now < dial.next_try) continue;
    StartDial(&dial, /*is_for_link=*/true);
  }
}

void PeerLinks::StartDial(Dial* dial, bool is_for_link) {
  dial->is_for_link = is_for_link;
  dial->attempt = std::make_unique<ConnectAttempt>(
      loop_, dial->endpoint.address, dial->endpoint.port, kConnectTimeout,
      [this, vm = dial->endpoint.vm](std::error_code ec, int fd) {
        HandleDialed(vm, ec, fd);
      });
}

void PeerLinks::HandleDialed(const std::string& vm, std::error_code ec,
                             int fd) {
  const auto it = dials_.find(vm);
  Dial& dial = it->second;
  const std::unique_ptr<ConnectAttempt> attempt = std::move(dial.attempt);
  const bool is_for_link = dial.is_for_link;
  if (is_for_link) {
    const Duration half = dial.backoff / 2;
    dial.next_try = EventLoop::Now() + half +
                    Duration(static_cast<int64_t>(random_() % half.count()));
    dial.backoff = std::min(dial.backoff * 2, kMaxBackoff);
  }
  if (fd >= 0) {
    if (is_for_link) {
      AddConnection(fd, /*is_dialer=*/true);
    } else {
      evutil_closesocket(fd);
    }
  }
  signal_probed.emit(vm, ec, attempt->started_at());
  // The peer's own dial may have brought the link up meanwhile.
  if (ec && is_for_link && !HasLink(vm))
    signal_down.emit(vm, ec == NetErrc::kConnectRefused);
}

}  // namespace rwf
