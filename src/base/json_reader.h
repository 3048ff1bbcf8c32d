#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace rwf {

using Json = nlohmann::json;

enum class JsonErrc { kSyntax = 1, kSchema };
std::error_code make_error_code(JsonErrc code);

// Parses JSON with comments. The message of a syntax error contains `source`,
// the line and the column. Duplicate members of an object and nesting deeper
// than 64 levels are rejected as syntax errors too.
Result<Json> ParseJson(std::string_view text, std::string_view source);

// A violation of the schema found in a document.
struct JsonProblem {
  std::string pointer;  // JSON pointer of the invalid value
  std::string message;  // what was found and what is allowed

  friend bool operator==(const JsonProblem&, const JsonProblem&) = default;
};

// Formats each problem as a line "POINTER: MESSAGE".
std::string FormatProblems(const std::vector<JsonProblem>& problems);

// Reads a JSON object strictly: a member that is never requested, a wrong type
// and a value out of range are problems. Problems are collected, so that one
// pass reports all of them. A getter that fails returns its fallback; for a
// required member that is the lower bound or an empty string.
class JsonReader {
 public:
  // `problems` must outlive the reader.
  JsonReader(const Json& value, std::string pointer,
             std::vector<JsonProblem>* problems);

  bool Has(const char* name) const;
  std::string String(const char* name);  // required, not empty
  std::string String(const char* name, std::string fallback);
  int64_t Integer(const char* name, int64_t low, int64_t high);  // required
  int64_t Integer(const char* name, int64_t low, int64_t high,
                  int64_t fallback);
  double Number(const char* name, double low, double high);  // required
  double Number(const char* name, double low, double high, double fallback);
  bool Boolean(const char* name, bool fallback);
  // Returns one of `allowed`. An empty fallback makes the member required.
  std::string Choice(const char* name,
                     std::initializer_list<const char*> allowed,
                     const char* fallback = "");
  // Elements of an array member; a missing member is an empty array unless
  // `required`.
  std::vector<JsonReader> Objects(const char* name, bool required = false);
  std::vector<std::string> Strings(const char* name);
  // Returns an array member unparsed, to read long arrays without one reader
  // per element; nullptr if it is missing or not an array.
  const Json* Array(const char* name, bool required = false);
  // Returns a reader for an object member; a missing member reads as an empty
  // object.
  JsonReader Object(const char* name);

  const Json& value() const { return *value_; }
  const std::string& pointer() const { return pointer_; }
  // Reports a problem at this object, or at its member `name`.
  void AddProblem(std::string message);
  void AddProblem(const char* name, std::string message);
  // Reports every member that was never requested. Must be called once, after
  // the getters.
  void Finish();

 private:
  const Json* Find(const char* name);
  const Json* Require(const char* name);
  template <typename T>
  T Ranged(const char* name, const Json* it, T low, T high, T fallback);

  const Json* value_;
  std::string pointer_;
  std::vector<JsonProblem>* problems_;
  std::vector<std::string> known_;
};

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::JsonErrc> : std::true_type {};
