#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rwf {

// What a whole answer of an upstream double states about itself.
struct AnswerBody {
  std::string instance;
  std::string workspace;
  std::string load_id;

  friend bool operator==(const AnswerBody&, const AnswerBody&) = default;
};

// One JSON line, padding up to `size` bytes, and the SHA-256 of all that in
// hexadecimal at the end.
std::string WriteAnswerBody(const AnswerBody& answer, size_t size);

// The statement of a body that is whole and unchanged.
std::optional<AnswerBody> ReadAnswerBody(std::string_view body);

}  // namespace rwf
