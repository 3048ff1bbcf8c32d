#include "base/json_reader.h"

#include <doctest/doctest.h>

#include <cstring>
#include <string>
#include <utility>

namespace rwf {
namespace {

// Guards against settings that are accepted in part or rejected without the
// position of the problem.
TEST_CASE("JsonReader, unknown member, is reported with its pointer") {
  std::vector<JsonProblem> problems;
  const Json doc = {{"port", 1}, {"prot", 2}};
  JsonReader reader(doc, "/vm", &problems);
  CHECK(reader.Integer("port", 1, 65535) == 1);
  reader.Finish();
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].pointer == "/vm/prot");
}

TEST_CASE(
    "JsonReader, unknown member with a slash, is escaped in its pointer") {
  std::vector<JsonProblem> problems;
  const Json doc = {{"a/b", 1}};
  JsonReader(doc, "/vm", &problems).Finish();
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].pointer == "/vm/a~1b");
}

TEST_CASE(
    "JsonReader, invalid member, is reported with found and allowed values") {
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
    "ParseJson, comments and a syntax error, accepts the comments and locates "
    "the error") {
  CHECK(ParseJson("// c\n{\"a\": 1}", "f").has_value());
  const auto broken = ParseJson("{\n\"a\": }", "f.json");
  REQUIRE(!broken);
  CHECK(broken.error().code == JsonErrc::kSyntax);
  CHECK(broken.error().message.rfind("f.json:2:", 0) == 0);
}

// Guards against silently dropped values, escaping exceptions, and a stack
// overflow when a hostile document is formatted for a message.
TEST_CASE("ParseJson, hostile document, is rejected as a syntax error") {
  const std::pair<std::string, const char*> rows[] = {
      {R"({"a": {"b": 1, "b": 2}})", "f: /a/b: duplicate member"},
      {std::string(1'000'000, '['), "f: /0/0/0"},
      {std::string(100, '[') + std::string(100, ']'), "f: /0/0/0"},
      {R"([1, {"a": 1, "a": 2}])", "f: /1/a: duplicate member"},
      {R"({"a": 1e999})", "f:1: "},
  };
  for (const auto& [text, message] : rows) {
    const auto parsed = ParseJson(text, "f");
    REQUIRE(!parsed);
    CHECK(parsed.error().code == JsonErrc::kSyntax);
    CHECK(parsed.error().message.substr(0, strlen(message)) == message);
  }
  CHECK(ParseJson(R"([{"a": 1}, {"a": 1}])", "f").has_value());
}

}  // namespace
}  // namespace rwf
