#include "platform/decoder.h"

#include <doctest/doctest.h>

#include <vector>

#include "base/json_reader.h"
#include "platform/settings.h"

namespace rwf::platform {
namespace {

constexpr const char* kConfig = R"({"version":7,
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15.5},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"rate_per_s":145,"burst":12,"allowed_regions":["delta"]}],
 "base_version":5,
 "listeners":[{"host":"h.example","rules":[
  {"name":"r1","kind":"safe","target_latency_s":0.6,"priority":2,"public":false,"sticky":true,"match":{"prefix":"/a/"},
   "action":{"backends":[{"service":"s","weight":90},{"service":"u","weight":10}],"timeout_s":2.5,"max_attempts":2,"allowed_regions":[]}},
  {"name":"r2","kind":"unsafe","match":{"prefix":"/b/"},"action":{"service":"s"}},
  {"name":"r3","kind":"download","public":true,"match":{"prefix":"/c/"},"action":{"service":"u"}}]}],
 "clusters":[{"name":"s","health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":5.3}]})";

constexpr const char* kInstanceEntry =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"delta-north","version":"v1","slots":6,"state":"ready","cold_remaining_s":1.5,"sequence":4,"born":1700000000123})";

class DecoderFixture {
 protected:
  StoreChange Decode(const std::string& key, const std::string& value) const {
    return decoder.Decode({key, value, {0, 1}, false});
  }
  Decoder decoder{{{"delta-north", "delta"}}};
};

