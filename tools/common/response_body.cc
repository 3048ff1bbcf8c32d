#include "common/response_body.h"

#include "base/digest.h"
#include "base/json_reader.h"

namespace rwf {
namespace {

constexpr size_t kHexDigestLength = 64;

}  // namespace

std::string FormatResponseBody(const ResponseBody& fields, size_t size) {
  std::string out = Json{{"instance", fields.instance},
                         {"workspace", fields.workspace},
                         {"load_id", fields.load_id}}
                        .dump(-1, ' ', false, Json::error_handler_t::replace) +
                    "\n";
  if (out.size() + kHexDigestLength < size)
    out.resize(size - kHexDigestLength, '.');
  return out + ToHex(Sha256(out));
}

std::optional<ResponseBody> ParseResponseBody(std::string_view body) {
  if (body.size() <= kHexDigestLength) return std::nullopt;
  const std::string_view content =
      body.substr(0, body.size() - kHexDigestLength);
  if (ToHex(Sha256(content)) != body.substr(content.size()))
    return std::nullopt;
  const Json line = Json::parse(content.substr(0, content.find('\n')), nullptr,
                                /*allow_exceptions=*/false);
  if (!line.is_object()) return std::nullopt;
  return ResponseBody{line.value("instance", ""), line.value("workspace", ""),
                      line.value("load_id", "")};
}

}  // namespace rwf
