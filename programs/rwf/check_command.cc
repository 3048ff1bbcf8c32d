#include "rwf/check_command.h"

#include <fmt/format.h>

#include <ostream>

#include "config/parser.h"
#include "config/sections.h"

namespace rwf {

CheckCommand::CheckCommand()
    : Command("check", "FILE", "Check a configuration file") {}

int CheckCommand::Execute(const Input& input, Environment* environment) {
  if (input.arguments.size() != 1)
    return ReportUsageError("expected one configuration file", environment);
  const auto text = ReadFile(input.arguments[0]);
  if (!text) return ReportError(text.error(), environment);
  const auto document = ParseJson(*text, input.arguments[0]);
  if (!document) return ReportError(document.error(), environment);
  std::vector<JsonProblem> problems;
  const auto config = ReadConfig(*document, &problems);
  if (config == nullptr && input.WantsJson()) {
    Json list = Json::array();
    for (const JsonProblem& it : problems)
      list.push_back({{"pointer", it.pointer}, {"message", it.message}});
    environment->out << Json{{"valid", false}, {"problems", list}}.dump()
                     << '\n';
    return kBadInput;
  }
  if (config == nullptr)
    return ReportError(InvalidConfig(input.arguments[0], problems),
                       environment);
  const auto index = SectionIndexOf(*config);
  if (!index) return ReportError(index.error(), environment);
  const std::string digest = ToHex(index->digest);
  if (input.WantsJson())
    environment->out << Json{{"valid", true},
                             {"generation", config->generation},
                             {"digest", digest}}
                            .dump()
                     << '\n';
  else
    environment->out << fmt::format("{}: valid, generation {}, digest {}\n",
                                    input.arguments[0], config->generation,
                                    digest);
  return kDone;
}

}  // namespace rwf
