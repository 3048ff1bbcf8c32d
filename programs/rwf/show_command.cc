#include "rwf/show_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "config/parser.h"
#include "config/validator.h"
#include "rwf/config_change.h"
#include "rwf/table.h"

namespace rwf {

ShowCommand::ShowCommand()
    : Command("show", "", "Show the current configuration") {}

void ShowCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
}

int ShowCommand::Execute(const Input& input, Environment* environment) {
  if (!input.arguments.empty())
    return ReportUsageError("expected no arguments", environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const auto current = FetchCurrentConfig(endpoint.get());
  if (!current) return ReportError(current.error(), environment);
  if (current->config == nullptr) {
    environment->err << "rwf: no configuration is in force yet\n";
    return kRefused;
  }
  const Config& config = *current->config;
  if (input.WantsJson()) {
    // Prints the whole document, so that it can be edited and applied.
    environment->out << ConfigToJson(config).dump(2) << '\n';
    return kDone;
  }
  environment->out << fmt::format(
      "site {}, generation {}, digest {}\n"
      "{} regions, {} zones, {} client blocks, {} withdrawn keys\n\n",
      config.site, current->generation, current->digest, config.regions.size(),
      config.zones.size(), config.client_blocks.size(),
      config.withdrawn_keys.size());
  Table vms({"ENTRY VM", "ZONE", "ADDRESS", "WEIGHT", "STATE"});
  for (const EntryVm& it : config.entry_vms) {
    vms.AddRow({it.id, it.zone, it.address, fmt::format("{}", it.weight),
                it.retired                                      ? "retired"
                : config.IsDraining(DrainKind::kEntryVm, it.id) ? "draining"
                                                                : "in force"});
  }
  vms.Print(environment->out);
  environment->out << '\n';
  Table services({"SERVICE", "ZONE", "UPSTREAMS", "SLOTS"});
  for (const Service& service : config.services) {
    for (const Zone& zone : config.zones) {
      const auto n = std::count_if(
          service.upstreams.begin(), service.upstreams.end(),
          [&](const Upstream& it) { return it.zone == zone.name; });
      if (n > 0)
        services.AddRow({service.name, zone.name, fmt::format("{}", n),
                         fmt::format("{}", SlotsInZone(service, zone.name))});
    }
  }
  services.Print(environment->out);
  environment->out << '\n';
  Table workspaces({"WORKSPACE", "RATE", "BURST", "WEIGHT", "KEYS"});
  for (const Workspace& it : config.workspaces) {
    workspaces.AddRow(
        {it.name, fmt::format("{:g}", it.rate), fmt::format("{}", it.burst),
         fmt::format("{}", it.weight), fmt::format("{}", it.keys.size())});
  }
  workspaces.Print(environment->out);
  return kDone;
}

}  // namespace rwf
