#include "gateway/front_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <vector>

#include "net/net_error.h"

namespace rwf {
namespace {

constexpr int kListenBacklog = 512;
// A connection is dropped if its caller does not acknowledge bytes for this
// long.
constexpr unsigned kUserTimeoutMs = 10'000;

}  // namespace

FrontServer::FrontServer(EventLoop* loop, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

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
  return {};
}

void FrontServer::StopListening() {
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
  auto it = std::make_unique<CallerConnection>(server, fd);
  server->connections_.emplace(it.get(), std::move(it));
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
