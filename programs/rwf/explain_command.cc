#include "rwf/explain_command.h"

#include <fmt/format.h>

#include <ostream>

#include "config/codec.h"
#include "config/ipv4.h"

namespace rwf {

ExplainCommand::ExplainCommand()
    : Command("explain", "--service S --client IP --workspace W",
              "Show where a request would go, and why") {}

void ExplainCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("service", "Service of the request", cxxopts::value<std::string>());
  (*flags)("client", "IPv4 address of the client",
           cxxopts::value<std::string>());
  (*flags)("workspace", "Workspace of the caller",
           cxxopts::value<std::string>());
}

int ExplainCommand::Execute(const Input& input, Environment* environment) {
  if (!input.arguments.empty())
    return ReportUsageError("expected no arguments", environment);
  for (const char* flag : {"service", "client", "workspace"}) {
    if (input.flags.count(flag) == 0)
      return ReportUsageError(fmt::format("--{} is required", flag),
                              environment);
    // Validated here, so that the values need no escaping in the path.
    const std::string value = input.StringFlag(flag);
    const bool is_valid = std::string_view(flag) == "client"
                              ? ParseIpv4(value).has_value()
                              : IsValidName(value);
    if (!is_valid)
      return ReportUsageError(
          fmt::format("--{}: found {}, expected {}", flag, value,
                      std::string_view(flag) == "client" ? "an IPv4 address"
                                                         : "a name"),
          environment);
  }
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const auto response = endpoint->Get(
      fmt::format("/v1/explain?service={}&client={}&workspace={}",
                  input.StringFlag("service"), input.StringFlag("client"),
                  input.StringFlag("workspace")));
  if (!response) return ReportError(response.error(), environment);
  if (input.WantsJson()) {
    environment->out << response->dump() << '\n';
    return kDone;
  }
  for (const char* list : {"entry_vms", "upstreams"}) {
    environment->out << fmt::format("{}:\n", list);
    if (!response->contains(list)) continue;
    int rank = 0;
    for (const Json& it : response->at(list))
      environment->out << fmt::format("  {}. {}\n", ++rank, CellText(it));
  }
  environment->out << fmt::format("reason: {}\n",
                                  CellText(*response, "reason"));
  return kDone;
}

}  // namespace rwf
