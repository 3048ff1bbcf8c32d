#include "rwf/operator_client.h"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <thread>

namespace rwf {
namespace {

// An HTTP server on a loopback port whose responses depend on the path.
class EchoServer {
 public:
  EchoServer() : base_(event_base_new()), http_(evhttp_new(base_)) {
    evhttp_bound_socket* bound =
        evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
    REQUIRE(bound != nullptr);
    sockaddr_in address{};
    socklen_t n = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound),
                reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
    evhttp_set_gencb(http_, HandleRequest, this);
    thread_ = std::thread([this] { event_base_dispatch(base_); });
  }
  ~EchoServer() {
    OperatorClient(url(), "t").Get("/stop");
    thread_.join();
    evhttp_free(http_);
    event_base_free(base_);
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_);
  }

 private:
  static void HandleRequest(evhttp_request* request, void* arg) {
    const std::string path = evhttp_request_get_uri(request);
    const char* token = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Authorization");
    evbuffer* in = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, body.data(), body.size());
    int status = 200;
    std::string text = Json{{"token", token}, {"body", body}}.dump();
    if (path == "/401") status = 401, text = R"({"message": "who?"})";
    if (path == "/404") status = 404, text = "nothing here";
    if (path == "/409") status = 409, text = R"({"result": "rejected"})";
    if (path == "/500") status = 500, text = "{}";
    if (path == "/html") text = "<html>";
    // Stops the loop only after the response has been written.
    if (path == "/stop")
      evhttp_request_set_on_complete_cb(
          request,
          [](evhttp_request*, void* base) {
            event_base_loopbreak(static_cast<event_base*>(base));
          },
          static_cast<EchoServer*>(arg)->base_);
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, text.data(), text.size());
    evhttp_send_reply(request, status, "x", out);
    evbuffer_free(out);
  }

  event_base* base_;
  evhttp* http_;
  uint16_t port_ = 0;
  std::thread thread_;
};

// Guards against failures that are confused: after a refusal nothing was done,
// after a missing response that is unknown.
TEST_CASE("OperatorClient, each kind of response, gives its own error code") {
  std::string url;
  {
    const EchoServer server;
    url = server.url();
    OperatorClient client(url, "secret");
    CHECK(*client.Get("/x") ==
          Json({{"token", "Bearer secret"}, {"body", ""}}));
    CHECK((*client.Post("/x", {{"a", 1}}))["body"] == R"({"a":1})");
    CHECK((*client.Post("/409", {}))["result"] == "rejected");
    CHECK(client.Get("/401").error().code == EndpointErrc::kUnauthorized);
    CHECK(client.Get("/401").error().message.find("who?") != std::string::npos);
    CHECK(client.Get("/404").error().code == EndpointErrc::kRefused);
    CHECK(client.Get("/500").error().code == EndpointErrc::kFailed);
    CHECK(client.Get("/html").error().code == EndpointErrc::kFailed);
  }
  CHECK(OperatorClient(url, "t").Get("/x").error().code ==
        EndpointErrc::kUnreachable);
  for (const char* it :
       {"", "127.0.0.1:80", "https://127.0.0.1:80", "http://127.0.0.1",
        "http://127.0.0.1:99999", "http://127.0.0.1:80/path"})
    CHECK_MESSAGE(OperatorClient(it, "t").Get("/x").error().code ==
                      EndpointErrc::kBadAddress,
                  it);
}

}  // namespace
}  // namespace rwf
