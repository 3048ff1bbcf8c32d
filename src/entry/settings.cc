#include "entry/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

#include "base/json_reader.h"

namespace rwf {
namespace {

constexpr size_t kMinSecretBytes = 16;
constexpr int64_t kMaxPort = 65535;

class SettingsCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "settings"; }
  std::string message(int) const override { return "invalid settings"; }
};

bool IsIpv4(const std::string& text) {
  in_addr unused;
  return inet_pton(AF_INET, text.c_str(), &unused) == 1;
}

std::string ReadAddress(JsonReader* reader) {
  std::string out = reader->String("address");
  if (!out.empty() && !IsIpv4(out)) {
    reader->AddProblem(
        "address", fmt::format("found \"{}\", expected an IPv4 address", out));
  }
  return out;
}

uint16_t ReadPort(JsonReader* reader, const char* name) {
  return static_cast<uint16_t>(reader->Integer(name, 1, kMaxPort));
}

void ReadSecrets(JsonReader* reader, Settings* out) {
  out->fleet_secrets = reader->Strings("fleet_secrets");
  if (out->fleet_secrets.empty() || out->fleet_secrets.size() > 2) {
    reader->AddProblem(
        "fleet_secrets",
        "expected the current secret and at most one previous one");
  }
  for (const std::string& it : out->fleet_secrets) {
    if (it.size() >= kMinSecretBytes) continue;
    reader->AddProblem("fleet_secrets",
                       fmt::format("a secret has {} characters, expected at "
                                   "least {}",
                                   it.size(), kMinSecretBytes));
  }
}

}  // namespace

std::error_code make_error_code(SettingsErrc code) {
  static const SettingsCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

bool ParseHttpTarget(std::string_view text, HttpTarget* out) {
  static constexpr std::string_view kScheme = "http://";
  if (text.substr(0, kScheme.size()) != kScheme) return false;
  text.remove_prefix(kScheme.size());
  if (!text.empty() && text.back() == '/') text.remove_suffix(1);
  const size_t colon = text.find(':');
  if (colon == std::string_view::npos) return false;
  HttpTarget parsed;
  parsed.address = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), parsed.port);
  if (ec != std::errc() || end != port.data() + port.size()) return false;
  if (parsed.port == 0 || !IsIpv4(parsed.address)) return false;
  *out = parsed;
  return true;
}

Result<Settings> ParseSettings(std::string_view text, std::string_view source) {
  const auto document = ParseJson(text, source);
  if (!document) return tl::unexpected<Error>(document.error());
  std::vector<JsonProblem> problems;
  JsonReader reader(*document, "", &problems);
  Settings out;
  out.vm = reader.String("vm");
  out.zone = reader.String("zone");
  out.cluster = reader.String("cluster");
  const std::string store = reader.String("store");
  if (!store.empty() && !ParseHttpTarget(store, &out.store)) {
    reader.AddProblem(
        "store",
        fmt::format("found \"{}\", expected http://ADDRESS:PORT with an IPv4 "
                    "address",
                    store));
  }
  ReadSecrets(&reader, &out);
  out.operator_token = reader.String("operator_token");
  JsonReader listen = reader.Object("listen");
  out.address = ReadAddress(&listen);
  out.caller_port = ReadPort(&listen, "caller_port");
  out.peer_port = ReadPort(&listen, "peer_port");
  out.operator_port = ReadPort(&listen, "operator_port");
  listen.Finish();
  for (JsonReader& it : reader.Objects("seed_peers")) {
    PeerAddress peer;
    peer.vm = it.String("vm");
    peer.address = ReadAddress(&it);
    peer.port = ReadPort(&it, "peer_port");
    it.Finish();
    out.seed_peers.push_back(std::move(peer));
  }
  reader.Finish();
  if (problems.empty()) return out;
  return Fail(SettingsErrc::kInvalid,
              fmt::format("{}: invalid settings\n{}", source,
                          FormatProblems(problems)));
}

}  // namespace rwf
