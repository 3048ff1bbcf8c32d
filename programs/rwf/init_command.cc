#include "rwf/init_command.h"

#include <fmt/format.h>

#include <fstream>
#include <ostream>

#include "config/parser.h"
#include "config/questionnaire.h"
#include "rwf/table.h"

namespace rwf {

InitCommand::InitCommand()
    : Command("init", "QUESTIONNAIRE --output FILE",
              "Generate a configuration from a questionnaire") {}

void InitCommand::AddFlags(cxxopts::OptionAdder* flags) {
  (*flags)("output", "File to write the configuration to",
           cxxopts::value<std::string>());
  (*flags)("force", "Replace the file if it exists");
}

int InitCommand::Execute(const Input& input, Environment* environment) {
  if (input.arguments.size() != 1 || input.flags.count("output") == 0)
    return ReportUsageError("expected a questionnaire and --output",
                            environment);
  const auto text = ReadFile(input.arguments[0]);
  if (!text) return ReportError(text.error(), environment);
  const auto generated =
      GenerateConfig(*text, input.arguments[0], environment->make_key);
  if (!generated) return ReportError(generated.error(), environment);

  const std::string path = input.StringFlag("output");
  // Keys cannot be recovered from the digests in an existing file, so it is not
  // replaced by default.
  if (input.flags.count("force") == 0 && std::ifstream(path).is_open()) {
    environment->err << fmt::format(
        "rwf: {} exists; use --force to replace it\n", path);
    return kRefused;
  }
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << ConfigToJson(*generated->config).dump(2) << '\n' << std::flush;
  if (!file) {
    environment->err << fmt::format("rwf: {} cannot be written\n", path);
    return kBadInput;
  }

  const double percent = generated->rate_sum / generated->capacity * 100;
  environment->err << fmt::format(
      "The slots can handle {:.0f} requests/s at the typical service times; "
      "the rates sum to {:g}, which is {:.0f} %.\n",
      generated->capacity, generated->rate_sum, percent);
  if (percent > 100)
    environment->err << "If all workspaces use their full rates at once, "
                        "requests are queued or refused.\n";
  if (input.WantsJson()) {
    Json keys = Json::array();
    for (const NewKey& it : generated->new_keys)
      keys.push_back({{"workspace", it.workspace}, {"key", it.key}});
    environment->out << Json{{"output", path}, {"new_keys", keys}}.dump()
                     << '\n';
    return kDone;
  }
  if (generated->new_keys.empty()) return kDone;
  environment->out << "These keys are shown only once and are not stored:\n";
  Table table({"WORKSPACE", "KEY"});
  for (const NewKey& it : generated->new_keys)
    table.AddRow({it.workspace, it.key});
  table.Print(environment->out);
  return kDone;
}

}  // namespace rwf
