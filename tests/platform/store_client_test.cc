#include "platform/store_client.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace rwf::platform {
namespace {

constexpr Duration kMaxWait = std::chrono::seconds(3);

// Fakes the platform's store: responds to calls in order with the responses
// that the test has queued, and records the requests.
class StoreClientFixture {
 protected:
  StoreClientFixture() {
    const Result<uint16_t> port = server.Listen("127.0.0.1", 0);
    REQUIRE(port.has_value());
    client =
        std::make_unique<StoreClient>(&loop, HttpTarget{"127.0.0.1", *port});
  }

  // Runs the loop until the call has completed, and returns its result.
  template <typename T, typename Start>
  Result<T> Wait(Start start) {
    Result<T> out = Fail(StoreErrc::kUnavailable, "call did not complete");
    start([&](Result<T> result) {
      out = std::move(result);
      loop.Stop();
    });
    const auto timer = loop.After(kMaxWait, [this] { loop.Stop(); });
    loop.Run();
    return out;
  }
  Result<ItemPage> Range(Duration timeout = std::chrono::seconds(1)) {
    return Wait<ItemPage>([&](auto done) {
      client->Range("servers/", "servers/a b", timeout, done);
    });
  }
  Result<StoreRevision> Write(const ItemWrite& write) {
    return Wait<StoreRevision>([&](auto done) { client->Write(write, done); });
  }

  EventLoop loop;
  std::deque<HttpResponse> responses;
  std::vector<HttpRequest> requests;
  HttpServer server{&loop, {}, [this](const std::shared_ptr<HttpExchange>& it) {
                      requests.push_back(it->request());
                      REQUIRE_FALSE(responses.empty());
                      it->Respond(responses.front());
                      responses.pop_front();
                    }};
  std::unique_ptr<StoreClient> client;
};

// Guards against taking changes of a restored store for those that follow a
// revision of the era before.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "Calls, store states an era, return revisions of that era") {
  const auto respond = [&](std::string body, const std::string& era) {
    responses.push_back(JsonResponse(200, std::move(body)));
    responses.back().headers.Add("Store-Era", era);
  };
  const auto watch = [&](const StoreRevision& revision) {
    return Wait<ChangeSet>([&](auto done) {
      client->Watch("", revision, std::chrono::milliseconds(10), done);
    });
  };
  const std::string changes =
      R"({"events":[{"key":"a","value":"YQ==","revision":9}],"current_rev":9})";
  respond(R"({"items":[{"key":"k","revision":4}],"current_rev":8})", "3");
  const Result<ItemPage> page = Range();
  REQUIRE(page.has_value());
  CHECK(page->revision == StoreRevision{3, 8});
  CHECK(page->items[0].revision == StoreRevision{3, 4});
  respond(changes, "3");
  Result<ChangeSet> found = watch({3, 8});
  REQUIRE(found.has_value());
  CHECK(found->events[0].revision == StoreRevision{3, 9});
  respond(changes, "4");
  found = watch({3, 8});
  REQUIRE_FALSE(found.has_value());
  CHECK(found.error().code == StoreErrc::kHistoryGone);
  respond(R"({"revision":7})", "4");
  const Result<StoreRevision> written = Write({"k", "v", 0, false, {}});
  REQUIRE(written.has_value());
  CHECK(*written == StoreRevision{4, 7});
}

// Guards against skipping a change that the store makes between reading the
// events and its revision.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "Watch, revision beyond the last event, continues from that "
                  "event") {
  responses.push_back(JsonResponse(
      200,
      R"({"events":[{"key":"a","value":"YQ==","revision":5},{"key":"b","revision":6,"deleted":true}],"current_rev":8})"));
  const Result<ChangeSet> changes = Wait<ChangeSet>([&](auto done) {
    client->Watch("", {0, 4}, std::chrono::milliseconds(10), done);
  });
  REQUIRE(changes.has_value());
  CHECK(changes->revision == StoreRevision{0, 6});
}

// Guards against falling back to an earlier era, or ending, because of a header
// that is missing or no number.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "Calls, store states no usable era, keep the latest one") {
  std::vector<std::string> unusable;
  client->signal_unusable_era.connect(
      [&](const std::string& it) { unusable.push_back(it); });
  const auto era_after = [&](const std::optional<std::string>& header) {
    responses.push_back(JsonResponse(200, R"({"items":[],"current_rev":8})"));
    if (header) responses.back().headers.Add("Store-Era", *header);
    const Result<ItemPage> page = Range();
    REQUIRE(page.has_value());
    return page->revision.era;
  };
  CHECK(era_after(std::nullopt) == 0);
  CHECK(unusable.empty());
  CHECK(era_after("5") == 5);
  for (const char* header : {"", "six", "-1", "7x", "99999999999999999999999"})
    CHECK(era_after(header) == 5);
  CHECK(era_after(std::nullopt) == 5);
  CHECK(unusable.size() == 1);
  CHECK(era_after("6") == 6);
  CHECK(era_after("x") == 6);
  CHECK(unusable.size() == 2);
}

TEST_CASE_FIXTURE(StoreClientFixture, "Range, page of items, is decoded") {
  responses.push_back(JsonResponse(
      200,
      R"({"items":[{"key":"k","value":"bm9kZS0x","revision":4,"create_rev":1,"lease":0},
      {"key":"odd","value":"not base64!","revision":5}],"has_more":true,"current_rev":9})"));
  const Result<ItemPage> page = Range();
  REQUIRE(page.has_value());
  CHECK(page->revision == StoreRevision{0, 9});
  CHECK(page->has_more);
  REQUIRE(page->items.size() == 2);
  CHECK(page->items[0] == StoreItem{"k", "node-1", {0, 4}, false});
  CHECK(page->items[1].value.empty());
  CHECK(requests[0].path == "/kv-range");
  CHECK(requests[0].QueryValue("prefix") == "servers/");
  CHECK(requests[0].QueryValue("after") == "servers/a b");
}

