#include "rwf/apply_command.h"

#include <fmt/format.h>

#include <ostream>

#include "rwf/config_change.h"

namespace rwf {

ApplyCommand::ApplyCommand()
    : Command("apply", "FILE", "Apply a configuration file") {}

void ApplyCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("expect",
           "Generation to replace, by default the one the file was made from",
           cxxopts::value<uint64_t>());
  (*flags)("force", "Apply even if an overridable check fails");
}

int ApplyCommand::Execute(const Input& input, Environment* environment) {
  if (input.arguments.size() != 1)
    return ReportUsageError("expected one configuration file", environment);
  const auto config = ReadConfigFile(input.arguments[0]);
  if (!config) return ReportError(config.error(), environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;

  // A file carries the generation that it was made from, so that it cannot
  // silently revert a later change. The first configuration of a site replaces
  // generation 0.
  uint64_t expected = (*config)->generation;
  if (input.flags.count("expect") > 0) {
    expected = input.flags["expect"].as<uint64_t>();
  } else if (expected <= 1) {
    const auto current = FetchCurrentConfig(endpoint.get());
    if (!current) return ReportError(current.error(), environment);
    if (current->generation == 0) expected = 0;
  }
  const ChangeRequest request{
      input.StringFlag("who"), "apply " + input.arguments[0],
      input.flags.count("force") > 0, input.WantsJson()};
  bool conflict = false;
  const int status = PostConfig(endpoint.get(), request, **config, expected,
                                environment, &conflict);
  if (conflict)
    environment->err << fmt::format(
        "rwf: rejected: the file was made from generation {}, which is no "
        "longer in force\nMerge the other change into the file (rwf show "
        "--json, rwf diff) and apply it again.\n",
        expected);
  return status;
}

}  // namespace rwf
