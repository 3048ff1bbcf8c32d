#include "base/json_reader.h"

#include <fmt/format.h>

#include <algorithm>

namespace rwf {
namespace {

class JsonCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "json"; }
  std::string message(int code) const override {
    return code == static_cast<int>(JsonErrc::kSyntax)
               ? "JSON syntax error"
               : "JSON does not match its schema";
  }
};

const Json& EmptyObject() {
  static const Json kEmpty = Json::object();
  return kEmpty;
}

// A value as it is shown in a message, cut to a readable length.
std::string Excerpt(const Json& value) {
  static constexpr size_t kLongest = 60;
  // ASCII only, so that the cut never leaves half a UTF-8 character.
  std::string text = value.dump(-1, ' ', /*ensure_ascii=*/true);
  if (text.size() > kLongest) text = text.substr(0, kLongest) + "...";
  return text;
}

}  // namespace

std::error_code make_error_code(JsonErrc code) {
  static const JsonCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

Result<Json> ParseJson(std::string_view text, std::string_view source) {
  try {
    return Json::parse(text, nullptr, true, /*ignore_comments=*/true);
  } catch (const Json::parse_error& e) {
    const auto end =
        text.begin() + static_cast<ptrdiff_t>(std::min(e.byte, text.size()));
    const auto line = std::count(text.begin(), end, '\n') + 1;
    return Fail(JsonErrc::kSyntax,
                fmt::format("{}:{}: {}", source, line, e.what()));
  } catch (const Json::exception& e) {
    // A number beyond the range of a double is no parse_error.
    return Fail(JsonErrc::kSyntax, fmt::format("{}: {}", source, e.what()));
  }
}

std::string FormatProblems(const std::vector<JsonProblem>& problems) {
  std::string out;
  for (const JsonProblem& it : problems) {
    out += fmt::format("{}: {}\n", it.pointer.empty() ? "/" : it.pointer,
                       it.message);
  }
  return out;
}

JsonReader::JsonReader(const Json& value, std::string pointer,
                       std::vector<JsonProblem>* problems)
    : value_(&value), pointer_(std::move(pointer)), problems_(problems) {
  if (value.is_object()) return;
  AddProblem(fmt::format("found {}, expected an object", Excerpt(value)));
  value_ = &EmptyObject();
}

bool JsonReader::Has(const char* name) const { return value_->contains(name); }

const Json* JsonReader::Find(const char* name) {
  known_.emplace_back(name);
  const auto it = value_->find(name);
  return it == value_->end() ? nullptr : &*it;
}

const Json* JsonReader::Require(const char* name) {
  const Json* it = Find(name);
  if (it == nullptr) AddProblem(name, "is required and missing");
  return it;
}

std::string JsonReader::String(const char* name) {
  const Json* it = Require(name);
  if (it == nullptr) return "";
  if (it->is_string() && !it->get_ref<const std::string&>().empty())
    return it->get<std::string>();
  AddProblem(name, fmt::format("found {}, expected a text that is not empty",
                               Excerpt(*it)));
  return "";
}

std::string JsonReader::String(const char* name, std::string fallback) {
  const Json* it = Find(name);
  if (it == nullptr) return fallback;
  if (it->is_string()) return it->get<std::string>();
  AddProblem(name, fmt::format("found {}, expected a text", Excerpt(*it)));
  return fallback;
}

template <typename T>
T JsonReader::Ranged(const char* name, const Json* it, T low, T high,
                     T fallback) {
  if (it == nullptr) return fallback;
  const bool is_right_type =
      std::is_integral_v<T> ? it->is_number_integer() : it->is_number();
  if (is_right_type) {
    const T n = it->get<T>();
    if (n >= low && n <= high) return n;
  }
  AddProblem(name,
             fmt::format("found {}, expected {} from {} to {}", Excerpt(*it),
                         std::is_integral_v<T> ? "a whole number" : "a number",
                         low, high));
  return fallback;
}

int64_t JsonReader::Integer(const char* name, int64_t low, int64_t high) {
  return Ranged<int64_t>(name, Require(name), low, high, low);
}

int64_t JsonReader::Integer(const char* name, int64_t low, int64_t high,
                            int64_t fallback) {
  return Ranged<int64_t>(name, Find(name), low, high, fallback);
}

double JsonReader::Number(const char* name, double low, double high) {
  return Ranged<double>(name, Require(name), low, high, low);
}

double JsonReader::Number(const char* name, double low, double high,
                          double fallback) {
  return Ranged<double>(name, Find(name), low, high, fallback);
}

bool JsonReader::Boolean(const char* name, bool fallback) {
  const Json* it = Find(name);
  if (it == nullptr) return fallback;
  if (it->is_boolean()) return it->get<bool>();
  AddProblem(name,
             fmt::format("found {}, expected true or false", Excerpt(*it)));
  return fallback;
}

std::string JsonReader::Choice(const char* name,
                               std::initializer_list<const char*> allowed,
                               const char* fallback) {
  const Json* it = *fallback == '\0' ? Require(name) : Find(name);
  if (it == nullptr) return fallback;
  for (const char* choice : allowed) {
    if (it->is_string() && it->get_ref<const std::string&>() == choice)
      return choice;
  }
  AddProblem(name,
             fmt::format("found {}, expected one of: {}", Excerpt(*it),
                         fmt::join(allowed.begin(), allowed.end(), ", ")));
  return fallback;
}

std::vector<JsonReader> JsonReader::Objects(const char* name, bool required) {
  std::vector<JsonReader> out;
  const Json* it = Array(name, required);
  if (it == nullptr) return out;
  for (size_t i = 0; i < it->size(); ++i) {
    out.emplace_back((*it)[i], fmt::format("{}/{}/{}", pointer_, name, i),
                     problems_);
  }
  return out;
}

const Json* JsonReader::Array(const char* name, bool required) {
  const Json* it = required ? Require(name) : Find(name);
  if (it == nullptr || it->is_array()) return it;
  AddProblem(name, fmt::format("found {}, expected an array", Excerpt(*it)));
  return nullptr;
}

std::vector<std::string> JsonReader::Strings(const char* name) {
  std::vector<std::string> out;
  const Json* it = Find(name);
  if (it == nullptr) return out;
  if (!it->is_array()) {
    AddProblem(name, fmt::format("found {}, expected an array of texts",
                                 Excerpt(*it)));
    return out;
  }
  for (const Json& element : *it) {
    if (element.is_string()) {
      out.push_back(element.get<std::string>());
      continue;
    }
    AddProblem(name,
               fmt::format("found {}, expected a text", Excerpt(element)));
  }
  return out;
}

JsonReader JsonReader::Object(const char* name) {
  const Json* it = Find(name);
  return {it == nullptr ? EmptyObject() : *it,
          fmt::format("{}/{}", pointer_, name), problems_};
}

void JsonReader::AddProblem(std::string message) {
  problems_->push_back({pointer_, std::move(message)});
}

void JsonReader::AddProblem(const char* name, std::string message) {
  problems_->push_back(
      {fmt::format("{}/{}", pointer_, name), std::move(message)});
}

void JsonReader::Finish() {
  for (const auto& [name, unused] : value_->items()) {
    if (std::find(known_.begin(), known_.end(), name) != known_.end()) continue;
    AddProblem(name.c_str(), fmt::format("is unknown, expected one of: {}",
                                         fmt::join(known_, ", ")));
  }
}

}  // namespace rwf
