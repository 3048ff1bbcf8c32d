#include "rwf/operator_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include <memory>
#include <utility>

namespace rwf {
namespace {

constexpr size_t kMaxBodyBytes = 64 << 20;

template <auto kFree>
struct Deleter {
  template <typename T>
  void operator()(T* it) const {
    kFree(it);
  }
};
using EventBase = std::unique_ptr<event_base, Deleter<event_base_free>>;
using Connection =
    std::unique_ptr<evhttp_connection, Deleter<evhttp_connection_free>>;
using Uri = std::unique_ptr<evhttp_uri, Deleter<evhttp_uri_free>>;

struct Response {
  int status = 0;  // 0 if there is no response
  std::string body;
};

void OnResponse(evhttp_request* request, void* arg) {
  auto* response = static_cast<Response*>(arg);
  if (request == nullptr) return;
  response->status = evhttp_request_get_response_code(request);
  evbuffer* buf = evhttp_request_get_input_buffer(request);
  response->body.resize(evbuffer_get_length(buf));
  evbuffer_copyout(buf, response->body.data(), response->body.size());
}

// Returns the `message` member of an error response, or the truncated body.
std::string ExtractMessage(const Result<Json>& json, const std::string& body) {
  static constexpr size_t kMaxLength = 500;
  if (json && json->is_object() && json->contains("message") &&
      json->at("message").is_string())
    return json->at("message").get<std::string>();
  return body.substr(0, kMaxLength);
}

}  // namespace

OperatorClient::OperatorClient(const std::string& url, std::string token)
    : url_(url), token_(std::move(token)) {
  const Uri uri(evhttp_uri_parse(url.c_str()));
  if (uri == nullptr) return;
  const char* scheme = evhttp_uri_get_scheme(uri.get());
  const char* host = evhttp_uri_get_host(uri.get());
  const int port = evhttp_uri_get_port(uri.get());
  const std::string path = evhttp_uri_get_path(uri.get());
  if (scheme == nullptr || std::string_view(scheme) != "http" ||
      host == nullptr || port <= 0 || port > UINT16_MAX ||
      (!path.empty() && path != "/"))
    return;
  address_ = host;
  port_ = static_cast<uint16_t>(port);
}

Result<Json> OperatorClient::Get(const std::string& path) {
  return Call(/*is_post=*/false, path, "");
}

Result<Json> OperatorClient::Post(const std::string& path, const Json& body) {
  return Call(/*is_post=*/true, path, body.dump());
}

Result<Json> OperatorClient::Call(bool is_post, const std::string& path,
                                  const std::string& body) {
  if (port_ == 0)
    return Fail(
        EndpointErrc::kBadAddress,
        fmt::format("found endpoint {}, expected http://ADDRESS:PORT", url_));
  Response response;
  const EventBase base(event_base_new());
  {
    const Connection connection(evhttp_connection_base_new(
        base.get(), nullptr, address_.c_str(), port_));
    const timeval timeout = {
        std::chrono::duration_cast<std::chrono::seconds>(kTimeout).count(), 0};
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    evhttp_connection_set_max_body_size(connection.get(), kMaxBodyBytes);
    // The connection owns the request after evhttp_make_request().
    evhttp_request* request = evhttp_request_new(OnResponse, &response);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host",
                      fmt::format("{}:{}", address_, port_).c_str());
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Authorization",
                      fmt::format("Bearer {}", token_).c_str());
    if (is_post) {
      evhttp_add_header(headers, "Content-Type", "application/json");
      evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                   body.size());
    }
    if (evhttp_make_request(connection.get(), request,
                            is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                            path.c_str()) == 0)
      event_base_dispatch(base.get());
  }
  if (response.status == 0)
    return Fail(EndpointErrc::kUnreachable,
                fmt::format("no response from {} to {} {}", url_,
                            is_post ? "POST" : "GET", path));
  auto json = ParseJson(response.body, url_);
  const bool has_result = json && json->is_object() && json->contains("result");
  if (response.status / 100 == 2 || has_result) {
    if (json && json->is_object()) return json;
    return Fail(
        EndpointErrc::kFailed,
        fmt::format("{} {}: the response is not a JSON object", url_, path));
  }
  const EndpointErrc code = response.status == 401 || response.status == 403
                                ? EndpointErrc::kUnauthorized
                            : response.status / 100 == 4
                                ? EndpointErrc::kRefused
                                : EndpointErrc::kFailed;
  return Fail(code,
              fmt::format("{} {}: status {}: {}", url_, path, response.status,
                          ExtractMessage(json, response.body)));
}

}  // namespace rwf
