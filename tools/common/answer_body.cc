#include "common/answer_body.h"

#include "base/digest.h"
#include "base/json_reader.h"

namespace rwf {
namespace {

constexpr size_t kDigestChars = 64;

}  // namespace

std::string WriteAnswerBody(const AnswerBody& answer, size_t size) {
  std::string out = Json{{"instance", answer.instance},
                         {"workspace", answer.workspace},
                         {"load_id", answer.load_id}}
                        .dump(-1, ' ', false, Json::error_handler_t::replace) +
                    "\n";
  if (out.size() + kDigestChars < size) out.resize(size - kDigestChars, '.');
  return out + ToHex(Sha256(out));
}

std::optional<AnswerBody> ReadAnswerBody(std::string_view body) {
  if (body.size() <= kDigestChars) return std::nullopt;
  const std::string_view content = body.substr(0, body.size() - kDigestChars);
  if (ToHex(Sha256(content)) != body.substr(content.size()))
    return std::nullopt;
  const Json line = Json::parse(content.substr(0, content.find('\n')), nullptr,
                                /*allow_exceptions=*/false);
  if (!line.is_object()) return std::nullopt;
  return AnswerBody{line.value("instance", ""), line.value("workspace", ""),
                    line.value("load_id", "")};
}

}  // namespace rwf
