#include "config/questionnaire.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "base/json_reader.h"
#include "config/config_error.h"
#include "config/ipv4.h"
#include "config/parser.h"

namespace rwf {
namespace {

constexpr int64_t kMaxInstances = 10'000;  // in one zone
constexpr int64_t kHostsPerNet = 254;      // .1 to .254 of a /24 net

// Builds the configuration document. Members with the same form in both
// documents (routes, moves, limits) are copied and checked by ReadConfig().
class Generator {
 public:
  Generator(const Json& questionnaire,
            const std::function<std::string()>& make_key,
            std::vector<JsonProblem>* problems)
      : reader_(questionnaire, "", problems), make_key_(make_key) {}

  Json Run() {
    Json out = {{"generation", 1}, {"site", reader_.String("site")}};
    ReadPortsAndNets();
    AddRegionsAndZones(&out);
    AddLinks(&out);
    AddEntryVms(&out);
    AddServices(&out);
    AddWorkspaces(&out);
    if (const Json* blocks = reader_.Array("client_blocks"))
      out["client_blocks"] = *blocks;
    if (const Json* moves = reader_.Array("moves")) out["moves"] = *moves;
    if (reader_.Has("limits")) out["limits"] = reader_.Object("limits").value();
    reader_.Finish();
    return out;
  }

  std::vector<NewKey> TakeNewKeys() { return std::move(new_keys_); }
  double capacity() const { return capacity_; }
  double rate_sum() const { return rate_sum_; }

 private:
  void ReadPortsAndNets() {
    JsonReader ports = reader_.Object("ports");
    for (auto& [name, port] : ports_)
      port = ports.Integer(name.c_str(), 1, UINT16_MAX, port);
    ports.Finish();
    JsonReader nets = reader_.Object("address_nets");
    entry_vm_net_ = ReadNet(&nets, "entry_vms");
    upstream_net_ = ReadNet(&nets, "upstreams");
    nets.Finish();
  }

  static std::optional<uint32_t> ReadNet(JsonReader* nets, const char* name) {
    if (!nets->Has(name)) {
      nets->String(name, "");
      return std::nullopt;
    }
    const auto net = ParseIpv4(nets->String(name));
    if (!net || (*net & 0xffff) != 0)
      nets->AddProblem(name, "expected an IPv4 address that ends with .0.0");
    return net;
  }

  void AddRegionsAndZones(Json* out) {
    Json regions = Json::array();
    Json zones = Json::array();
    for (JsonReader& it : reader_.Objects("regions", true)) {
      const std::string region = it.String("name");
      regions.push_back({{"name", region}});
      for (const std::string& zone : it.Strings("zones"))
        zones.push_back({{"name", zone}, {"region", region}});
      it.Finish();
    }
    (*out)["regions"] = std::move(regions);
    (*out)["zones"] = std::move(zones);
  }

