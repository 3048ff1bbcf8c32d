#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/message_validator.h"
#include "net/net_error.h"

namespace rwf {
namespace {

struct MethodCode {
  const char* name;
  evhttp_cmd_type code;
};

constexpr std::array<MethodCode, 6> kMethods = {{{"GET", EVHTTP_REQ_GET},
                                                 {"POST", EVHTTP_REQ_POST},
                                                 {"PUT", EVHTTP_REQ_PUT},
                                                 {"DELETE", EVHTTP_REQ_DELETE},
                                                 {"HEAD", EVHTTP_REQ_HEAD},
                                                 {"PATCH", EVHTTP_REQ_PATCH}}};

evhttp_cmd_type CodeOf(const std::string& method) {
  for (const MethodCode& it : kMethods) {
    if (method == it.name) return it.code;
  }
  return EVHTTP_REQ_GET;
}

HttpResponse ReadResponse(evhttp_request* raw) {
  HttpResponse out;
  out.status = evhttp_request_get_response_code(raw);
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* it = fields->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    // evhttp leaves tabs around a value.
    out.headers.Add(it->key, std::string(TrimBlanks(it->value)));
  }
  evbuffer* buf = evhttp_request_get_input_buffer(raw);
  out.body.resize(evbuffer_get_length(buf));
  evbuffer_copyout(buf, out.body.data(), out.body.size());
  return out;
}

// True if the end of the response does not depend on the close of the
// connection.
bool IsFramed(const std::string& method, const HttpResponse& response) {
  if (method == "HEAD" || response.status == 204 || response.status == 304)
    return true;
  return response.headers.Has("Content-Length") ||
         response.headers.Has("Transfer-Encoding");
}

}  // namespace

class HttpClient::Connection {
 public:
  Connection(event_base* base, HttpTarget target,
             const HttpClientLimits& limits)
      : target_(std::move(target)),
        raw_(evhttp_connection_base_new(base, nullptr, target_.address.c_str(),
                                        target_.port)) {
    evhttp_connection_set_max_headers_size(raw_, limits.max_head_bytes);
    evhttp_connection_set_max_body_size(raw_, limits.max_response_bytes);
    evhttp_connection_set_retries(raw_, 0);
    bufferevent* bev = evhttp_connection_get_bufferevent(raw_);
    evbuffer_add_cb(bufferevent_get_output(bev), &Connection::CountSent, this);
    evbuffer_add_cb(bufferevent_get_input(bev), &Connection::CheckReceived,
                    this);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { evhttp_connection_free(raw_); }

  // True if the peer has neither closed the connection nor sent anything on it
  // since the last response. Otherwise a late response could be taken for that
  // of the next request.
  bool IsReusable() const {
    bufferevent* bev = evhttp_connection_get_bufferevent(raw_);
    const int fd = bufferevent_getfd(bev);
    if (fd < 0 || evbuffer_get_length(bufferevent_get_input(bev)) != 0)
      return false;
    char c;
    return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EINTR);
  }

