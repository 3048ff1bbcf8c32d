#include "rwf/command.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <ostream>
#include <system_error>

#include "config/parser.h"

namespace rwf {
namespace {

std::string Trimmed(const std::string& text) {
  static constexpr const char* kSpace = " \t\r\n";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

std::string UserName() {
  const char* name = std::getenv("USER");
  return name == nullptr || *name == '\0' ? "unknown" : name;
}

}  // namespace

int Command::Run(const std::vector<std::string>& arguments,
                 Environment* environment) {
  cxxopts::Options options("rwf " + name_, summary_);
  options.custom_help("[FLAGS]");
  options.positional_help(usage_);
  auto flags = options.add_options();
  flags("h,help", "Print this help");
  flags("json", "Print JSON instead of tables");
  AddFlags(&flags);
  options.add_options("positional")("arguments", "",
                                    cxxopts::value<std::vector<std::string>>());
  options.parse_positional("arguments");

  std::vector<const char*> argv = {"rwf"};
  for (const std::string& it : arguments) argv.push_back(it.c_str());
  try {
    Input input{options.parse(static_cast<int>(argv.size()), argv.data()), {}};
    if (input.flags.count("help") > 0) {
      environment->out << options.help({""}) << std::flush;
      return kDone;
    }
    if (input.flags.count("arguments") > 0)
      input.arguments = input.flags["arguments"].as<std::vector<std::string>>();
    return Execute(input, environment);
  } catch (const cxxopts::exceptions::exception& e) {
    return ReportUsageError(e.what(), environment);
  }
}

void Command::AddEndpointFlags(cxxopts::OptionAdder* flags) {
  (*flags)("endpoint", "Operator endpoint, http://ADDRESS:PORT",
           cxxopts::value<std::string>());
  (*flags)("token-file", "File with the operator token",
           cxxopts::value<std::string>());
  (*flags)("who", "Name for the audit record",
           cxxopts::value<std::string>()->default_value(UserName()));
}

std::unique_ptr<Endpoint> Command::Connect(const Input& input,
                                           Environment* environment) {
  for (const char* flag : {"endpoint", "token-file"}) {
    if (input.flags.count(flag) > 0) continue;
    environment->err << fmt::format("rwf: --{} is required\n", flag);
    return nullptr;
  }
  const auto token = ReadFile(input.StringFlag("token-file"));
  if (!token) {
    environment->err << "rwf: " << token.error().message << '\n';
    return nullptr;
  }
  return environment->connect(input.StringFlag("endpoint"), Trimmed(*token));
}

int Command::ReportUsageError(const std::string& message,
                              Environment* environment) const {
  environment->err << fmt::format("rwf {}: {}\nusage: rwf {} {} [FLAGS]\n",
                                  name_, message, name_, usage_);
  return kBadInput;
}

int Command::ReportError(const Error& error, Environment* environment) {
  environment->err << "rwf: " << error.message << '\n';
  return ExitStatusOf(error);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.good() || file.eof()) {
    if (file.is_open()) return text;
  }
  const std::error_code code(errno, std::generic_category());
  return Fail(code, fmt::format("{}: {}", path, code.message()));
}

Result<std::shared_ptr<const Config>> ReadConfigFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return tl::unexpected<Error>(text.error());
  return ParseConfig(*text, path);
}

std::string CellText(const Json& value) {
  if (value.is_null()) return "-";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string CellText(const Json& object, const char* name) {
  return object.is_object() && object.contains(name) ? CellText(object[name])
                                                     : "-";
}

}  // namespace rwf
