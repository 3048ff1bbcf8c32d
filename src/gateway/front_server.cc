#include "gateway/front_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "net/net_error.h"

namespace rwf {
namespace {

constexpr int kListenBacklog = 512;
// A connection is dropped if its caller does not acknowledge bytes for this
// long.
constexpr unsigned kUserTimeoutMs = 10'000;

}  // namespace

FrontServer::FrontServer(EventLoop* loop, Callbacks callbacks,
                         Resources resources)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      resources_(std::move(resources)),
      max_connections_(
          static_cast<size_t>(static_cast<double>(resources_.max_descriptors) *
                              kCallerDescriptorFraction)) {
  if (resources_.buffers != nullptr) {
    resources_.buffers->signal_exceeded.connect(
        sigc::mem_fun(*this, &FrontServer::OnExceeded));
    resources_.buffers->signal_reclaim.connect(
        sigc::mem_fun(*this, &FrontServer::OnReclaim));
  }
  if (resources_.metrics != nullptr) AddGauges();
}

void FrontServer::AddGauges() {
  Metrics* metrics = resources_.metrics;
  metrics->AddGauge("rwf_caller_connections", "Open connections of callers",
                    [this] { return double(connections()); });
  const BufferAccount* buffers = resources_.buffers;
  if (buffers == nullptr) return;
  metrics->AddGauge("rwf_buffered_bytes",
                    "Bytes of requests and responses that the process holds",
                    [buffers] { return double(buffers->bytes()); });
  metrics->AddGauge("rwf_buffered_bytes_limit",
                    "Bytes of requests and responses above which holders are "
                    "reclaimed",
                    [buffers] { return double(buffers->limit()); });
}

FrontServer::~FrontServer() { StopListening(); }

Result<void> FrontServer::Listen(const std::string& address, uint16_t port) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &bound.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_->base(), &FrontServer::HandleAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  if (listener_ == nullptr) {
    return Fail(NetErrc::kListenFailed,
                fmt::format("cannot listen for callers on {}:{}: {}", address,
                            port, std::strerror(errno)));
  }
  evconnlistener_set_error_cb(listener_, &FrontServer::HandleAcceptError);
  if (resources_.memory_mb > 0) {
    // Accepted connections inherit the size.
    const double bytes =
        static_cast<double>(resources_.memory_mb) * (1 << 20) *
        kReceiveBufferFraction /
        static_cast<double>(std::max<size_t>(1, max_connections_));
    const int size = static_cast<int>(
        std::clamp<double>(bytes, kMinReceiveBuffer, kMaxReceiveBuffer));
    setsockopt(evconnlistener_get_fd(listener_), SOL_SOCKET, SO_RCVBUF, &size,
               sizeof(size));
  }
  return {};
}

