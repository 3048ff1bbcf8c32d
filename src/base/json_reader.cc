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

// Formats a value for a message, truncated to a readable length.
std::string Excerpt(const Json& value) {
  static constexpr size_t kMaxExcerptSize = 60;
  // ASCII only, so that truncation never splits a UTF-8 character.
  std::string text = value.dump(-1, ' ', /*ensure_ascii=*/true);
  if (text.size() > kMaxExcerptSize)
    text = text.substr(0, kMaxExcerptSize) + "...";
  return text;
}

// Builds a document from parser events and rejects input that the grammar
// allows but a strict reader must not accept: duplicate members, of which the
// library would keep the last, and nesting so deep that recursive functions
// such as dump() would overflow the stack. The library's parser callbacks could
// do the same, but take quadratic time on long arrays.
class StrictBuilder : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return Add(nullptr) != nullptr; }
  bool boolean(bool value) override { return Add(value) != nullptr; }
  bool number_integer(int64_t value) override { return Add(value) != nullptr; }
  bool number_unsigned(uint64_t value) override {
    return Add(value) != nullptr;
  }
  bool number_float(double value, const std::string&) override {
    return Add(value) != nullptr;
  }
  bool string(std::string& value) override {
    return Add(std::move(value)) != nullptr;
  }
  bool binary(Json::binary_t&) override { return false; }
  bool start_object(size_t) override { return Open(Json::object()); }
  bool start_array(size_t) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    Frame& top = open_.back();
    top.key = name;
    if (!top.value->contains(name)) return true;
    error_message_ = fmt::format("{}: duplicate member", Pointer());
    return false;
  }

  bool parse_error(size_t position, const std::string&,
                   const Json::exception& e) override {
    error_position_ = position;
    error_message_ = e.what();
    return false;
  }

  // Empty if the document is valid.
  const std::string& error_message() const { return error_message_; }
  // Offset of a syntax error, 0 for other errors.
  size_t error_position() const { return error_position_; }
  Json Take() { return std::move(root_); }

 private:
  static constexpr size_t kMaxDepth = 64;

  // An object or array that is not closed yet.
  struct Frame {
    Json* value;
    std::string key;  // of the next member
  };

  Json* Add(Json value) {
    if (open_.empty()) return &(root_ = std::move(value));
    Frame& top = open_.back();
    if (top.value->is_object())
      return &((*top.value)[top.key] = std::move(value));
    top.value->push_back(std::move(value));
    return &top.value->back();
  }

  bool Open(Json empty) {
    if (open_.size() == kMaxDepth) {
      error_message_ =
          fmt::format("{}: nested deeper than {} levels", Pointer(), kMaxDepth);
      return false;
    }
    Json* value = Add(std::move(empty));
    open_.push_back({value, ""});
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  std::string Pointer() const {
    Json::json_pointer out;
    for (const Frame& it : open_) {
      if (it.value->is_object())
        out /= it.key;
      else if (it.value == open_.back().value)
        out /= it.value->size();
      else
        out /= it.value->size() - 1;
    }
    return out.to_string();
  }

  Json root_;
  std::vector<Frame> open_;
  std::string error_message_;
  size_t error_position_ = 0;
};

}  // namespace

std::error_code make_error_code(JsonErrc code) {
  static const JsonCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

Result<Json> ParseJson(std::string_view text, std::string_view source) {
  StrictBuilder builder;
  if (Json::sax_parse(text, &builder, Json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true))
    return builder.Take();
  if (builder.error_position() == 0)
    return Fail(JsonErrc::kSyntax,
                fmt::format("{}: {}", source, builder.error_message()));
  const auto end = text.begin() + static_cast<ptrdiff_t>(std::min(
                                      builder.error_position(), text.size()));
  const auto line = std::count(text.begin(), end, '\n') + 1;
  return Fail(JsonErrc::kSyntax,
              fmt::format("{}:{}: {}", source, line, builder.error_message()));
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
  AddProblem(
      name, fmt::format("found {}, expected a non-empty string", Excerpt(*it)));
  return "";
}

std::string JsonReader::String(const char* name, std::string fallback) {
  const Json* it = Find(name);
  if (it == nullptr) return fallback;
  if (it->is_string()) return it->get<std::string>();
  AddProblem(name, fmt::format("found {}, expected a string", Excerpt(*it)));
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
    AddProblem(name, fmt::format("found {}, expected an array of strings",
                                 Excerpt(*it)));
    return out;
  }
  for (const Json& element : *it) {
    if (element.is_string()) {
      out.push_back(element.get<std::string>());
      continue;
    }
    AddProblem(name,
               fmt::format("found {}, expected a string", Excerpt(element)));
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
    // The name is arbitrary text, so '/' and '~' in it are escaped for the
    // pointer.
    const std::string token = (Json::json_pointer() / name).to_string();
    AddProblem(token.c_str() + 1, fmt::format("is unknown, expected one of: {}",
                                              fmt::join(known_, ", ")));
  }
}

}  // namespace rwf
