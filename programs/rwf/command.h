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

// Flags and positional arguments of one call.
struct Input {
  cxxopts::ParseResult flags;
  std::vector<std::string> arguments;

  bool WantsJson() const { return flags["json"].as<bool>(); }
  std::string StringFlag(const std::string& flag) const {
    return flags[flag].as<std::string>();
  }
};

// One command of the program. Run() parses the command line, prints help and
// usage faults, and leaves the rest to Execute().
class Command {
 public:
  Command(std::string name, std::string usage, std::string summary)
      : name_(std::move(name)),
        usage_(std::move(usage)),
        summary_(std::move(summary)) {}
  virtual ~Command() = default;

  // `arguments` are those after the command's name. Returns an ExitStatus.
  int Run(const std::vector<std::string>& arguments, Environment* environment);

  const std::string& name() const { return name_; }
  const std::string& usage() const { return usage_; }
  const std::string& summary() const { return summary_; }

 protected:
  virtual void AddFlags(cxxopts::OptionAdder*) {}
  virtual int Execute(const Input& input, Environment* environment) = 0;

  // Adds --endpoint, --token-file and --who.
  static void AddEndpointFlags(cxxopts::OptionAdder* flags);
  // The endpoint that the flags name. Prints what is wrong when there is none.
  static std::unique_ptr<Endpoint> Connect(const Input& input,
                                           Environment* environment);

  // Prints `message` and the command's usage, returns kBadInput.
  int ReportUsageError(const std::string& message,
                       Environment* environment) const;
  // Prints an error and returns the exit status that it stands for.
  static int ReportError(const Error& error, Environment* environment);

 private:
  std::string name_;
  std::string usage_;  // arguments after the name, e.g. "add WORKSPACE"
  std::string summary_;
};

using Commands = std::vector<std::unique_ptr<Command>>;

// Every command, in the order of the help text.
Commands AllCommands();

// The whole program: finds the command and runs it.
int RunProgram(const std::vector<std::string>& arguments,
               Environment* environment);

// Contents of a file, or why it can't be read.
Result<std::string> ReadFile(const std::string& path);

// Reads and checks a configuration file.
Result<std::shared_ptr<const Config>> ReadConfigFile(const std::string& path);

// Text of a JSON value for a table: strings without quotes, null as "-".
std::string CellText(const Json& value);
// The member `name` of `object` as text, "-" when it is missing.
std::string CellText(const Json& object, const char* name);

}  // namespace rwf
