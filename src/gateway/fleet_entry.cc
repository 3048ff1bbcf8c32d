#include "base/hash.h"
#include "base/json_reader.h"
#include "config/ipv4.h"
#include "gateway/fleet.h"

namespace rwf {
namespace {

// Upper bounds of the capacities in an entry, far above those of present VMs.
constexpr double kMaxLinkMbps = 1e7;
constexpr double kMaxCpuShare = 1024;

}  // namespace

uint64_t RandomSeed(const FleetVm& vm) { return Hash64(vm.vm, vm.incarnation); }

std::string FormatFleetVm(const FleetVm& vm) {
  return Json{{"zone", vm.zone},
              {"region", vm.region},
              {"address", vm.address},
              {"front_port", vm.front_port},
              {"peer_port", vm.peer_port},
              {"incarnation", vm.incarnation},
              {"link_mbps", vm.capacity.link_mbps},
              {"cpu_share", vm.capacity.cpu_share}}
      .dump();
}

Result<FleetVm> ParseFleetVm(const std::string& vm, const std::string& text) {
  Result<Json> json = ParseJson(text, vm);
  if (!json) return tl::unexpected<Error>(json.error());
  std::vector<JsonProblem> problems;
  JsonReader reader(*json, "", &problems);
  FleetVm out;
  out.vm = vm;
  out.zone = reader.String("zone");
  out.region = reader.String("region");
  out.address = reader.String("address");
  out.front_port =
      static_cast<uint16_t>(reader.Integer("front_port", 1, 65535));
  out.peer_port = static_cast<uint16_t>(reader.Integer("peer_port", 1, 65535));
  out.incarnation =
      static_cast<uint64_t>(reader.Integer("incarnation", 0, INT64_MAX));
  out.capacity.link_mbps = reader.Number("link_mbps", 0, kMaxLinkMbps, 0);
  out.capacity.cpu_share = reader.Number("cpu_share", 0, kMaxCpuShare, 0);
  if (!ParseIpv4(out.address)) reader.AddProblem("address", "is not IPv4");
  if (!problems.empty())
    return Fail(JsonErrc::kSchema, FormatProblems(problems));
  return out;
}

}  // namespace rwf
