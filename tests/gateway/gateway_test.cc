#include "gateway/gateway.h"

#include <doctest/doctest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "base/json_reader.h"
#include "gateway/memory_store.h"
#include "net/http_client.h"
#include "platform/decoder.h"
#include "platform/endpoints.h"
#include "platform/notice_decoder.h"

namespace rwf {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr uint16_t kFrontPort = 18511;
constexpr uint16_t kReadyPort = 18512;
constexpr uint16_t kLookupPort = 18513;
constexpr uint16_t kMetricsPort = 18514;
constexpr uint16_t kPeerPort = 18515;

constexpr const char* kConfig = R"({"version":3,"listeners":[{"host":"h",
 "rules":[{"name":"r","kind":"safe","public":true,"match":{"prefix":"/r/"},
 "action":{"service":"s","timeout_s":2,"max_attempts":2}}]}],
 "clusters":[{"name":"s"}]})";

std::string EntryJson(const char* state = "ready", int sequence = 1) {
  return std::string(R"({"service":"s","address":"127.0.0.1:1","zone":"z",)") +
         R"("slots":4,"cold_remaining_s":0,"sequence":)" +
         std::to_string(sequence) + R"(,"born":5,"state":")" + state + "\"}";
}
std::string ConfigJson(int version) {
  const std::string text = kConfig;
  const std::string_view present = "\"version\":3";
  return std::string(text).replace(text.find(present), present.size(),
                                   "\"version\":" + std::to_string(version));
}

// One VM with an in-memory store and its HTTP endpoints.
class GatewayFixture {
 protected:
  GatewayFixture() {
    settings.gateway.self.vm = "v1";
    settings.gateway.self.zone = "z";
    settings.gateway.self.region = "r";
    settings.gateway.self.address = "127.0.0.1";
    settings.gateway.self.front_port = kFrontPort;
    settings.gateway.self.peer_port = kPeerPort;
    settings.gateway.header_names = platform::PlatformDialect();
    settings.gateway.max_key_withdrawal_delay = std::chrono::seconds(5);
    settings.gateway.stop_timeout = std::chrono::milliseconds(1000);
    settings.endpoints = {kReadyPort, kLookupPort, kMetricsPort};
    settings.max_lookup_ttl = std::chrono::seconds(5);
  }
  void Start() {
    gateway.emplace(&loop, settings.gateway, &store, &decoder, &notice_decoder,
                    &log);
    endpoints.emplace(&loop, settings, &*gateway);
    REQUIRE(gateway->Start().has_value());
    REQUIRE(endpoints->Start().has_value());
  }
  void RunFor(Duration d) {
    const auto timer = loop.After(d, [this] { loop.Stop(); });
    loop.Run();
  }
  HttpOutcome Get(uint16_t port, const std::string& path,
                  const std::string& query = "") {
    HttpOutcome out;
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    request.query = query;
    client.Send({"127.0.0.1", port}, request, std::chrono::seconds(2),
                [&](const HttpOutcome& it) {
                  out = it;
                  loop.Stop();
                });
    loop.Run();
    return out;
  }
  // Returns the value of a gauge without labels.
  int Gauge(const std::string& name) {
    const std::string text = gateway->metrics()->Collect();
    const std::string begin = "\n" + name + " ";
    const size_t at = text.find(begin);
    REQUIRE(at != std::string::npos);
    return std::stoi(text.substr(at + begin.size()));
  }
  bool HasLogged(const std::string& event) {
    log.Flush();
    std::string text(static_cast<size_t>(lseek(log_fd, 0, SEEK_END)), 0);
    REQUIRE(pread(log_fd, text.data(), text.size(), 0) ==
            static_cast<ssize_t>(text.size()));
    return text.find("\"event\":\"" + event + "\"") != std::string::npos;
  }
  // Returns the number of known upstream instances.
  int InstanceCount() { return Gauge("rwf_instances"); }

  EventLoop loop;
  MemoryStore store{&loop};
  platform::Settings settings;
  const platform::Decoder decoder{{{"z", "r"}}};
  const platform::ResponseNoticeDecoder notice_decoder{};
  int log_fd = memfd_create("log", 0);
  EventLog log{&loop, log_fd, "v1"};
  HttpClient client{&loop, {}};
  std::optional<Gateway> gateway;
  std::optional<platform::EndpointServers> endpoints;
};

