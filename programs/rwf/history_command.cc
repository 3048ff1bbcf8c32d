#include "rwf/history_command.h"

#include <fmt/format.h>

#include <ostream>

#include "rwf/table.h"

namespace rwf {

HistoryCommand::HistoryCommand()
    : Command("history", "", "Show the audit records of changes") {}

void HistoryCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("limit", "Maximum number of records to show",
           cxxopts::value<uint32_t>()->default_value("20"));
}

int HistoryCommand::Execute(const Input& input, Environment* environment) {
  if (!input.arguments.empty())
    return ReportUsageError("expected no arguments", environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const auto response = endpoint->Get(
      fmt::format("/v1/history?limit={}", input.flags["limit"].as<uint32_t>()));
  if (!response) return ReportError(response.error(), environment);
  if (!response->contains("records") || !response->at("records").is_array())
    return ReportError({EndpointErrc::kFailed, "the response has no records"},
                       environment);
  if (input.WantsJson()) {
    environment->out << response->at("records").dump() << '\n';
    return kDone;
  }
  Table table({"FROM", "OUTCOME", "WHEN", "WHO", "ACTION", "OPERATION"});
  for (const Json& it : response->at("records")) {
    table.AddRow({CellText(it, "from_generation"), CellText(it, "outcome"),
                  CellText(it, "when"), CellText(it, "who"),
                  CellText(it, "action"), CellText(it, "operation_id")});
  }
  table.Print(environment->out);
  return kDone;
}

}  // namespace rwf