  void AddLinks(Json* out) {
    static constexpr int64_t kMaxMbit = 100'000;
    static constexpr int64_t kBytesPerMbit = 125'000;
    Json links = Json::array();
    for (JsonReader& it : reader_.Objects("links")) {
      const auto ends = it.Strings("between");
      const int64_t mbit = it.Integer("mbit_per_second", 1, kMaxMbit);
      const int64_t one_way_ms = it.Integer("one_way_ms", 0, 10'000);
      it.Finish();
      if (ends.size() != 2) {
        it.AddProblem("between", "expected the names of two regions");
        continue;
      }
      for (const auto& [from, to] :
           {std::pair(ends[0], ends[1]), std::pair(ends[1], ends[0])}) {
        links.push_back({{"from", from},
                         {"to", to},
                         {"bytes_per_second", mbit * kBytesPerMbit},
                         {"one_way_ms", one_way_ms}});
      }
    }
    (*out)["links"] = std::move(links);
  }

  // Returns the addresses of one group: those listed in member `name`, or the
  // number of addresses given there, allocated from `net`. `next_host` is the
  // number of the next unused host.
  std::vector<std::string> Addresses(JsonReader* group, const char* name,
                                     const std::optional<uint32_t>& net,
                                     int64_t* next_host) {
    const Json* it =
        group->value().contains(name) ? &group->value()[name] : nullptr;
    if (it != nullptr && it->is_array()) return group->Strings(name);
    std::vector<std::string> out;
    const int64_t count = group->Integer(name, 1, kMaxInstances);
    if (!net) {
      group->AddProblem(
          name,
          "found a count without a net in /address_nets, expected "
          "that net or an array of addresses");
      return out;
    }
    for (int64_t i = 0; i < count; ++i) {
      const int64_t host = (*next_host)++;
      out.push_back(
          FormatIpv4(*net + static_cast<uint32_t>(host / kHostsPerNet * 256 +
                                                  host % kHostsPerNet + 1)));
    }
    return out;
  }

  void AddEntryVms(Json* out) {
    Json vms = Json::array();
    int64_t next_host = 0;
    for (JsonReader& it : reader_.Objects("entry_vms", true)) {
      const std::string zone = it.String("zone");
      const int64_t weight = it.Integer("weight", 1, 1000, 1);
      for (const auto& address :
           Addresses(&it, "instances", entry_vm_net_, &next_host)) {
        vms.push_back({{"id", fmt::format("entry-{}", vms.size() + 1)},
                       {"zone", zone},
                       {"address", address},
                       {"caller_port", ports_["caller"]},
                       {"peer_port", ports_["peer"]},
                       {"operator_port", ports_["operator"]},
                       {"weight", weight}});
      }
      it.Finish();
    }
    (*out)["entry_vms"] = std::move(vms);
  }

  void AddServices(Json* out) {
    Json services = Json::array();
    int64_t next_host = 0;
    for (JsonReader& it : reader_.Objects("services", true)) {
      const std::string name = it.String("name");
      const int64_t slots = it.Integer("slots", 1, 100'000);
      const int64_t connections = it.Integer("connections", 1, 1'000'000);
      const double service_ms = it.Number("typical_service_ms", 0.1, 60'000);
      const Json* routes = it.Array("routes", true);
      JsonReader instances = it.Object("instances");
      Json upstreams = Json::array();
      // The upstreams of each service start in a /24 net of their own.
      next_host = (next_host + kHostsPerNet - 1) / kHostsPerNet * kHostsPerNet;
      for (const auto& [zone, unused] : instances.value().items()) {
        int64_t in_zone = 0;
        for (const auto& address :
             Addresses(&instances, zone.c_str(), upstream_net_, &next_host)) {
          upstreams.push_back(
              {{"id", fmt::format("{}-{}-{}", name, zone, ++in_zone)},
               {"zone", zone},
               {"address", address},
               {"port", ports_["upstream"]},
               {"slots", slots},
               {"connections", connections}});
          capacity_ += static_cast<double>(slots) * 1000 / service_ms;
        }
      }
      instances.Finish();
      it.Finish();
      services.push_back({{"name", name},
                          {"routes", routes == nullptr ? Json() : *routes},
                          {"upstreams", std::move(upstreams)}});
    }
    (*out)["services"] = std::move(services);
  }

  void AddWorkspaces(Json* out) {
    JsonReader demo_keys = reader_.Object("demo_keys");
    Json workspaces = Json::array();
    for (JsonReader& it : reader_.Objects("workspaces", true)) {
      const std::string name = it.String("name");
      const double rate = it.Number("rate", 0.001, 1e6);
      const int64_t burst = it.Integer("burst", 1, 10'000'000);
      const int64_t weight = it.Integer("weight", 1, 1000, 1);
      Json keys = Json::array();
      if (const Json* digests = it.Array("keys")) keys = *digests;
      for (const std::string& key : demo_keys.Strings(name.c_str()))
        keys.push_back(ToHex(Sha256(key)));
      it.Finish();
      if (keys.empty()) {
        new_keys_.push_back({name, make_key_()});
        keys.push_back(ToHex(Sha256(new_keys_.back().key)));
      }
      rate_sum_ += rate;
      workspaces.push_back({{"name", name},
                            {"rate", rate},
                            {"burst", burst},
                            {"weight", weight},
                            {"keys", std::move(keys)}});
    }
    demo_keys.Finish();
    (*out)["workspaces"] = std::move(workspaces);
  }

  JsonReader reader_;
  const std::function<std::string()>& make_key_;
  std::map<std::string, int64_t> ports_ = {
      {"caller", 8080}, {"peer", 8081}, {"operator", 8082}, {"upstream", 9000}};
  std::optional<uint32_t> entry_vm_net_;
  std::optional<uint32_t> upstream_net_;
  std::vector<NewKey> new_keys_;
  double capacity_ = 0;
  double rate_sum_ = 0;
};

}  // namespace

std::string MakeKey() { return ToHex(RandomBytes(16)); }

Result<GeneratedConfig> GenerateConfig(
    std::string_view text, std::string_view source,
    const std::function<std::string()>& make_key) {
  const auto questionnaire = ParseJson(text, source);
  if (!questionnaire)
    return Fail(ConfigErrc::kSyntax, questionnaire.error().message);
  std::vector<JsonProblem> problems;
  Generator generator(*questionnaire, make_key, &problems);
  const Json document = generator.Run();
  GeneratedConfig out;
  // Problems of the questionnaire would be reported again for the document.
  if (problems.empty()) out.config = ReadConfig(document, &problems);
  if (!problems.empty())
    return tl::unexpected<Error>(InvalidConfig(source, problems));
  out.new_keys = generator.TakeNewKeys();
  out.capacity = generator.capacity();
  out.rate_sum = generator.rate_sum();
  return out;
}

}  // namespace rwf
