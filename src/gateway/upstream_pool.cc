#include "gateway/upstream_pool.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace rwf {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(500);
// A reused connection that breaks this soon without a response was closed by
// the instance before the request arrived: a few round trips between regions.
constexpr Duration kStaleBreakTime = std::chrono::milliseconds(150);

// Returns the seconds of "timeout=N" in a Keep-Alive field, or zero.
Duration AdvertisedIdleTimeout(const HttpHeaders& headers) {
  const std::string& text = headers.Get("Keep-Alive");
  const size_t at = text.find("timeout=");
  if (at == std::string::npos) return Duration::zero();
  int n = 0;
  std::from_chars(text.data() + at + 8, text.data() + text.size(), n);
  return std::chrono::seconds(std::max(0, n));
}

// True for the errors of a host that is silent. All others count as its
// process's refusal: one that connect() reports at once reaches the event
// callback without an error code.
bool IsSilence(int ec) {
  return ec == ETIMEDOUT || ec == EHOSTUNREACH || ec == ENETUNREACH;
}

// True if the instance has closed an idle connection, or sent something on it,
// that the loop has not read yet.
bool HasUnreadInput(bufferevent* bev) {
  char c = 0;
  const ssize_t n =
      recv(bufferevent_getfd(bev), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

const char* OpenReasonName(OpenReason reason) {
  static constexpr std::array<const char*,
                              static_cast<size_t>(OpenReason::kCount)>
      kNames = {"first",    "busy",   "too-old",   "expired", "closed",
                "not-kept", "failed", "cancelled", "probe"};
  return kNames[static_cast<size_t>(reason)];
}

UpstreamPool::Connection::~Connection() {
  if (bev != nullptr) bufferevent_free(bev);
}

UpstreamPool::UpstreamPool(EventLoop* loop, BufferAccount* buffers)
    : loop_(loop), buffers_(buffers) {
  timer_ = loop->Every(kSweepInterval, [this] { CloseExpired(); });
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::AddMetrics(Metrics* metrics) const {
  metrics->AddGauge("rwf_upstream_connections_opened_total",
                    "Connections opened to upstreams",
                    [this] { return double(counters_.opened); });
  for (size_t n = 0; n < counters_.opened_by.size(); ++n) {
    metrics->AddGauge("rwf_upstream_connections_opened_by_reason_total",
                      "Connections opened to upstreams, by the reason",
                      [this, n] { return double(counters_.opened_by[n]); },
                      {{"reason", OpenReasonName(static_cast<OpenReason>(n))}});
  }
  metrics->AddGauge("rwf_upstream_connections_reused_total",
                    "Requests sent on a reused connection",
                    [this] { return double(counters_.reused); });
  metrics->AddGauge(
      "rwf_upstream_unidentified_responses_total",
      "Responses on reused connections that name no request",
      [this] { return double(counters_.unidentified_responses); });
  metrics->AddGauge("rwf_upstream_malformed_responses_total",
                    "Responses against the syntax of HTTP/1.1, given up",
                    [this] { return double(counters_.malformed_responses); });
}

UpstreamPool::SendId UpstreamPool::Send(const UpstreamTarget& target,
                                        Request request, Callback callback) {
  // Without an id, a response cannot be told from one to an earlier request.
  Connection* it = request.request_id.empty()
                       ? nullptr
                       : TakeIdle(target, request.is_idempotent);
  const SendId id = next_id_++;
  const bool is_open = it != nullptr;
  if (!is_open) it = Open(target, ReasonToOpen(target));
  it->send_id = id;
  it->request = std::move(request);
  it->callback = std::move(callback);
  busy_[id] = it;
  if (is_open) {
    ++counters_.reused;
    Write(it);
  }
  return id;
}

UpstreamPool::Connection* UpstreamPool::TakeIdle(const UpstreamTarget& target,
                                                 bool is_idempotent) {
  const auto found = instances_.find(target.instance);
  if (found == instances_.end()) return nullptr;
  const TimePoint now = EventLoop::Now();
  // Idempotent requests take the connection that rested longest, so that recent
  // ones remain for the others.
  std::vector<Connection*> candidates = found->second.idle;
  if (!is_idempotent) std::reverse(candidates.begin(), candidates.end());
  for (Connection* it : candidates) {
    if (!(it->target == target)) continue;
    const Duration limit = idle_limits_.ReuseLimit(
        target.instance, it->advertised_idle, is_idempotent, now);
    if (now - it->idle_since > limit) continue;
    if (HasUnreadInput(it->bev)) {
      OnIdleClosed(it);
      continue;
    }
    std::erase(found->second.idle, it);
    return it;
  }
  return nullptr;
}

OpenReason UpstreamPool::ReasonToOpen(const UpstreamTarget& target) const {
  const auto found = instances_.find(target.instance);
  if (found == instances_.end()) return OpenReason::kFirst;
  const InstanceConnections& it = found->second;
  if (!it.idle.empty()) return OpenReason::kTooOld;
  return it.open > 0 ? OpenReason::kBusy : it.last_end;
}

UpstreamPool::Connection* UpstreamPool::Open(const UpstreamTarget& target,
                                             OpenReason reason) {
  auto owned = std::make_unique<Connection>();
  Connection* it = owned.get();
  it->pool = this;
  it->target = target;
  it->holder = std::make_unique<BufferAccount::Holder>(
      buffers_, BufferUse::kResponse, [this, it] { GiveUpResponse(it); });
  it->bev = bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(it->bev, &UpstreamPool::HandleRead, nullptr,
                    &UpstreamPool::HandleEvent, it);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(target.port);
  inet_pton(AF_INET, target.address.c_str(), &to.sin_addr);
  connections_.emplace(it, std::move(owned));
  InstanceConnections& instance = instances_[target.instance];
  ++instance.open;
  instance.is_removed = false;
  ++counters_.opened;
  ++counters_.opened_by[static_cast<size_t>(reason)];
  it->connect_timer =
      loop_->After(kConnectTimeout, [this, it] { OnConnectFailed(it, false); });
  if (bufferevent_socket_connect(it->bev, reinterpret_cast<sockaddr*>(&to),
                                 sizeof(to)) != 0) {
    it->connect_timer = loop_->After(
        Duration::zero(), [this, it] { OnConnectFailed(it, false); });
    return it;
  }
  const evutil_socket_t fd = bufferevent_getfd(it->bev);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  // A closed connection would still deliver the request that it holds, seconds
  // later if the network is cut; a reset one does not.
  const linger reset_on_close{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  return it;
}

void UpstreamPool::Probe(const UpstreamTarget& target, ProbeCallback callback) {
  Open(target, OpenReason::kProbe)->probe_callback = std::move(callback);
}

void UpstreamPool::OnConnectFailed(Connection* it, bool is_refused) {
  ++counters_.connect_failures;
  if (it->probe_callback == nullptr) {
    Complete(it, {SendOutcome::kConnectFailed, {}, false, false}, false);
    return;
  }
  const ProbeCallback callback = std::move(it->probe_callback);
  EraseConnection(it, OpenReason::kFailed);
  callback(is_refused);
}

void UpstreamPool::Write(Connection* it) {
  it->state = State::kBusy;
  it->sent_at = EventLoop::Now();
  it->parser.Reset(it->request.is_head);
  bufferevent_enable(it->bev, EV_READ | EV_WRITE);
  evbuffer* out = bufferevent_get_output(it->bev);
  evbuffer_add(out, it->request.head.data(), it->request.head.size());
  if (!it->request.body.AddTo(out)) {
    // Without the rest of the body, the instance never runs the request.
    it->connect_timer =
        loop_->After(Duration::zero(), [this, it] { GiveUpResponse(it); });
  }
  it->request.head = {};
  it->request.body = {};
}

void UpstreamPool::HandleRead(bufferevent*, void* arg) {
  auto* it = static_cast<Connection*>(arg);
  // Bytes on an idle connection do not belong to any request.
  if (it->state != State::kBusy) {
    it->pool->OnIdleClosed(it);
    return;
  }
  UpstreamPool* pool = it->pool;
  pool->ReadResponse(it);
  pool->LimitBufferedBytes();
}

void UpstreamPool::SetBuffered(Connection* it, size_t bytes) {
  buffered_bytes_ += bytes - it->buffered_bytes;
  it->buffered_bytes = bytes;
  const TimePoint now = EventLoop::Now();
  it->holder->Set(bytes, now);
  it->holder->OnProgress(now);
}

void UpstreamPool::GiveUpResponse(Connection* it) {
  Complete(it, {SendOutcome::kBroken, {}, it->was_used, true}, false);
}

void UpstreamPool::LimitBufferedBytes() {
  while (buffered_bytes_ > kMaxBufferedBytes) {
    const auto largest = std::max_element(
        busy_.begin(), busy_.end(), [](const auto& a, const auto& b) {
          return a.second->buffered_bytes < b.second->buffered_bytes;
        });
    GiveUpResponse(largest->second);
  }
}

void UpstreamPool::EraseConnection(Connection* it, OpenReason end) {
  SetBuffered(it, 0);
  const auto found = instances_.find(it->target.instance);
  InstanceConnections& instance = found->second;
  instance.last_end = end;
  if (--instance.open == 0 && instance.is_removed) {
    idle_limits_.Forget(found->first);
    instances_.erase(found);
  }
  connections_.erase(it);
}

UpstreamPool::ResponseOrigin UpstreamPool::OriginOf(
    const Connection& it, const ReceivedMessage& response) {
  const std::string& id = response.headers.Get(it.request.id_header);
  // On a reused connection, a response without an id may be an earlier one that
  // was sent again. If it says that its request has not run, this need not hold
  // for the current request.
  if (id.empty()) {
    return it.was_used ? ResponseOrigin::kUnknown
                       : ResponseOrigin::kCurrentRequest;
  }
  return id == it.request.request_id ? ResponseOrigin::kCurrentRequest
                                     : ResponseOrigin::kEarlierRequest;
}

void UpstreamPool::ReadResponse(Connection* it) {
  evbuffer* buf = bufferevent_get_input(it->bev);
  while (evbuffer_get_length(buf) > 0) {
    evbuffer_iovec chunk;
    if (evbuffer_peek(buf, -1, nullptr, &chunk, 1) < 1) return;
    const size_t n = it->parser.Feed(
        {static_cast<const char*>(chunk.iov_base), chunk.iov_len});
    evbuffer_drain(buf, n);
    SetBuffered(it, it->parser.message().body.size());
    switch (it->parser.state()) {
      case ParseState::kHead:
      case ParseState::kBody:
        if (n == 0) return;
        continue;
      case ParseState::kMalformed:
        ++counters_.malformed_responses;
        GiveUpResponse(it);
        return;
      case ParseState::kHeadTooLarge:
      case ParseState::kBodyTooLarge:
      case ParseState::kOutOfMemory:
        GiveUpResponse(it);
        return;
      case ParseState::kComplete:
        break;
    }
    ReceivedMessage response = it->parser.Take();
    SetBuffered(it, 0);
    const ResponseOrigin origin = OriginOf(*it, response);
    if (origin == ResponseOrigin::kUnknown) {
      ++counters_.unidentified_responses;
      Complete(it, {SendOutcome::kBroken, {}, it->was_used, true}, false);
      return;
    }
    if (origin == ResponseOrigin::kEarlierRequest) {
      // A late duplicate response to an earlier request. The response to the
      // current request follows it.
      ++counters_.mismatched_responses;
      it->has_mismatched_response = true;
      it->parser.Reset(it->request.is_head);
      continue;
    }
    const bool has_more = evbuffer_get_length(buf) > 0;
    const bool has_unsent =
        evbuffer_get_length(bufferevent_get_output(it->bev)) > 0;
    const bool keep_open = response.keep_alive && !has_more && !has_unsent &&
                           !it->has_mismatched_response;
    const bool was_used = it->was_used;
    const Duration advertised = AdvertisedIdleTimeout(response.headers);
    if (advertised > Duration::zero()) it->advertised_idle = advertised;
    Complete(it, {SendOutcome::kResponded, std::move(response), was_used, true},
             keep_open);
    return;
  }
}

void UpstreamPool::HandleEvent(bufferevent*, short what, void* arg) {
  auto* it = static_cast<Connection*>(arg);
  UpstreamPool* pool = it->pool;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    it->connect_timer.reset();
    if (it->probe_callback == nullptr) {
      pool->Write(it);
      return;
    }
    const ProbeCallback callback = std::move(it->probe_callback);
    it->probe_callback = nullptr;
    bufferevent_enable(it->bev, EV_READ | EV_WRITE);
    pool->KeepOrErase(it, true, OpenReason::kNotKept);
    callback(false);
    return;
  }
  switch (it->state) {
    case State::kConnecting:
      pool->OnConnectFailed(it, !IsSilence(EVUTIL_SOCKET_ERROR()));
      return;
    case State::kIdle:
      pool->OnIdleClosed(it);
      return;
    case State::kBusy:
      break;
  }
  const bool was_silent =
      (what & BEV_EVENT_ERROR) != 0 && IsSilence(EVUTIL_SOCKET_ERROR());
  const bool has_begun = it->parser.has_begun();
  // A response without a length is complete only after a clean close.
  if ((what & BEV_EVENT_EOF) != 0) it->parser.FeedEof();
  if (it->parser.state() == ParseState::kComplete) {
    ReceivedMessage response = it->parser.Take();
    if (OriginOf(*it, response) == ResponseOrigin::kCurrentRequest) {
      pool->Complete(
          it,
          {SendOutcome::kResponded, std::move(response), it->was_used, true},
          false);
      return;
    }
  }
  const TimePoint now = EventLoop::Now();
  if (it->was_used && !has_begun && now - it->sent_at < kStaleBreakTime)
    pool->idle_limits_.OnLost(it->target.instance, it->sent_at - it->idle_since,
                              now);
  pool->Complete(
      it, {SendOutcome::kBroken, {}, it->was_used, has_begun, was_silent},
      false);
}

void UpstreamPool::Complete(Connection* it, const SendResult& result,
                            bool keep_open) {
  const Callback callback = std::move(it->callback);
  busy_.erase(it->send_id);
  it->send_id = 0;
  it->callback = nullptr;
  KeepOrErase(it, keep_open,
              result.outcome == SendOutcome::kResponded ? OpenReason::kNotKept
                                                        : OpenReason::kFailed);
  callback(result);
}

void UpstreamPool::KeepOrErase(Connection* it, bool keep_open, OpenReason end) {
  std::vector<Connection*>& idle = instances_[it->target.instance].idle;
  if (!keep_open || idle.size() >= kMaxIdlePerInstance) {
    EraseConnection(it, end);
    return;
  }
  it->state = State::kIdle;
  it->was_used = true;
  it->idle_since = EventLoop::Now();
  idle.push_back(it);
}

void UpstreamPool::Cancel(SendId id) {
  const auto it = busy_.find(id);
  if (it == busy_.end()) return;
  Connection* connection = it->second;
  busy_.erase(it);
  EraseConnection(connection, OpenReason::kCancelled);
}

void UpstreamPool::Remove(Connection* it, OpenReason end) {
  std::erase(instances_[it->target.instance].idle, it);
  EraseConnection(it, end);
}

void UpstreamPool::OnIdleClosed(Connection* it) {
  const TimePoint now = EventLoop::Now();
  idle_limits_.OnClosed(it->target.instance, now - it->idle_since, now);
  Remove(it, OpenReason::kClosed);
}

void UpstreamPool::CloseIdleConnections(const std::string& instance) {
  idle_limits_.Forget(instance);
  const auto it = instances_.find(instance);
  if (it == instances_.end()) return;
  const std::vector<Connection*> idle = std::move(it->second.idle);
  it->second.idle.clear();
  if (it->second.open == 0) {
    instances_.erase(it);
    return;
  }
  it->second.is_removed = true;
  for (Connection* connection : idle)
    EraseConnection(connection, OpenReason::kExpired);
}

void UpstreamPool::CloseExpired() {
  const TimePoint now = EventLoop::Now();
  idle_limits_.Tick(now);
  std::vector<Connection*> expired;
  for (const auto& [instance, connections] : instances_) {
    for (Connection* it : connections.idle) {
      const Duration idle = now - it->idle_since;
      if (idle > idle_limits_.KeepLimit(instance, it->advertised_idle, now)) {
        expired.push_back(it);
      } else {
        idle_limits_.OnSurvived(instance, idle);
      }
    }
  }
  for (Connection* it : expired) Remove(it, OpenReason::kExpired);
}

}  // namespace rwf