TEST_CASE_FIXTURE(DecoderFixture,
                  "Configuration, valid, is decoded to a catalog") {
  const StoreChange change = Decode("op/config", kConfig);
  const auto* decoded = std::get_if<std::shared_ptr<const Catalog>>(&change);
  REQUIRE(decoded != nullptr);
  const Catalog& catalog = **decoded;
  CHECK(catalog.version() == 7);
  CHECK(catalog.limits().idle_timeout == std::chrono::milliseconds(15'500));
  CHECK(catalog.limits().max_body_bytes == 1000);
  const TrafficRoute* r1 = catalog.FindRoute("h.example", "/a/x");
  REQUIRE(r1 != nullptr);
  CHECK(r1->idempotent);
  CHECK(r1->backends == std::vector<Backend>{{"s", 90}, {"u", 10}});
  CHECK(r1->timeout == std::chrono::milliseconds(2500));
  CHECK(r1->objective == std::chrono::milliseconds(600));
  CHECK(r1->max_attempts == 2);
  CHECK_FALSE(catalog.FindRoute("h.example", "/b/")->idempotent);
  CHECK(catalog.FindRoute("h.example", "/c/")->idempotent);
  CHECK(catalog.FindRoute("h.example", "/c/")->open);
  const TrafficWorkspace* workspace = catalog.FindByKey(Sha256("k2"));
  REQUIRE(workspace != nullptr);
  CHECK(workspace->rate == 145);
  CHECK(workspace->allowed_regions == std::vector<std::string>{"delta"});
  CHECK(catalog.FindByKey(Sha256("k3")) == nullptr);
  CHECK(catalog.FindService("s")->cold_rate == doctest::Approx(5.3));
}

// Guards against a malformed configuration replacing a valid one.
TEST_CASE_FIXTURE(DecoderFixture, "Configuration, malformed, is unusable") {
  for (
      const char* text :
      {"", "{", "[]", R"({"version":"x","listeners":[],"clusters":[]})",
       R"({"version":1,"clusters":[]})",
       R"({"version":1,"clusters":[],"listeners":[{"host":"h","rules":[{"name":"r"}]}]})"}) {
    CAPTURE(text);
    CHECK(std::holds_alternative<UnusableEntry>(Decode("op/config", text)));
  }
}

// Guards against a configuration that opens routes or lifts limits because a
// member that restricts them is missing, empty, null or of a wrong type.
TEST_CASE_FIXTURE(DecoderFixture,
                  "Configuration, each member in doubt, grants nothing more") {
  enum class Effect : uint8_t {
    kUnusable,      // the present configuration stays
    kNoValidKey,    // 401 on routes that are not open
    kNoRoute,       // 404
    kUnrestricted,  // the documented meaning of a member that is left out
  };
  using enum Effect;
  struct Row {
    const char* pointer;
    Effect missing;
    Effect empty;  // an empty value of the right type, or zero
    Json empty_value;
  };
  const Json list = Json::array();
  const Json object = Json::object();
  const std::vector<Row> rows = {
      {"/tenants", kUnrestricted, kNoValidKey, list},
      {"/tenants/0/name", kUnusable, kUnusable, ""},
      {"/tenants/0/api_keys", kNoValidKey, kNoValidKey, list},
      {"/tenants/0/rate_per_s", kUnrestricted, kUnrestricted, 0},
      {"/tenants/0/burst", kUnrestricted, kUnrestricted, 0},
      {"/tenants/0/allowed_regions", kUnrestricted, kUnrestricted, list},
      {"/listeners", kUnusable, kNoRoute, list},
      {"/listeners/0/host", kUnusable, kUnusable, ""},
      {"/listeners/0/rules", kUnusable, kNoRoute, list},
      {"/listeners/0/rules/0/public", kUnrestricted, kUnrestricted, false},
      {"/listeners/0/rules/0/match", kUnusable, kUnusable, object},
      {"/listeners/0/rules/0/match/prefix", kUnusable, kNoRoute, ""},
      {"/listeners/0/rules/0/action", kUnusable, kUnusable, object},
      {"/listeners/0/rules/0/action/allowed_regions", kUnrestricted,
       kUnrestricted, list},
      {"/clusters", kUnusable, kUnrestricted, list},
      {"/limits", kUnrestricted, kUnrestricted, object},
      {"/limits/max_header_bytes", kUnrestricted, kUnrestricted, 0},
      {"/limits/max_body_bytes", kUnrestricted, kUnrestricted, 0},
      {"/limits/header_timeout_s", kUnrestricted, kUnrestricted, 0},
      {"/limits/idle_timeout_s", kUnrestricted, kUnrestricted, 0},
  };
  const Json valid = Json::parse(kConfig);
  const auto check = [&](const Json& document, Effect expected) {
    CAPTURE(document.dump());
    const StoreChange change = Decode("op/config", document.dump());
    const auto* decoded = std::get_if<std::shared_ptr<const Catalog>>(&change);
    REQUIRE((decoded == nullptr) == (expected == kUnusable));
    if (decoded == nullptr) return;
    const Catalog& catalog = **decoded;
    CHECK((catalog.FindRoute("h.example", "/a/x") == nullptr) ==
          (expected == kNoRoute));
    CHECK((catalog.FindByKey(Sha256("k1")) == nullptr) ==
          (expected == kNoValidKey || !document.contains("tenants")));
    CHECK(catalog.requires_keys() == document.contains("tenants"));
  };
  check(valid, kUnrestricted);
  for (const Row& row : rows) {
    CAPTURE(row.pointer);
    const Json::json_pointer pointer(row.pointer);
    Json missing = valid;
    missing[pointer.parent_pointer()].erase(pointer.back());
    check(missing, row.missing);
    Json changed = valid;
    changed[pointer] = row.empty_value;
    check(changed, row.empty);
    for (const Json& wrong : {Json(nullptr), Json("x"), Json(-1), Json(true),
                              Json::array({1}), Json{{"x", 1}}}) {
      // An array with an element of a wrong type and a negative number are
      // wrong too.
      const Json& right = valid[pointer];
      const bool is_right = wrong.type() == right.type() && !wrong.is_array() &&
                            !wrong.is_number();
      if (is_right) continue;
      changed[pointer] = wrong;
      check(changed, kUnusable);
    }
  }
}

// Guards against the loss of the only list of workspaces where the deployment
// says that requests need keys.
TEST_CASE_FIXTURE(DecoderFixture,
                  "Configuration, without workspaces where keys are required, "
                  "has no valid key") {
  Json document = Json::parse(kConfig);
  document.erase("tenants");
  const auto open = DecodeCatalog(document.dump(), false);
  REQUIRE(open.has_value());
  CHECK_FALSE((*open)->requires_keys());
  const auto closed = DecodeCatalog(document.dump(), true);
  REQUIRE(closed.has_value());
  CHECK((*closed)->requires_keys());
}

TEST_CASE_FIXTURE(DecoderFixture, "Instance entry, valid, is decoded") {
  const StoreChange change = Decode("servers/i-1", kInstanceEntry);
  const auto* entry = std::get_if<InstanceEntry>(&change);
  REQUIRE(entry != nullptr);
  CHECK(entry->info.id == "i-1");
  CHECK(entry->info.address == "10.128.0.9");
  CHECK(entry->info.port == 8080);
  CHECK(entry->info.region == "delta");
  CHECK(entry->info.started_ms == 1'700'000'000'123);
  CHECK_FALSE(entry->info.is_draining);
  CHECK(entry->cold_remaining == std::chrono::milliseconds(1500));
  CHECK(entry->sequence == 4);
}

// Guards against using an instance whose entry in the store, made by another
// writer, is malformed.
TEST_CASE_FIXTURE(DecoderFixture, "Instance entry, malformed, is unusable") {
  const Json valid = Json::parse(kInstanceEntry);
  std::vector<std::string> texts = {"", "null", "\x01\x02", "[1]"};
  for (const char* field : {"service", "address", "zone", "slots", "state",
                            "cold_remaining_s", "sequence"}) {
    Json missing = valid;
    missing.erase(field);
    texts.push_back(missing.dump());
    Json wrong = valid;
    wrong[field] = Json::object();
    texts.push_back(wrong.dump());
  }
  const std::vector<std::pair<const char*, Json>> invalid_values = {
      {"state", "sleeping"},
      {"zone", "elsewhere"},
      {"slots", 0},
      {"slots", 2.5},
      {"address", "10.0.0.1"},
      {"address", "10.0.0.1:0"},
      {"address", "10.0.0.1:99999"},
      {"address", "10.0.0.1:80x"},
      {"address", "10.0.0.1:-80"},
      {"address", "10.0.0.256:80"},
      {"address", "host:80"},
      {"address", ":80"},
      {"service", ""},
      {"slots", -1},
      {"slots", 100'001},
      {"slots", UINT64_MAX},
      {"slots", 1e300},
      {"born", "1"},
      {"born", -1},
      {"born", 2.5},
      {"born", UINT64_MAX},
      {"born", INT64_MAX},
      {"cold_remaining_s", -1},
      {"cold_remaining_s", 1e300},
      {"sequence", -1},
      {"sequence", INT64_MAX},
      {"sequence", UINT64_MAX},
      {"sequence", 1e300}};
  for (const auto& [field, value] : invalid_values) {
    Json invalid = valid;
    invalid[field] = value;
    texts.push_back(invalid.dump());
  }
  for (const std::string& text : texts) {
    CAPTURE(text);
    const StoreChange change = Decode("servers/i-1", text);
    REQUIRE(std::holds_alternative<UnusableEntry>(change));
    CHECK(std::get<UnusableEntry>(change).instance == "i-1");
    CHECK_FALSE(std::get<UnusableEntry>(change).reason.empty());
  }
}

// Guards against an end of the process by an entry of another writer that is
// nested too deeply, and against using what follows it.
TEST_CASE_FIXTURE(DecoderFixture, "Entry, nested deeply, is unusable") {
  for (const char* open : {"[", "{\"a\":"}) {
    std::string text;
    for (int n = 0; n < 200'000; ++n) text += open;
    CHECK(std::holds_alternative<UnusableEntry>(Decode("servers/i-1", text)));
    CHECK(std::holds_alternative<UnusableEntry>(Decode("op/config", text)));
    const std::string in_field =
        std::string(kInstanceEntry).insert(1, "\"extra\":" + text + ",");
    const StoreChange change = Decode("servers/i-1", in_field);
    REQUIRE(std::holds_alternative<UnusableEntry>(change));
    CHECK(std::get<UnusableEntry>(change).reason.size() < 1000);
  }
}

// Guards against undefined conversions of numbers that no type here can hold.
TEST_CASE_FIXTURE(DecoderFixture,
                  "Configuration, number too large, is limited or unusable") {
  const Json valid = Json::parse(kConfig);
  Json large = valid;
  Json& rule = large["listeners"][0]["rules"][0];
  rule["target_latency_s"] = 1e300;
  rule["priority"] = 1e300;
  rule["action"]["timeout_s"] = -1e300;
  rule["action"]["max_attempts"] = -1e300;
  large["tenants"][0]["priority"] = 1e300;
  const StoreChange change = Decode("op/config", large.dump());
  const auto* decoded = std::get_if<std::shared_ptr<const Catalog>>(&change);
  REQUIRE(decoded != nullptr);
  const TrafficRoute* route = (*decoded)->FindRoute("h.example", "/a/x");
  CHECK(route->objective == std::chrono::hours(24));
  CHECK(route->timeout == Duration::zero());
  for (const Json& it : {Json(-1), Json(1e300), Json("7"), Json(nullptr)}) {
    Json invalid = valid;
    invalid["version"] = it;
    CHECK(std::holds_alternative<UnusableEntry>(
        Decode("op/config", invalid.dump())));
  }
}

TEST_CASE_FIXTURE(DecoderFixture,
                  "Keys, of different kinds, are distinguished") {
  CHECK(std::get<EvacuatedZone>(Decode("op/evacuate/z", "{}")).zone == "z");
  CHECK(std::holds_alternative<UnrelatedEntry>(Decode("other", "x")));
  CHECK(
      std::get<EndedEvacuation>(decoder.DecodeRemoval("op/evacuate/z")).zone ==
      "z");
  CHECK(std::get<RemovedInstance>(decoder.DecodeRemoval("servers/i")).id ==
        "i");
  CHECK(std::holds_alternative<UnrelatedEntry>(
      decoder.DecodeRemoval("op/config")));
}

constexpr const char* kSettings = R"({"vm":"v1","zone":"a","region":"r",
 "listen":{"callers":"10.0.0.1:80","readiness":"10.0.0.1:81","lookups":"10.0.0.1:82"},
 "link_mbps":200,"cpu_share":0.5,"memory_mb":160,"max_descriptors":4100,"first_internal_port":7560,"store":"10.9.9.9:8382","region_of_zone":{"a":"r"},"contracts":["base","tenants"],
 "bounds":{"key_withdrawal_s":5,"stop_s":6,"retry_window_s":10,"retry_ratio":0.2,"retry_extra":64,"limit_tolerance_ratio":0.1,"limit_tolerance_requests":20,"limit_window_s":5,"max_shift":0.15,"lookup_ttl_s":5}})";

TEST_CASE("Settings, valid, are parsed") {
  const Result<Settings> settings = ParseSettings(kSettings, "file", 9);
  REQUIRE(settings.has_value());
  CHECK(settings->gateway.self.vm == "v1");
  CHECK(settings->gateway.self.capacity == EntryCapacity{200, 0.5});
  CHECK(settings->gateway.memory_mb == 160);
  CHECK(settings->gateway.max_descriptors == 4100);
  CHECK(settings->gateway.self.front_port == 80);
  CHECK(settings->gateway.self.peer_port == 7560);
  CHECK(settings->endpoints.metrics_port == 7561);
  CHECK(settings->store.port == 8382);
  CHECK(settings->gateway.max_key_withdrawal_delay == std::chrono::seconds(5));
  CHECK(settings->requires_keys);
}

// Guards against a process that starts with settings it could not interpret.
TEST_CASE("Settings, with a missing, wrong or unknown member, are rejected") {
  const Json valid = Json::parse(kSettings);
  for (const auto& member : valid.items()) {
    const std::string& name = member.key();
    CAPTURE(name);
    Json missing = valid;
    missing.erase(name);
    const bool is_optional = name == "region_of_zone" || name == "link_mbps" ||
                             name == "cpu_share" || name == "memory_mb" ||
                             name == "max_descriptors" || name == "contracts";
    CHECK(ParseSettings(missing.dump(), "file", 0).has_value() == is_optional);
    Json wrong = valid;
    wrong[name] = Json::array({1});
    CHECK_FALSE(ParseSettings(wrong.dump(), "file", 0).has_value());
  }
  for (const auto& member : valid["bounds"].items()) {
    const std::string& name = member.key();
    CAPTURE(name);
    Json wrong = valid;
    wrong["bounds"][name] = -1;
    const Result<Settings> settings = ParseSettings(wrong.dump(), "file", 0);
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().message.find("/bounds/" + name) !=
          std::string::npos);
  }
  for (const char* it :
       {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:80x", "10.0.0.1:65536",
        "10.0.0.1:-1", "10.0.0:80", "10.0.0.1 :80", "host:80", ":80"}) {
    CAPTURE(it);
    Json wrong = valid;
    wrong["store"] = it;
    wrong["listen"]["lookups"] = it;
    const Result<Settings> settings = ParseSettings(wrong.dump(), "file", 0);
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().message.find("/store") != std::string::npos);
    CHECK(settings.error().message.find("/listen/lookups") !=
          std::string::npos);
  }
  Json unknown = valid;
  unknown["colour"] = 1;
  const Result<Settings> settings = ParseSettings(unknown.dump(), "file", 0);
  REQUIRE_FALSE(settings.has_value());
  CHECK(settings.error().message.find("/colour") != std::string::npos);
}

}  // namespace
}  // namespace rwf::platform
