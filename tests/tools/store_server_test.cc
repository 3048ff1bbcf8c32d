#include "store/store_server.h"

#include <doctest/doctest.h>

#include "net/http_client.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  EventLoop loop;
  HttpClient client{&loop, {}};
  StoreServer server{&loop, {.vms_lag = milliseconds(0)}};
  uint16_t port = server.Listen("127.0.0.1", 0).value();

  void Start(const std::string& method, const std::string& uri,
             const std::string& body, HttpOutcome* out) {
    HttpRequest request;
    request.method = method;
    const size_t mark = uri.find('?');
    request.path = uri.substr(0, mark);
    if (mark != std::string::npos) request.query = uri.substr(mark + 1);
    request.body = body;
    client.Send({"127.0.0.1", port}, request, milliseconds(5000),
                [this, out](HttpOutcome outcome) {
                  *out = std::move(outcome);
                  loop.Post([this] { loop.Stop(); });
                });
  }
  HttpOutcome Call(const std::string& method, const std::string& uri,
                   const std::string& body = "") {
    HttpOutcome out;
    Start(method, uri, body, &out);
    loop.Run();
    return out;
  }
};

// Guards the interface that the store client of the daemon relies on.
TEST_CASE_FIXTURE(Fixture,
                  "StoreServer, calls in order, return documented responses") {
  struct Row {
    std::string method;
    std::string uri;
    const char* body;
    int status;
    const char* expected_body;  // members that the response must have
  };
  const Row rows[] = {
      {"GET", "/v1/kv/a/b", "", 404, R"({"code":"key-unknown"})"},
      {"PUT", "/v1/kv/a/b?version=0", R"({"value":"x","operation_id":"1"})",
       200, R"({"version":1})"},
      {"PUT", "/v1/kv/a/b?version=0", R"({"value":"y","operation_id":"2"})",
       409, R"({"version":1})"},
      {"PUT", "/v1/kv/a/b?version=1", R"({"value":"z","operation_id":"3"})",
       200, R"({"version":2})"},
      {"GET", "/v1/kv/a/b", "", 200, R"({"version":2,"value":"z"})"},
      {"GET", "/v1/kv/a%2Fb", "", 200, R"({"version":2,"value":"z"})"},
      {"GET", "/v1/kv/a/b?wait_version=1&timeout_ms=50", "", 200,
       R"({"version":2,"value":"z"})"},
      {"GET", "/v1/kv/a/b?wait_version=2&timeout_ms=1", "", 200,
       R"({"version":2,"unchanged":true})"},
      {"GET", "/v1/kv/none?wait_version=0&timeout_ms=1", "", 200,
       R"({"version":0,"unchanged":true})"},
      {"PUT", "/v1/kv/a/b", R"({"value":"y"})", 400,
       R"({"code":"bad-request"})"},
      {"PUT", "/v1/kv/a/c?version=0", "{}", 400, R"({"code":"bad-request"})"},
      {"PUT", "/v1/kv/a/c?version=0", R"({"value":"","operation_id":"4"})", 200,
       R"({"version":1})"},
      {"GET", "/v1/list?prefix=a/&limit=1", "", 200,
       R"({"keys":[{"key":"a/b","version":2,"value":"z"}]})"},
      {"GET", "/v1/list?prefix=a/&after=a/b&limit=9", "", 200,
       R"({"keys":[{"key":"a/c","version":1,"value":""}]})"},
      {"GET", "/v1/list?prefix=b", "", 200, R"({"keys":[]})"},
      {"POST", "/v1/lease/l",
       R"({"holder":"p","ttl_ms":60000,"action":"acquire"})", 200,
       R"({"holder":"p","fence":1})"},
      {"POST", "/v1/lease/l",
       R"({"holder":"q","ttl_ms":60000,"action":"acquire"})", 409,
       R"({"holder":"p"})"},
      {"POST", "/v1/lease/l",
       R"({"holder":"q","ttl_ms":60000,"action":"renew"})", 409,
       R"({"holder":"p"})"},
      {"POST", "/v1/lease/l", R"({"holder":"p","action":"release"})", 200,
       R"({"holder":""})"},
      {"POST", "/v1/lease/l",
       R"({"holder":"q","ttl_ms":60000,"action":"acquire"})", 200,
       R"({"holder":"q","fence":2})"},
      {"POST", "/v1/lease/l", R"({"holder":"q","action":"steal"})", 400,
       R"({"code":"bad-request"})"},
      {"GET", "/v1/vms", "", 200, R"({"vms":[]})"},
      {"GET", "/other", "", 404, R"({"code":"path-unknown"})"},
      {"POST", "/v1/fault", R"({"name":"other"})", 400,
       R"({"code":"bad-request"})"},
      {"GET", "/v1/stats", "", 200,
       R"({"writes":12,"conflicts":1,"watches":3,"pending_watches":0})"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.method);
    CAPTURE(row.uri);
    const HttpOutcome out = Call(row.method, row.uri, row.body);
    CHECK(out.response.status == row.status);
    const Json actual = Json::parse(out.response.body);
    const Json expected = Json::parse(row.expected_body);
    for (const auto& it : expected.items()) {
      CHECK_MESSAGE(actual.value(it.key(), Json()) == it.value(), it.key());
    }
  }
}

