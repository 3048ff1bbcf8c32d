#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "entry/node.h"
#include "entry/settings.h"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int Run(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    fmt::print(stderr, "redwingferryd: cannot read {}\n", path);
    return kExitUsage;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto settings = rwf::ParseSettings(text, path);
  if (!settings) {
    fmt::print(stderr, "redwingferryd: {}\n", settings.error().message);
    return kExitUsage;
  }
  rwf::EventLoop loop;
  rwf::Node node(&loop, *settings);
  const auto started = node.Start();
  if (!started) {
    fmt::print(stderr, "redwingferryd: {}\n", started.error().message);
    return kExitFailed;
  }
  for (int it : {SIGTERM, SIGINT}) {
    loop.OnSignal(it, [&node] { node.BeginStop(); });
  }
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("redwingferryd", "Entry VM of redwingferry");
  options.add_options()("settings", "settings file (JSON with comments)",
                        cxxopts::value<std::string>())(
      "h,help", "show this help")("version", "show the version");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "redwingferryd " << RWF_VERSION << "\n";
      return 0;
    }
    if (!parsed.unmatched().empty()) {
      fmt::print(stderr, "redwingferryd: unknown argument {}\n",
                 parsed.unmatched().front());
      return kExitUsage;
    }
    if (parsed.count("settings") == 0) {
      fmt::print(stderr, "redwingferryd: --settings is required\n");
      return kExitUsage;
    }
    return Run(parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& e) {
    fmt::print(stderr, "redwingferryd: {}\n", e.what());
    return kExitUsage;
  }
}
