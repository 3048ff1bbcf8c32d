#include "base/json_reader.h"

#include <doctest/doctest.h>

namespace rwf {
namespace {

// Guards against settings that are accepted in part or rejected without saying
// where.
TEST_CASE("JsonReader, unknown member, is named with its pointer") {
  std::vector<JsonProblem> problems;
  const Json doc = {{"port", 1}, {"prot", 2}};
  JsonReader reader(doc, "/vm", &problems);
  CHECK(reader.Integer("port", 1, 65535) == 1);
  reader.Finish();
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].pointer == "/vm/prot");
}

TEST_CASE("JsonReader, faulty member, gives found and allowed") {
  struct Row {
    Json doc;
    const char* message;
  };
  const Row rows[] = {
      {Json::object(), "is required and missing"},
      {{{"port", 0}}, "found 0, expected a whole number from 1 to 65535"},
      {{{"port", "x"}}, "found \"x\", expected a whole number from 1 to 65535"},
      {{{"port", 1.5}}, "found 1.5, expected a whole number from 1 to 65535"},
  };
  for (const Row& row : rows) {
    std::vector<JsonProblem> problems;
    JsonReader reader(row.doc, "", &problems);
    reader.Integer("port", 1, 65535);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0] == JsonProblem{"/port", row.message});
  }
}

TEST_CASE(
    "ParseJson, comments and a syntax error, reads the one and locates the "
    "other") {
  CHECK(ParseJson("// c\n{\"a\": 1}", "f").has_value());
  const auto broken = ParseJson("{\n\"a\": }", "f.json");
  REQUIRE(!broken);
  CHECK(broken.error().code == JsonErrc::kSyntax);
  CHECK(broken.error().message.rfind("f.json:2:", 0) == 0);
}

}  // namespace
}  // namespace rwf