  void SetNoDelay() const {
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(raw_));
    const int on = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  // Makes the close discard what the server has not received: it would be
  // delivered and run later otherwise.
  void ResetOnClose() const {
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(raw_));
    const linger reset{1, 0};
    if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }

  const HttpTarget& target() const { return target_; }
  evhttp_connection* raw() const { return raw_; }
  bool has_sent() const { return sent_bytes_ > 0; }
  MessageValidator::State response_state() const { return validator_.state(); }

  // Prepares for the next request. `on_invalid` is called at most once, when
  // what is received is no response. The connection is in use by evhttp then.
  void BeginRequest(bool is_head, std::function<void()> on_invalid) {
    sent_bytes_ = 0;
    validator_.Reset(is_head);
    on_invalid_ = std::move(on_invalid);
  }

  TimePoint idle_since{};
  bool has_served = false;  // a request before the current one

 private:
  static void CountSent(evbuffer*, const evbuffer_cb_info* info, void* self) {
    static_cast<Connection*>(self)->sent_bytes_ += info->n_deleted;
  }

  // evhttp takes any status, blanks in field names and more, so the validator
  // sees each byte before it does.
  static void CheckReceived(evbuffer* buf, const evbuffer_cb_info* info,
                            void* self) {
    if (info->n_added == 0) return;
    evbuffer_ptr at;
    evbuffer_ptr_set(buf, &at, evbuffer_get_length(buf) - info->n_added,
                     EVBUFFER_PTR_SET);
    std::vector<evbuffer_iovec> pieces(static_cast<size_t>(evbuffer_peek(
        buf, static_cast<ev_ssize_t>(info->n_added), &at, nullptr, 0)));
    evbuffer_peek(buf, static_cast<ev_ssize_t>(info->n_added), &at,
                  pieces.data(), static_cast<int>(pieces.size()));
    static_cast<Connection*>(self)->Validate(pieces);
  }

  void Validate(const std::vector<evbuffer_iovec>& pieces) {
    for (const evbuffer_iovec& it : pieces) {
      validator_.Feed({static_cast<const char*>(it.iov_base), it.iov_len});
    }
    if (validator_.state() != MessageValidator::State::kInvalid) return;
    if (on_invalid_) std::exchange(on_invalid_, nullptr)();
  }

  HttpTarget target_;
  evhttp_connection* raw_;
  size_t sent_bytes_ = 0;
  MessageValidator validator_{HttpMessageType::kResponse};
  std::function<void()> on_invalid_;
};

struct HttpClient::Call {
  HttpClient* client;
  CallId id;
  std::string method;
  std::string request_id;
  std::unique_ptr<Connection> connection;
  evhttp_request* raw = nullptr;
  bool is_refused = false;
  bool is_too_large = false;
  Callback callback;
  std::unique_ptr<Timer> deadline_timer;

  static void HandleResponse(evhttp_request* raw, void* self) {
    auto* call = static_cast<Call*>(self);
    call->client->HandleResponse(call->id, raw);
  }
  static void HandleError(evhttp_request_error error, void* self) {
    static_cast<Call*>(self)->is_too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
  }
};

HttpClient::HttpClient(EventLoop* loop, const HttpClientLimits& limits)
    : loop_(loop),
      limits_(limits),
      idle_timer_(loop->Every(std::chrono::seconds(1),
                              [this] { CloseExpiredConnections(); })) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Send(const HttpTarget& target,
                                    const HttpRequest& request,
                                    Duration timeout, Callback callback) {
  const CallId id = next_id_++;
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  call->client = this;
  call->id = id;
  call->method = request.method;
  call->request_id = request.headers.Get("X-Request-Id");
  call->connection = TakeConnection(target);
  call->callback = std::move(callback);
  call->connection->BeginRequest(
      request.method == "HEAD",
      [this, id, alive = std::weak_ptr<bool>(alive_)] {
        loop_->Post([this, id, alive] {
          if (!alive.expired()) FinishBroken(id);
        });
      });
  calls_.emplace(id, std::move(owned));

  call->raw = evhttp_request_new(&Call::HandleResponse, call);
  evhttp_request_set_error_cb(call->raw, &Call::HandleError);
  evkeyvalq* fields = evhttp_request_get_output_headers(call->raw);
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  if (!request.headers.Has("Host"))
    evhttp_add_header(fields, "Host", target.address.c_str());
  if (!request.body.empty()) {
    evbuffer_add(evhttp_request_get_output_buffer(call->raw),
                 request.body.data(), request.body.size());
  }
  const std::string uri =
      request.query.empty() ? request.path : request.path + "?" + request.query;
  call->deadline_timer =
      loop_->After(std::max(timeout, Duration::zero()), [this, id] {
        const auto it = calls_.find(id);
        if (it == calls_.end()) return;
        HttpOutcome outcome;
        outcome.ec = NetErrc::kDeadline;
        outcome.was_sent = it->second->connection->has_sent();
        Finish(id, std::move(outcome), false);
      });
  if (evhttp_make_request(call->connection->raw(), call->raw,
                          CodeOf(request.method), uri.c_str()) != 0) {
    // evhttp has freed the request. The failure is reported from the loop like
    // any other.
    call->raw = nullptr;
    call->deadline_timer = loop_->After(Duration::zero(), [this, id] {
      HttpOutcome outcome;
      outcome.ec = NetErrc::kConnectFailed;
      Finish(id, std::move(outcome), false);
    });
  }
  return id;
}

