#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "rwf/apply_command.h"
#include "rwf/check_command.h"
#include "rwf/command.h"
#include "rwf/diff_command.h"
#include "rwf/drain_command.h"
#include "rwf/explain_command.h"
#include "rwf/history_command.h"
#include "rwf/init_command.h"
#include "rwf/key_command.h"
#include "rwf/move_command.h"
#include "rwf/show_command.h"
#include "rwf/status_command.h"

namespace rwf {
namespace {

template <typename... T>
Commands MakeCommands() {
  Commands out;
  (out.push_back(std::make_unique<T>()), ...);
  return out;
}

void PrintHelp(const Commands& commands, std::ostream& out) {
  out << "usage: rwf COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
  for (const auto& it : commands)
    out << fmt::format("  {:<8} {:<45} {}\n", it->name(), it->usage(),
                       it->summary());
  out << "\nrwf COMMAND --help shows the flags of a command.\n"
         "Exit status: 0 done, 1 refused or rejected, 2 bad usage or input, 3 "
         "outcome unknown or endpoint unreachable.\n";
}

}  // namespace

Commands AllCommands() {
  return MakeCommands<InitCommand, CheckCommand, DiffCommand, ApplyCommand,
                      ShowCommand, HistoryCommand, KeyCommand, DrainCommand,
                      MoveCommand, StatusCommand, ExplainCommand>();
}

int RunProgram(const std::vector<std::string>& arguments,
               Environment* environment) {
  const Commands commands = AllCommands();
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "-h") {
    PrintHelp(commands, environment->out);
    return kDone;
  }
  if (name == "--version") {
    environment->out << "rwf " RWF_VERSION "\n";
    return kDone;
  }
  const auto it = std::find_if(
      commands.begin(), commands.end(),
      [&](const auto& command) { return command->name() == name; });
  if (it != commands.end())
    return (*it)->Run({arguments.begin() + 1, arguments.end()}, environment);
  if (!name.empty())
    environment->err << fmt::format("rwf: unknown {} {}\n",
                                    name[0] == '-' ? "flag" : "command", name);
  PrintHelp(commands, environment->err);
  return kBadInput;
}

}  // namespace rwf