void FrontServer::StopListening() {
  accept_timer_.reset();
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void FrontServer::HandleAccept(evconnlistener*, evutil_socket_t fd, sockaddr*,
                               int, void* self) {
  auto* server = static_cast<FrontServer*>(self);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  if (server->max_connections_ > 0 &&
      server->connections_.size() >= server->max_connections_) {
    server->LogBound("connection_limit_reached", &server->connection_limit_at_,
                     "callers", server->connections_.size());
    if (!server->CloseLongestIdle(Duration::zero())) {
      evutil_closesocket(fd);
      return;
    }
  }
  auto it = std::make_unique<CallerConnection>(server, fd);
  server->connections_.emplace(it.get(), std::move(it));
}

void FrontServer::HandleAcceptError(evconnlistener*, void* self) {
  const int ec = EVUTIL_SOCKET_ERROR();
  auto* server = static_cast<FrontServer*>(self);
  if (ec != EMFILE && ec != ENFILE && ec != ENOBUFS && ec != ENOMEM) return;
  server->LogBound("accept_paused", &server->accept_failure_at_, "callers",
                   server->connections_.size());
  server->CloseLongestIdle(kMinIdle);
  evconnlistener_disable(server->listener_);
  server->accept_timer_ = server->loop_->After(
      kAcceptPause, [server] { evconnlistener_enable(server->listener_); });
}

bool FrontServer::CloseLongestIdle(Duration min_idle) {
  const TimePoint now = EventLoop::Now();
  CallerConnection* longest = nullptr;
  std::pair<bool, Duration> longest_rank;
  for (const auto& [it, owned] : connections_) {
    if (it->has_unanswered()) continue;
    const Duration idle = now - it->progress_at();
    // A caller that reads a response is not idle unless it has stopped reading.
    if (idle < (it->is_delivering() ? kMinIdle : min_idle)) continue;
    const std::pair<bool, Duration> rank{!it->is_delivering(), idle};
    if (longest != nullptr && rank <= longest_rank) continue;
    longest = it;
    longest_rank = rank;
  }
  if (longest == nullptr) return false;
  Close(longest);
  return true;
}

void FrontServer::ReclaimSoon(Duration delay) {
  // A timer that is due must not be replaced: reads would do so in each round
  // of the loop before it runs.
  const bool is_now = delay == Duration::zero();
  if (is_reclaiming_ || is_reclaim_due_ ||
      (reclaim_timer_ != nullptr && !is_now))
    return;
  is_reclaim_due_ = is_now;
  reclaim_timer_ = loop_->After(delay, [this] { Reclaim(); });
}

void FrontServer::Reclaim() {
  BufferAccount* buffers = resources_.buffers;
  reclaim_timer_.reset();
  is_reclaim_due_ = false;
  is_reclaiming_ = true;
  if (buffers->is_scarce()) {
    for (const auto& [it, owned] : connections_) it->CountUnreadBytes();
  }
  const auto is_paused = [](const auto& it) { return it.first->is_paused(); };
  bool is_awaited =
      std::any_of(connections_.begin(), connections_.end(), is_paused);
  buffers->Reclaim(is_awaited, EventLoop::Now());
  // Resuming starts requests, which may close other connections.
  std::vector<CallerConnection*> paused;
  for (const auto& [it, owned] : connections_) {
    if (it->is_paused()) paused.push_back(it);
  }
  is_awaited = false;
  for (CallerConnection* it : paused) {
    if (!connections_.contains(it)) continue;
    if (!buffers->is_scarce()) it->Resume();
    is_awaited = is_awaited || it->is_paused();
  }
  is_reclaiming_ = false;
  if (is_awaited || buffers->bytes() > buffers->limit())
    ReclaimSoon(kReclaimInterval);
}

void FrontServer::OnReclaim(BufferUse use, size_t bytes) {
  const char* name = BufferUseName(use);
  if (resources_.metrics != nullptr)
    resources_.metrics->CountBufferReclaim(name);
  LogBound("buffer_limit_reached", &buffer_limit_at_, name, bytes);
}

void FrontServer::LogBound(const char* event, TimePoint* last, const char* use,
                           size_t bytes) {
  const TimePoint now = EventLoop::Now();
  const bool is_first = now - *last > kLogInterval;
  *last = now;
  if (!is_first || resources_.log == nullptr) return;
  const BufferAccount* buffers = resources_.buffers;
  resources_.log->State(event)
      .Text("use", use)
      .Number("held", static_cast<int64_t>(bytes))
      .Number("buffered",
              buffers == nullptr ? 0 : static_cast<int64_t>(buffers->bytes()))
      .Number("limit",
              buffers == nullptr ? 0 : static_cast<int64_t>(buffers->limit()))
      .Number("connections", static_cast<int64_t>(connections_.size()))
      .Number("max_connections", static_cast<int64_t>(max_connections_));
}

bool FrontServer::MayPipeline(const ReceivedMessage& request) {
  return callbacks_.may_pipeline != nullptr && callbacks_.may_pipeline(request);
}

ExchangeId FrontServer::NewExchange(CallerConnection* connection) {
  const ExchangeId id = next_id_++;
  exchanges_.emplace(id, connection);
  return id;
}

void FrontServer::Handle(ExchangeId id, ReceivedMessage request) {
  callbacks_.on_request(id, std::move(request));
}

void FrontServer::Reply(ExchangeId id, int status, const HttpHeaders& headers,
                        const Body& body) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  CallerConnection* it = found->second;
  exchanges_.erase(found);
  it->Answer(id, {status, headers, body});
}

void FrontServer::Close(CallerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  const auto owned = std::move(found->second);
  connections_.erase(found);
  const std::vector<ExchangeId> unanswered = owned->Unanswered();
  // A callback must not reply on the connection.
  for (const ExchangeId id : unanswered) exchanges_.erase(id);
  for (const ExchangeId id : unanswered) callbacks_.on_disconnected(id);
}

void FrontServer::CloseAfterResponses() {
  closes_after_responses_ = true;
  for (const auto& [it, owned] : connections_) it->CloseAfterResponses();
}

void FrontServer::CloseIdle() {
  for (const auto& [it, owned] : connections_) it->CloseIfIdle();
}

}  // namespace rwf
