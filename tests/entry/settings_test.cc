#include "entry/settings.h"

#include <doctest/doctest.h>

#include "base/json_reader.h"

namespace rwf {
namespace {

struct SettingsFixture {
  Json doc = {
      {"vm", "delta-a-1"},
      {"zone", "delta-a"},
      {"cluster", "tallowmere"},
      {"store", "http://127.0.0.1:7900"},
      {"fleet_secrets", {"0123456789abcdef"}},
      {"operator_token", "token"},
      {"listen",
       {{"address", "127.10.0.1"},
        {"caller_port", 8080},
        {"peer_port", 8081},
        {"operator_port", 8082}}},
      {"seed_peers",
       {{{"vm", "delta-a-2"}, {"address", "127.10.0.2"}, {"peer_port", 8081}}}},
  };
};

TEST_CASE_FIXTURE(SettingsFixture,
                  "ParseSettings, complete settings, are parsed") {
  const auto settings =
      ParseSettings("// this VM\n" + doc.dump(), "settings.json");
  REQUIRE(settings.has_value());
  CHECK(settings->store == HttpTarget{"127.0.0.1", 7900});
  CHECK(settings->peer_port == 8081);
  CHECK(settings->seed_peers ==
        std::vector<PeerAddress>{{"delta-a-2", "127.10.0.2", 8081}});
}

// Guards against a VM that starts with settings of which it ignored a part.
TEST_CASE_FIXTURE(
    SettingsFixture,
    "ParseSettings, one invalid value, is rejected with its pointer") {
  struct Row {
    const char* pointer;
    Json value;
    const char* expected;
  };
  const Row rows[] = {
      {"/vm", 1, "/vm: "},
      {"/store", "https://x", "/store: "},
      {"/store", "http://127.0.0.1:99999", "/store: "},
      {"/listen/address", "here", "/listen/address: "},
      {"/listen/peer_port", 0, "/listen/peer_port: "},
      {"/listen/extra", 1, "/listen/extra: is unknown"},
      {"/fleet_secrets", Json::array(), "/fleet_secrets: "},
      {"/fleet_secrets", {"short"}, "/fleet_secrets: "},
      {"/fleet_secrets",
       {"0123456789abcdef", "0123456789abcdeg", "third-secret-too-many"},
       "/fleet_secrets: "},
      {"/seed_peers/0/address", "x", "/seed_peers/0/address: "},
      {"/unknown", true, "/unknown: is unknown"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.expected);
    Json invalid = doc;
    invalid[Json::json_pointer(row.pointer)] = row.value;
    const auto settings = ParseSettings(invalid.dump(), "settings.json");
    REQUIRE(!settings.has_value());
    CHECK(settings.error().message.find(row.expected) != std::string::npos);
    // Error messages are logged and must not contain secrets.
    CHECK(settings.error().message.find("0123456789") == std::string::npos);
  }
}

}  // namespace
}  // namespace rwf