TEST_CASE_FIXTURE(Fixture, "StoreServer, value above 1 MB, is refused") {
  const Json body = {{"value", std::string((1 << 20) + 1, 'x')}};
  CHECK(Call("PUT", "/v1/kv/a?version=0", body.dump()).response.status == 413);
  CHECK(Call("GET", "/v1/kv/a").response.status == 404);
}

TEST_CASE_FIXTURE(Fixture, "StoreServer, write to a watched key, is reported") {
  HttpOutcome watch;
  Start("GET", "/v1/kv/a?wait_version=0&timeout_ms=4000", "", &watch);
  const auto timer = loop.After(milliseconds(20), [this] {
    static HttpOutcome ignored;
    Start("PUT", "/v1/kv/a?version=0", R"({"value":"x"})", &ignored);
  });
  while (watch.response.status == 0) loop.Run();
  CHECK(Json::parse(watch.response.body) ==
        Json{{"version", 1}, {"value", "x"}});
}

TEST_CASE("StoreServer, calls beyond the limits, are answered 429") {
  EventLoop loop;
  StoreServer server(&loop, {.writes_per_second = 0, .reads_per_second = 0});
  HttpClient client(&loop, {});
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/kv/a";
  int status = 0;
  client.Send({"127.0.0.1", server.Listen("127.0.0.1", 0).value()}, request,
              milliseconds(5000), [&](const HttpOutcome& outcome) {
                status = outcome.response.status;
                loop.Stop();
              });
  loop.Run();
  CHECK(status == 429);
}

// Guards against faults that do more or less than documented.
TEST_CASE_FIXTURE(Fixture, "StoreServer, faults, act as documented") {
  CHECK(Call("PUT", "/v1/kv/a?version=0", R"({"value":"x"})").response.status ==
        200);
  Call("POST", "/v1/fault", R"({"name":"lose-answer","value":1})");
  CHECK(Call("PUT", "/v1/kv/a?version=1", R"({"value":"y"})").ec);
  CHECK(Json::parse(Call("GET", "/v1/kv/a").response.body)["value"] == "y");
  CHECK(Call("PUT", "/v1/kv/a?version=2", R"({"value":"z"})").response.status ==
        200);
  Call("POST", "/v1/fault", R"({"name":"stale","value":60000})");
  CHECK(Call("GET", "/v1/kv/a").response.status == 404);
  Call("POST", "/v1/fault", R"({"name":"none"})");
  Call("POST", "/v1/fault", R"({"name":"down"})");
  CHECK(Call("GET", "/v1/kv/a").ec);
  CHECK(Call("GET", "/v1/stats").response.status == 200);
  Call("POST", "/v1/fault", R"({"name":"none"})");
  CHECK(Json::parse(Call("GET", "/v1/kv/a").response.body)["value"] == "z");
}

}  // namespace
}  // namespace rwf
