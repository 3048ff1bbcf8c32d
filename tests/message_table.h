#pragma once

#include <doctest/doctest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace rwf {

// A message of tests/http/messages.json, and what its body and header fields
// are for a recipient that accepts it.
struct MessageRow {
  std::string name;
  std::string text;
  int status = 200;
  std::string target;
  std::string content;
  bool ends_with_close = false;
  std::pair<std::string, std::string> field;  // none if the name is empty
};

// Returns the bytes whose values are the code points of a UTF-8 text.
inline std::string BytesOf(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    const auto c = static_cast<unsigned char>(text[n]);
    if (c < 0x80) {
      out += text[n];
      continue;
    }
    const auto next = static_cast<unsigned char>(text[++n]);
    out += static_cast<char>(((c & 0x1f) << 6) | (next & 0x3f));
  }
  return out;
}

inline void Replace(std::string* text, const std::string& placeholder,
                    const std::string& value) {
  const size_t at = text->find(placeholder);
  if (at != std::string::npos) text->replace(at, placeholder.size(), value);
}

// Returns the messages under `section`. Each has the request id `id`.
inline std::vector<MessageRow> ReadMessages(const std::string& section,
                                            const std::string& id = "id") {
  std::ifstream file(RWF_SOURCE_DIR "/tests/http/messages.json");
  REQUIRE(file.good());
  const bool is_request = section.ends_with("requests");
  const std::string end = "\r\n";
  const nlohmann::json sections = nlohmann::json::parse(file);
  std::vector<MessageRow> out;
  for (const nlohmann::json& row : sections.at(section)) {
    const auto part = [&](const char* key, const std::string& other) {
      return BytesOf(row.value(key, other));
    };
    MessageRow it;
    it.name = row.at("name");
    const std::string body = part("body", "done");
    std::string text = part("before", "") +
                       part("start", is_request ? "POST /once/x HTTP/1.1"
                                                : "HTTP/1.1 200 OK") +
                       end +
                       (is_request ? "Host: {host}" : "X-Server-Stamp: s") +
                       end + "X-Request-Id: {id}" + end +
                       (is_request ? "Authorization: Bearer key" + end : "");
    if (row.contains("field")) text += part("field", "") + end;
    text += part("framing", "Content-Length: 4") + end + end + body;
    it.text = row.contains("text") ? part("text", "") : text;
    Replace(&it.text, "{host}", "h");
    Replace(&it.text, "{id}", id);
    it.status = row.value("status", 200);
    it.target = part("target", "/once/x");
    it.content = part("content", body.empty() ? "" : "done");
    it.ends_with_close = row.value("ends_with_close", false);
    if (row.contains("value"))
      it.field = {row["value"][0], BytesOf(row["value"][1])};
    out.push_back(std::move(it));
  }
  REQUIRE_FALSE(out.empty());
  return out;
}

}  // namespace rwf
