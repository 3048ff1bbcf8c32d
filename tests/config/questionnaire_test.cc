#include "config/questionnaire.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "base/json_reader.h"
#include "config/parser.h"

namespace rwf {
namespace {

std::string ReadText(const std::string& name) {
  std::ifstream file(std::string(RWF_SOURCE_DIR "/examples/") + name);
  REQUIRE_MESSAGE(file, name);
  return {std::istreambuf_iterator<char>(file), {}};
}

int64_t SlotsOf(const Service& service) {
  int64_t sum = 0;
  for (const Upstream& it : service.upstreams) sum += it.slots;
  return sum;
}

// Guards against example configurations that differ from the generator's output
// or from the sizes in the design.
TEST_CASE("GenerateConfig, example sites, gives the committed configurations") {
  struct Row {
    const char* site;
    std::vector<size_t> upstreams;
    std::vector<int64_t> slots;
    int64_t link_bytes_per_second;
    double capacity;
  };
  const Row rows[] = {
      {"tallowmere", {30, 12}, {180, 36}, 500'000'000, 5100},
      {"pazhayidam", {24, 12}, {72, 36}, 37'500'000, 2520},
  };
  for (const Row& row : rows) {
    const std::string site = row.site;
    const auto out = GenerateConfig(ReadText(site + ".questionnaire.json"),
                                    site, [] { return "unused"; });
    REQUIRE_MESSAGE(out, out.error().message);
    const Config& config = *out->config;
    const auto committed = ParseConfig(ReadText(site + ".config.json"), site);
    REQUIRE_MESSAGE(committed, committed.error().message);
    CHECK(**committed == config);
    CHECK(ReadText(site + ".config.json") ==
          ConfigToJson(config).dump(2) + "\n");

    CHECK(out->new_keys.empty());
    CHECK(out->capacity == doctest::Approx(row.capacity));
    CHECK(out->rate_sum / out->capacity == doctest::Approx(0.8).epsilon(0.01));
    CHECK(config.regions.size() == 3);
    CHECK(config.zones.size() == 6);
    CHECK(config.workspaces.size() == 8);
    REQUIRE(config.links.size() == 6);
    CHECK(config.links[0].bytes_per_second == row.link_bytes_per_second);
    REQUIRE(config.entry_vms.size() == 7);
    CHECK(config.entry_vms[1].zone == config.zones[0].name);
    CHECK(config.entry_vms[2].zone == config.zones[1].name);
    REQUIRE(config.services.size() == 2);
    for (size_t i = 0; i < 2; ++i) {
      CHECK(config.services[i].upstreams.size() == row.upstreams[i]);
      CHECK(SlotsOf(config.services[i]) == row.slots[i]);
    }
  }
}

TEST_CASE("GenerateConfig, workspace without key, gets a generated key") {
  Json questionnaire =
      *ParseJson(ReadText("tallowmere.questionnaire.json"), "q");
  questionnaire["demo_keys"].erase("contractors");
  const auto out = GenerateConfig(questionnaire.dump(), "q", MakeKey);
  REQUIRE_MESSAGE(out, out.error().message);
  REQUIRE(out->new_keys.size() == 1);
  CHECK(out->new_keys[0].workspace == "contractors");
  CHECK(out->new_keys[0].key.size() == 32);
  const Workspace* workspace = out->config->FindWorkspace("contractors");
  CHECK(workspace->keys == std::vector{Sha256(out->new_keys[0].key)});
  CHECK(SerializeConfig(*out->config).find(out->new_keys[0].key) ==
        std::string::npos);
}

TEST_CASE("GenerateConfig, invalid questionnaire, reports the problem") {
  const Json valid = *ParseJson(ReadText("tallowmere.questionnaire.json"), "q");
  const std::pair<const char*, Json> rows[] = {
      {"/services/0/typical_service_ms", 0},
      {"/services/0/instances/delta-c", 1},
      {"/services/0/routes/0/max_timeout_ms", 0},
      {"/entry_vms/0/instances", 0},
      {"/entry_vms/0/instances", {"127.0.0.x"}},
      {"/address_nets/entry_vms", "127.0.0.1"},
      {"/links/0/between", {"delta"}},
      {"/demo_keys/nobody", {"k"}},
      {"/moves/0/percent", 0},
      {"/extra", 1},
  };
  for (const auto& row : rows) {
    Json questionnaire = valid;
    questionnaire[Json::json_pointer(row.first)] = row.second;
    const auto out = GenerateConfig(questionnaire.dump(), "q", MakeKey);
    REQUIRE_MESSAGE(!out, row.first);
    CHECK_MESSAGE(out.error().message.find("\n/") != std::string::npos,
                  out.error().message);
  }
}

}  // namespace
}  // namespace rwf
