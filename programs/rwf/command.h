#pragma once

#include <cxxopts.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "config/config.h"
#include "rwf/environment.h"

namespace rwf {

// Parsed flags and positional arguments of a command line.
struct Input {
  cxxopts::ParseResult flags;
  std::vector<std::string> arguments;

  bool WantsJson() const { return flags["json"].as<bool>(); }
  std::string StringFlag(const std::string& flag) const {
    return flags[flag].as<std::string>();
  }
};

// One command of the program. Run() parses the command line, prints help and
// reports usage errors; Execute() does the rest.
class Command {
 public:
  Command(std::string name, std::string usage, std::string summary)
      : name_(std::move(name)),
        usage_(std::move(usage)),
        summary_(std::move(summary)) {}
  virtual ~Command() = default;

  // `arguments` are those after the command name. Returns an ExitStatus.
  int Run(const std::vector<std::string>& arguments, Environment* environment);

  const std::string& name() const { return name_; }
  const std::string& usage() const { return usage_; }
  const std::string& summary() const { return summary_; }

 protected:
  virtual void AddFlags(cxxopts::OptionAdder*) {}
  virtual int Execute(const Input& input, Environment* environment) = 0;

  // Adds --endpoint, --token-file and --who.
  static void AddEndpointFlags(cxxopts::OptionAdder* flags);
  // Connects to the endpoint that the flags name. Prints an error and returns
  // null if a flag is missing or the token cannot be read.
  static std::unique_ptr<Endpoint> Connect(const Input& input,
                                           Environment* environment);

  // Prints `message` and the command's usage, returns kBadInput.
  int ReportUsageError(const std::string& message,
                       Environment* environment) const;
  // Prints an error and returns its exit status.
  static int ReportError(const Error& error, Environment* environment);

 private:
  std::string name_;
  std::string usage_;  // positional arguments, e.g. "add WORKSPACE"
  std::string summary_;
};

using Commands = std::vector<std::unique_ptr<Command>>;

// All commands, in the order of the help text.
Commands AllCommands();

// Finds and runs the command that `arguments` name. Returns an ExitStatus.
int RunProgram(const std::vector<std::string>& arguments,
               Environment* environment);

// Returns the contents of a file, or an error with the reason.
Result<std::string> ReadFile(const std::string& path);

// Reads and validates a configuration file.
Result<std::shared_ptr<const Config>> ReadConfigFile(const std::string& path);

// Formats a JSON value for a table: strings without quotes, null as "-".
std::string CellText(const Json& value);
// Formats the member `name` of `object`, "-" if it is missing.
std::string CellText(const Json& object, const char* name);

}  // namespace rwf
