#include "rwf/status_command.h"

#include <fmt/format.h>

#include <ostream>

#include "rwf/table.h"

namespace rwf {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(500);

// Returns the VMs that have not confirmed the generation. VMs that have left no
// longer accept requests and are skipped; a dead VM may only be unreachable and
// still serve.
std::vector<std::string> FindLaggingVms(const Json& vms, uint64_t generation) {
  std::vector<std::string> out;
  for (const Json& it : vms) {
    if (CellText(it, "state") == "left") continue;
    const bool has_generation = it.is_object() && it.contains("generation") &&
                                it["generation"].is_number_integer() &&
                                it["generation"].get<uint64_t>() >= generation;
    if (!has_generation)
      out.push_back(fmt::format("{} ({}, generation {})", CellText(it, "id"),
                                CellText(it, "state"),
                                CellText(it, "generation")));
  }
  return out;
}

void Print(const Json& status, bool as_json, std::ostream& out) {
  if (as_json) {
    out << status.dump() << '\n';
    return;
  }
  out << fmt::format("generation {}, digest {}\n",
                     CellText(status, "generation"),
                     CellText(status, "digest"));
  Table table({"VM", "ZONE", "STATE", "GENERATION", "READY", "LEAVING",
               "STORE CONTACT MS AGO"});
  for (const Json& it : status.at("vms")) {
    table.AddRow({CellText(it, "id"), CellText(it, "zone"),
                  CellText(it, "state"), CellText(it, "generation"),
                  CellText(it, "ready"), CellText(it, "leaving"),
                  CellText(it, "store_contact_age_ms")});
  }
  table.Print(out);
}

}  // namespace

StatusCommand::StatusCommand()
    : Command("status", "",
              "Show the VMs, or wait until all have applied a generation") {}

void StatusCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("wait", "Wait until every VM has applied this generation",
           cxxopts::value<uint64_t>());
  (*flags)("timeout-s", "Maximum time to wait",
           cxxopts::value<uint32_t>()->default_value("60"));
}

int StatusCommand::Execute(const Input& input, Environment* environment) {
  if (!input.arguments.empty())
    return ReportUsageError("expected no arguments", environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const bool is_waiting = input.flags.count("wait") > 0;
  const uint64_t generation =
      is_waiting ? input.flags["wait"].as<uint64_t>() : 0;
  Duration remaining =
      std::chrono::seconds(input.flags["timeout-s"].as<uint32_t>());
  for (;;) {
    const auto status = endpoint->Get("/v1/status");
    const bool has_vms =
        status && status->contains("vms") && status->at("vms").is_array();
    if (status && !has_vms)
      return ReportError({EndpointErrc::kFailed, "the response has no vms"},
                         environment);
    // While waiting, an endpoint that restarts is not an error.
    if (!status && (!is_waiting || remaining <= Duration::zero() ||
                    ExitStatusOf(status.error()) != kUnknown))
      return ReportError(status.error(), environment);
    const auto lagging = status ? FindLaggingVms(status->at("vms"), generation)
                                : std::vector<std::string>{};
    if (status && (!is_waiting || lagging.empty())) {
      Print(*status, input.WantsJson(), environment->out);
      return kDone;
    }
    if (remaining <= Duration::zero()) {
      Print(*status, input.WantsJson(), environment->out);
      environment->err << fmt::format(
          "rwf: generation {} is not confirmed by {}\n", generation,
          fmt::join(lagging, ", "));
      return kUnknown;
    }
    environment->sleep(kPollInterval);
    remaining -= kPollInterval;
  }
}

}  // namespace rwf
