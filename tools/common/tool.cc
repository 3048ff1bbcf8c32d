#include "common/tool.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace rwf {

Tool::Tool(const std::string& name, const std::string& purpose)
    : name_(name), options_(name, purpose) {
  options_.add_options()("help", "print this help")("version",
                                                    "print the version")(
      "stop-after", "stop after SECONDS; 0 means never",
      cxxopts::value<double>()->default_value("0"), "SECONDS");
}

const cxxopts::ParseResult& Tool::Parse(int argc, char** argv) {
  try {
    parsed_ = options_.parse(argc, argv);
  } catch (const std::exception& e) {
    ExitWith(2, fmt::format("{}: {}", name_, e.what()));
  }
  if (parsed_.count("help") > 0) {
    fmt::print("{}", options_.help());
    std::exit(0);
  }
  if (parsed_.count("version") > 0) {
    fmt::print("{} {}\n", name_, RWF_VERSION);
    std::exit(0);
  }
  if (!parsed_.unmatched().empty()) {
    ExitWith(2, fmt::format("{}: unexpected argument '{}'", name_,
                            parsed_.unmatched().front()));
  }
  return parsed_;
}

void Tool::StopLoopOnRequest(EventLoop* loop) {
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop->OnSignal(signal_number, [loop] { loop->Stop(); });
  }
  const double seconds = parsed_["stop-after"].as<double>();
  if (seconds > 0) {
    stop_timer_ = loop->After(FromSeconds(seconds), [loop] { loop->Stop(); });
  }
}

Result<Json> ReadJsonFile(const std::string& path) {
  const std::ifstream in(path);
  if (!in) return Fail(JsonErrc::kSyntax, fmt::format("cannot read {}", path));
  std::ostringstream text;
  text << in.rdbuf();
  return ParseJson(text.str(), path);
}

void ExitWith(int code, const std::string& message) {
  fmt::print(stderr, "{}\n", message);
  std::exit(code);
}

}  // namespace rwf
