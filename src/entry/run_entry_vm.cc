#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iterator>

#include "entry/node.h"
#include "entry/settings.h"
#include "redwingferry/redwingferry.h"

namespace rwf {

int RunEntryVm(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    fmt::print(stderr, "redwingferryd: cannot read {}\n", path);
    return kExitUsage;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto settings = ParseSettings(text, path);
  if (!settings) {
    fmt::print(stderr, "redwingferryd: {}\n", settings.error().message);
    return kExitUsage;
  }
  EventLoop loop;
  Node node(&loop, *settings);
  const auto started = node.Start();
  if (!started) {
    fmt::print(stderr, "redwingferryd: {}\n", started.error().message);
    return kExitFailure;
  }
  for (int it : {SIGTERM, SIGINT}) {
    loop.OnSignal(it, [&node] { node.BeginStop(); });
  }
  loop.Run();
  return kExitSuccess;
}

}  // namespace rwf
