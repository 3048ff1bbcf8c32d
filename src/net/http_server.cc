#include "net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "net/message_validator.h"
#include "net/net_error.h"

namespace rwf {
namespace {

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

std::string BodyOf(evbuffer* buf) {
  std::string out(evbuffer_get_length(buf), '\0');
  evbuffer_copyout(buf, out.data(), out.size());
  return out;
}

HttpRequest ReadRequest(evhttp_request* raw) {
  HttpRequest out;
  out.method = MethodName(evhttp_request_get_command(raw));
  const std::string uri = evhttp_request_get_uri(raw);
  const size_t query_start = uri.find('?');
  out.path = uri.substr(0, query_start);
  if (query_start != std::string::npos) out.query = uri.substr(query_start + 1);
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* it = fields->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    out.headers.Add(it->key, it->value);
  }
  out.body = BodyOf(evhttp_request_get_input_buffer(raw));
  char* address = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(raw), &address,
                             &port);
  if (address != nullptr) out.client_address = address;
  return out;
}

int SocketOf(evhttp_request* raw) {
  evhttp_connection* connection = evhttp_request_get_connection(raw);
  if (connection == nullptr) return -1;
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

}  // namespace

HttpExchange::HttpExchange(event_base* base, evhttp_request* raw,
                           std::function<void()> on_done)
    : base_(base),
      raw_(raw),
      request_(ReadRequest(raw)),
      on_done_(std::move(on_done)) {}

HttpExchange::~HttpExchange() {
  if (!has_responded()) Respond(JsonResponse(500, R"({"code":"internal"})"));
}

void HttpExchange::OnCallerDisconnect(std::function<void()> callback) {
  on_caller_disconnect_ = std::move(callback);
  if (closed_event_ != nullptr || has_responded()) return;
  WatchForClose(EV_CLOSED | EV_READ);
}

void HttpExchange::WatchForClose(short events) {
  closed_event_.reset(event_new(base_, SocketOf(raw_), events,
                                &HttpExchange::HandleClosed, this));
  event_add(closed_event_.get(), nullptr);
}

void HttpExchange::HandleClosed(evutil_socket_t fd, short what, void* self) {
  const auto exchange = static_cast<HttpExchange*>(self)->shared_from_this();
  if (exchange->has_responded()) return;
  // libevent reports a reset connection as readable, not as closed.
  if ((what & EV_CLOSED) == 0) {
    char c = 0;
    const ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_empty =
        n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (n > 0 || is_empty) {
      // Bytes of the caller's next request stay unread.
      exchange->WatchForClose(n > 0 ? EV_CLOSED : EV_CLOSED | EV_READ);
      return;
    }
  }
  const auto callback = std::move(exchange->on_caller_disconnect_);
  exchange->on_caller_disconnect_ = nullptr;
  if (callback) callback();
}

void HttpExchange::Respond(const HttpResponse& response) {
  if (has_responded()) return;
  closed_event_.reset();
  evhttp_request* raw = raw_;
  raw_ = nullptr;
  on_caller_disconnect_ = nullptr;
  evkeyvalq* fields = evhttp_request_get_output_headers(raw);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, response.body.data(), response.body.size());
  evhttp_send_reply(raw, response.status, nullptr, buf);
  evbuffer_free(buf);
  if (on_done_) on_done_();
}

void HttpExchange::Abort() {
  if (has_responded()) return;
  const int fd = SocketOf(raw_);
  if (fd >= 0) shutdown(fd, SHUT_RDWR);
  Respond(HttpResponse{502, {}, ""});
}

HttpServer::HttpServer(EventLoop* loop, const HttpServerLimits& limits,
                       Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      http_(evhttp_new(loop->base())) {
  evhttp_set_allowed_methods(http_, kAllMethods);
  evhttp_set_max_headers_size(http_, limits.max_header_bytes);
  evhttp_set_max_body_size(http_, limits.max_body_bytes);
  evhttp_set_timeout(http_, static_cast<int>(ToSeconds(limits.idle_timeout)));
  evhttp_set_default_content_type(http_, nullptr);
  evhttp_set_gencb(http_, &HttpServer::HandleRequest, this);
}

HttpServer::~HttpServer() { evhttp_free(http_); }

Result<uint16_t> HttpServer::Listen(const std::string& address, uint16_t port) {
  socket_ = evhttp_bind_socket_with_handle(http_, address.c_str(), port);
  if (socket_ == nullptr) {
    return Fail(NetErrc::kListenFailed,
                fmt::format("cannot listen on {}:{}: {}", address, port,
                            std::strerror(errno)));
  }
  sockaddr_in bound{};
  socklen_t n = sizeof(bound);
  getsockname(evhttp_bound_socket_get_fd(socket_),
              reinterpret_cast<sockaddr*>(&bound), &n);
  return ntohs(bound.sin_port);
}

void HttpServer::StopListening() {
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(http_, socket_);
  socket_ = nullptr;
}

void HttpServer::HandleConnectionClosed(evhttp_connection* raw, void* self) {
  static_cast<HttpServer*>(self)->connections_.erase(raw);
}

void HttpServer::HandleRequest(evhttp_request* raw, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  if (server->closes_after_responses_) {
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection",
                      "close");
  }
  const int fd = SocketOf(raw);
  const int on = 1;
  if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  evhttp_connection* connection = evhttp_request_get_connection(raw);
  if (server->connections_.insert(connection).second) {
    evhttp_connection_set_closecb(connection,
                                  &HttpServer::HandleConnectionClosed, server);
  }
  ++server->open_exchanges_;
  const auto exchange = std::make_shared<HttpExchange>(
      server->loop_->base(), raw, [server] { --server->open_exchanges_; });
  if (IsRequestHeadValid(evhttp_request_get_uri(raw),
                         exchange->request().headers)) {
    server->handler_(exchange);
    return;
  }
  // Where the next request begins is in doubt.
  HttpResponse refusal = JsonResponse(400, R"({"code":"bad-request"})");
  refusal.headers.Add("Connection", "close");
  exchange->Respond(refusal);
}

}  // namespace rwf