TEST_CASE_FIXTURE(StoreClientFixture,
                  "Watch, events, are decoded as writes and removals") {
  responses.push_back(JsonResponse(
      200,
      R"({"events":[{"key":"a","value":"YQ==","revision":5,"lease":0},{"key":"b","revision":6,"deleted":true}],"current_rev":6})"));
  const Result<ChangeSet> changes = Wait<ChangeSet>([&](auto done) {
    client->Watch("", {0, 4}, std::chrono::milliseconds(1900), done);
  });
  REQUIRE(changes.has_value());
  CHECK(changes->events == std::vector<StoreItem>{{"a", "a", {0, 5}, false},
                                                  {"b", "", {0, 6}, true}});
  CHECK(changes->revision == StoreRevision{0, 6});
  CHECK(requests[0].QueryValue("after") == "4");
  CHECK(requests[0].QueryValue("wait_ms") == "1900");
}

TEST_CASE_FIXTURE(StoreClientFixture,
                  "Write, conditional, sends its precondition") {
  responses.push_back(JsonResponse(200, R"({"revision":12})"));
  const Result<StoreRevision> revision = Write({"k", "node-1", 77, true, {}});
  REQUIRE(revision.has_value());
  CHECK(*revision == StoreRevision{0, 12});
  CHECK(
      Json::parse(requests[0].body) ==
      Json::parse(
          R"({"precondition":[{"key":"k","revision":0}],"writes":[{"key":"k","value":"bm9kZS0x","lease":77}],"deletes":[]})"));
}

TEST_CASE_FIXTURE(StoreClientFixture, "Lease, granted, is kept and released") {
  responses.push_back(JsonResponse(200, R"({"lease":77120,"ttl_s_time":8})"));
  responses.push_back(JsonResponse(200, R"({"ttl_s_time":8})"));
  responses.push_back(JsonResponse(200, "{}"));
  const Result<GrantedLease> lease = Wait<GrantedLease>(
      [&](auto done) { client->Grant(std::chrono::seconds(8), done); });
  REQUIRE(lease.has_value());
  CHECK(lease->id == 77120);
  CHECK(lease->ttl == std::chrono::seconds(8));
  CHECK(Wait<bool>([&](auto done) {
          client->KeepAlive(77120, done);
        }).has_value());
  CHECK(
      Wait<bool>([&](auto done) { client->Release(77120, done); }).has_value());
  CHECK(requests[1].path == "/kv-keep/77120");
  CHECK(requests[2].path == "/kv-lease-end/77120");
}

// Guards against a lost response being taken for a rejection, or vice versa: a
// rejected write had no effect, a write without a response may have had one.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "Call, each error response, has its own error code") {
  struct Row {
    int status;
    const char* body;
    StoreErrc read;
    StoreErrc write;
  };
  const std::vector<Row> rows = {
      {404, "{}", StoreErrc::kNotHeld, StoreErrc::kNotHeld},
      {410, "{}", StoreErrc::kHistoryGone, StoreErrc::kHistoryGone},
      {412, R"({"items":[]})", StoreErrc::kConflict, StoreErrc::kConflict},
      {429, "{}", StoreErrc::kThrottled, StoreErrc::kThrottled},
      {503, "{}", StoreErrc::kUnavailable, StoreErrc::kUnavailable},
      {500, "{}", StoreErrc::kBadResponse, StoreErrc::kUnknownOutcome},
      {200, "nonsense", StoreErrc::kBadResponse, StoreErrc::kBadResponse},
      {200, R"({"other":1})", StoreErrc::kBadResponse, StoreErrc::kBadResponse},
  };
  for (const Row& row : rows) {
    CAPTURE(row.status);
    responses.push_back(JsonResponse(row.status, row.body));
    const Result<ItemPage> page = Range();
    REQUIRE_FALSE(page.has_value());
    CHECK(page.error().code == row.read);
    responses.push_back(JsonResponse(row.status, row.body));
    const Result<StoreRevision> write = Write({"k", "v", 0, false, {}});
    REQUIRE_FALSE(write.has_value());
    CHECK(write.error().code == row.write);
  }
}

// A server that accepts connections and never responds.
class UnresponsiveServer {
 public:
  UnresponsiveServer() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), n) == 0);
    REQUIRE(listen(fd_, 8) == 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    port = ntohs(address.sin_port);
  }
  ~UnresponsiveServer() { close(fd_); }
  uint16_t port = 0;

 private:
  int fd_;
};

TEST_CASE_FIXTURE(StoreClientFixture, "Call, without a response, times out") {
  const UnresponsiveServer unresponsive;
  client = std::make_unique<StoreClient>(
      &loop, HttpTarget{"127.0.0.1", unresponsive.port});
  const Result<ItemPage> page = Range(std::chrono::milliseconds(200));
  REQUIRE_FALSE(page.has_value());
  CHECK(page.error().code == StoreErrc::kUnavailable);
  const Result<StoreRevision> write = Write({"k", "v", 0, false, {}});
  REQUIRE_FALSE(write.has_value());
  CHECK(write.error().code == StoreErrc::kUnknownOutcome);
}

}  // namespace
}  // namespace rwf::platform
