#include "config/parser.h"

#include <doctest/doctest.h>

#include "config/sample.h"

namespace rwf {
namespace {

// Guards against settings that one side writes and the other does not read.
TEST_CASE("SerializeConfig, every section filled, parses back to the same") {
  const auto config = ParseConfig(SampleConfig().dump(), "sample");
  REQUIRE_MESSAGE(config, config.error().message);
  const std::string text = SerializeConfig(**config);
  const auto again = ParseConfig(text, "again");
  REQUIRE_MESSAGE(again, again.error().message);
  CHECK(**again == **config);
  CHECK(SerializeConfig(**again) == text);
}

TEST_CASE("ParseConfig, settings left out, take the documented defaults") {
  Json document = SampleConfig();
  document.erase("limits");
  for (Json& route : document["services"][0]["routes"])
    route.erase("key_staleness_limit_s");
  document["services"][0]["routes"][1].erase("idempotent");
  const auto config = ParseConfig(document.dump(), "sample");
  REQUIRE_MESSAGE(config, config.error().message);
  CHECK((*config)->limits == Limits{});
  const auto& routes = (*config)->services[0].routes;
  CHECK(routes[0].key_staleness_limit == std::chrono::seconds(3600));
  CHECK_FALSE(routes[1].idempotent);
  CHECK(routes[1].key_staleness_limit == std::chrono::seconds(60));
}

}  // namespace
}  // namespace rwf
