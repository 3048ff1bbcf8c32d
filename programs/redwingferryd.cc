#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

#include "redwingferry/redwingferry.h"

int main(int argc, char** argv) {
  cxxopts::Options options("redwingferryd", "Runs an entry VM of redwingferry");
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
      return rwf::kExitUsage;
    }
    if (parsed.count("settings") == 0) {
      fmt::print(stderr, "redwingferryd: --settings is required\n");
      return rwf::kExitUsage;
    }
    return rwf::RunEntryVm(parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& e) {
    fmt::print(stderr, "redwingferryd: {}\n", e.what());
    return rwf::kExitUsage;
  }
}