bool HttpClient::Cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return false;
  it->second->callback = nullptr;
  Finish(id, {}, false);
  return true;
}

size_t HttpClient::connections(const HttpTarget& target) const {
  const auto it = idle_.find(target);
  const size_t idle = it == idle_.end() ? 0 : it->second.size();
  return idle + static_cast<size_t>(std::count_if(
                    calls_.begin(), calls_.end(), [&](const auto& c) {
                      return c.second->connection->target() == target;
                    }));
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeConnection(
    const HttpTarget& target) {
  auto& idle = idle_[target];
  while (!idle.empty()) {
    std::unique_ptr<Connection> it = std::move(idle.back());
    idle.pop_back();
    if (it->IsReusable()) return it;
  }
  return std::make_unique<Connection>(loop_->base(), target, limits_);
}

void HttpClient::ReturnConnection(std::unique_ptr<Connection> connection) {
  auto& idle = idle_[connection->target()];
  if (idle.size() >= limits_.max_idle_per_target || !connection->IsReusable())
    return;
  connection->idle_since = EventLoop::Now();
  connection->has_served = true;
  idle.push_back(std::move(connection));
}

void HttpClient::HandleResponse(CallId id, evhttp_request* raw) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = *it->second;
  // evhttp frees the request after this callback.
  call.raw = nullptr;
  const MessageValidator::State state = call.connection->response_state();
  if (state == MessageValidator::State::kInvalid) {
    FinishBroken(id);
    return;
  }
  HttpOutcome outcome;
  outcome.was_sent = call.connection->has_sent();
  if (raw == nullptr || evhttp_request_get_response_code(raw) == 0) {
    outcome.ec = call.is_too_large  ? NetErrc::kTooLarge
                 : outcome.was_sent ? NetErrc::kBroken
                                    : NetErrc::kConnectFailed;
    Finish(id, std::move(outcome), false);
    return;
  }
  outcome.response = ReadResponse(raw);
  const std::string& echoed_id = outcome.response.headers.Get("X-Request-Id");
  if (state == MessageValidator::State::kBody &&
      !IsFramed(call.method, outcome.response)) {
    outcome.ec = NetErrc::kUnframed;
  } else if (state != MessageValidator::State::kComplete) {
    outcome.ec = NetErrc::kBroken;
  } else if (!call.request_id.empty() && echoed_id != call.request_id &&
             (!echoed_id.empty() || call.connection->has_served)) {
    // On a reused connection, a response without an id may be an earlier one.
    outcome.ec = NetErrc::kRequestIdMismatch;
  }
  const bool may_reuse =
      !outcome.ec && outcome.response.headers.Get("Connection") != "close";
  if (outcome.ec) outcome.response = {};
  Finish(id, std::move(outcome), may_reuse);
}

void HttpClient::FinishBroken(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  HttpOutcome outcome;
  outcome.ec = NetErrc::kBroken;
  outcome.was_sent = it->second->connection->has_sent();
  Finish(id, std::move(outcome), false);
}

void HttpClient::Finish(CallId id, HttpOutcome outcome, bool may_reuse) {
  const auto it = calls_.find(id);
  const std::shared_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  if (call->raw != nullptr) {
    call->connection->ResetOnClose();
    evhttp_cancel_request(call->raw);
    call->raw = nullptr;
  }
  // evhttp still uses the connection while it calls back, so it is pooled or
  // freed from the loop.
  call->deadline_timer.reset();
  loop_->Post([this, call, may_reuse, alive = std::weak_ptr<bool>(alive_)] {
    if (may_reuse && !alive.expired())
      ReturnConnection(std::move(call->connection));
  });
  if (call->callback) call->callback(std::move(outcome));
}

void HttpClient::CloseExpiredConnections() {
  const TimePoint now = EventLoop::Now();
  for (auto& [target, all] : idle_) {
    std::erase_if(all, [&](const auto& it) {
      return now - it->idle_since > limits_.idle_timeout;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace rwf
