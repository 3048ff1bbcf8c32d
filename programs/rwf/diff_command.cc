#include "rwf/diff_command.h"

#include <ostream>

#include "config/diff.h"
#include "rwf/table.h"

namespace rwf {

DiffCommand::DiffCommand()
    : Command("diff", "BEFORE AFTER",
              "Show the differences between two files") {}

int DiffCommand::Execute(const Input& input, Environment* environment) {
  if (input.arguments.size() != 2)
    return ReportUsageError("expected two configuration files", environment);
  const auto before = ReadConfigFile(input.arguments[0]);
  if (!before) return ReportError(before.error(), environment);
  const auto after = ReadConfigFile(input.arguments[1]);
  if (!after) return ReportError(after.error(), environment);
  const auto entries = DiffConfigs(**before, **after);
  if (input.WantsJson()) {
    Json list = Json::array();
    for (const DiffEntry& it : entries) list.push_back(ToJson(it));
    environment->out << list.dump() << '\n';
    return kDone;
  }
  Table table({"PATH", "KIND", "BEFORE", "AFTER"});
  for (const DiffEntry& it : entries)
    table.AddRow(
        {it.path, ToText(it.kind), CellText(it.before), CellText(it.after)});
  table.Print(environment->out);
  return kDone;
}

}  // namespace rwf