// Guards against directing callers to a VM without a configuration.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Readiness, configuration arrives, becomes ready") {
  Start();
  RunFor(100 * kMillisecond);
  CHECK(Get(kReadyPort, "/readyz").response.status == 503);
  store.Put("op/config", kConfig);
  RunFor(500 * kMillisecond);
  CHECK(Get(kReadyPort, "/readyz").response.status == 200);
  CHECK(Get(kReadyPort, "/other").response.status == 404);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "Look-up, one VM, returns its address and a short TTL") {
  store.Put("op/config", kConfig);
  Start();
  RunFor(300 * kMillisecond);
  const HttpOutcome out =
      Get(kLookupPort, "/resolve", "name=h&region=r&zone=z");
  REQUIRE(out.response.status == 200);
  const Json json = Json::parse(out.response.body);
  CHECK(json["addresses"] == Json::array({"127.0.0.1:18511"}));
  CHECK(json["ttl_s"].get<double>() <= 2);
  CHECK(Get(kLookupPort, "/elsewhere").response.status == 404);
}

// Guards against requests to an instance that was removed while the store was
// reachable.
TEST_CASE_FIXTURE(
    GatewayFixture,
    "Instance, entry removed without an outage, is removed at once") {
  store.Put("op/config", kConfig);
  store.Put("servers/i1", EntryJson());
  store.Put("servers/i2", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(InstanceCount() == 2);
  store.Delete("servers/i1");
  RunFor(400 * kMillisecond);
  CHECK(InstanceCount() == 1);
}

// Guards against a VM that ends or stops following the list because of an entry
// of another writer, and against one that shuts out the instance for good.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance entries, odd ones among them, are followed on") {
  store.Put("op/config", kConfig);
  store.Put("servers/i1", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(InstanceCount() == 1);
  const std::string future =
      std::string(EntryJson())
          .replace(EntryJson().find("\"born\":5"), 8, "\"born\":4102444799999");
  const std::string odd[] = {std::string(100'000, '['),
                             R"({"slots":1e999})",
                             R"({"slots":99999999999999999999999})",
                             "\xff\xfe\x80",
                             "",
                             future};
  for (size_t n = 0; n < std::size(odd); ++n)
    store.Put("servers/odd" + std::to_string(n), odd[n]);
  store.Put("servers/i1", future);
  RunFor(800 * kMillisecond);
  CHECK(InstanceCount() == 0);
  store.Put("servers/i1", EntryJson());
  store.Put("servers/i2", EntryJson());
  RunFor(800 * kMillisecond);
  CHECK(InstanceCount() == 2);
}

// Guards against removing all instances when their leases expired during an
// outage, and against keeping instances that never return, which once received
// requests for 12 s.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance, entry expired in an outage, may register again") {
  store.Put("op/config", kConfig);
  store.Put("servers/back", EntryJson());
  store.Put("servers/gone", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(InstanceCount() == 2);
  store.SetDown(true);
  RunFor(1500 * kMillisecond);
  store.Delete("servers/back");
  store.Delete("servers/gone");
  CHECK(InstanceCount() == 2);
  store.SetDown(false);
  RunFor(1000 * kMillisecond);
  CHECK(InstanceCount() == 2);
  store.Put("servers/back", EntryJson());
  RunFor(Gateway::kReregistrationTimeout);
  CHECK(InstanceCount() == 1);
}

// Guards against requests to an instance that has left, because the store is
// restored from a copy that still lists it.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance, left, listed by a restored store, stays removed "
                  "until it writes again") {
  store.Put("op/config", kConfig);
  store.Put("servers/left", EntryJson());
  store.Put("servers/draining", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(InstanceCount() == 2);
  const MemoryStore::Copy copy = store.MakeCopy();
  store.Put("servers/draining", EntryJson("draining", 2));
  store.Delete("servers/left");
  RunFor(700 * kMillisecond);
  REQUIRE(InstanceCount() == 1);
  REQUIRE(Gauge("rwf_instances_draining") == 1);
  store.Restore(copy);
  RunFor(700 * kMillisecond);
  CHECK(Gauge("rwf_store_era") == 1);
  CHECK(InstanceCount() == 1);
  CHECK(Gauge("rwf_instances_draining") == 1);
  store.Put("servers/left", EntryJson("ready", 2));
  RunFor(700 * kMillisecond);
  CHECK(InstanceCount() == 2);
}

// Guards against shutting out an instance for good that lives although its
// entry was removed once: it writes only when more than its sequence changes.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance, removed, entry of a restored store stays, is used "
                  "again") {
  store.Put("op/config", kConfig);
  store.Put("servers/i1", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  const MemoryStore::Copy copy = store.MakeCopy();
  store.Delete("servers/i1");
  RunFor(700 * kMillisecond);
  store.Restore(copy);
  RunFor(Gateway::kRestoredEntryDelay / 2);
  CHECK(InstanceCount() == 0);
  RunFor(Gateway::kRestoredEntryDelay / 2 + 700 * kMillisecond);
  CHECK(InstanceCount() == 1);
}

// Guards against using an instance that left as long as the store returns again
// and again.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance, missing in a series of restored stores, is "
                  "removed") {
  store.Put("op/config", kConfig);
  const MemoryStore::Copy copy = store.MakeCopy();
  store.Put("servers/gone", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  for (int n = 0; n < 3; ++n) {
    store.Restore(copy);
    RunFor(900 * kMillisecond);
  }
  CHECK(InstanceCount() == 0);
}

// Guards against requests to an evacuated zone because the store is restored
// from a copy that does not know of the evacuation yet.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Evacuation, missing in a restored store, goes on until it "
                  "is not written again") {
  store.Put("op/config", kConfig);
  const MemoryStore::Copy copy = store.MakeCopy();
  store.Put("op/evacuate/z", "{}");
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(HasLogged("zone_evacuated"));
  store.Restore(copy);
  RunFor(700 * kMillisecond);
  CHECK(HasLogged("zone_evacuation_lapsed"));
  store.Put("op/evacuate/z", "{}");
  RunFor(Gateway::kReregistrationTimeout + 300 * kMillisecond);
  CHECK_FALSE(HasLogged("zone_evacuation_ended"));
  store.Restore(copy);
  RunFor(Gateway::kReregistrationTimeout + 700 * kMillisecond);
  CHECK(HasLogged("zone_evacuation_ended"));
}

// Guards against dropping an instance that serves, because the store is
// restored from a copy that does not list it yet.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Instance, missing in a restored store, may register again") {
  store.Put("op/config", kConfig);
  const MemoryStore::Copy copy = store.MakeCopy();
  store.Put("servers/back", EntryJson());
  store.Put("servers/gone", EntryJson());
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(InstanceCount() == 2);
  store.Restore(copy);
  RunFor(700 * kMillisecond);
  CHECK(InstanceCount() == 2);
  store.Put("servers/back", EntryJson());
  RunFor(Gateway::kReregistrationTimeout);
  CHECK(InstanceCount() == 1);
}

// Guards against an old configuration that stays in force, or returns, after
// the store is restored: the revision of the new one was given out before.
TEST_CASE_FIXTURE(GatewayFixture,
                  "Configuration, written after the store is restored, is "
                  "applied") {
  store.Put("op/config", kConfig);
  Start();
  RunFor(300 * kMillisecond);
  const MemoryStore::Copy copy = store.MakeCopy();
  for (int n = 0; n < 9; ++n) store.Put("servers/i1", EntryJson("ready", n));
  store.Put("op/config", ConfigJson(4));
  RunFor(700 * kMillisecond);
  REQUIRE(Gauge("rwf_config_version") == 4);
  store.Restore(copy);
  RunFor(700 * kMillisecond);
  CHECK(Gauge("rwf_config_version") == 4);
  store.Put("op/config", ConfigJson(5));
  RunFor(700 * kMillisecond);
  CHECK(Gauge("rwf_config_version") == 5);
}

// Guards against a planned stop that aborts requests, stays in look-ups or does
// not finish.
TEST_CASE_FIXTURE(
    GatewayFixture,
    "Stop, planned, leaves look-ups and ends within the time limit") {
  store.Put("op/config", kConfig);
  Start();
  RunFor(300 * kMillisecond);
  REQUIRE(Get(kReadyPort, "/readyz").response.status == 200);
  const TimePoint begin = EventLoop::Now();
  gateway->BeginStop();
  CHECK(Get(kReadyPort, "/readyz").response.status == 503);
  // Callers that looked this VM up earlier are still served.
  CHECK(Get(kFrontPort, "/unknown").response.status == 404);
  loop.Run();
  const Duration took = EventLoop::Now() - begin;
  CHECK(took >= FromSeconds(Gateway::kServeFraction) - 20 * kMillisecond);
  CHECK(took <= settings.gateway.stop_timeout);
}

}  // namespace
}  // namespace rwf
