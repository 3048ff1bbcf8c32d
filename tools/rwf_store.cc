#include <fmt/format.h>

#include "common/tool.h"
#include "store/store_server.h"

int main(int argc, char** argv) {
  rwf::Tool tool("rwf-store",
                 "Test double of the platform's key-value service.");
  tool.Add()("address", "IPv4 address to listen on",
             cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "port to listen on; 0 selects a free port",
      cxxopts::value<uint16_t>()->default_value("7900"))(
      "writes-per-second", "writes above this rate get a 429 response",
      cxxopts::value<double>()->default_value("300"))(
      "reads-per-second", "reads above this rate get a 429 response",
      cxxopts::value<double>()->default_value("2000"))(
      "vms-lag-ms", "delay of the list of VMs",
      cxxopts::value<int64_t>()->default_value("2000"));
  const auto& args = tool.Parse(argc, argv);
  rwf::EventLoop loop;
  rwf::StoreServer server(
      &loop, {args["writes-per-second"].as<double>(),
              args["reads-per-second"].as<double>(),
              std::chrono::milliseconds(args["vms-lag-ms"].as<int64_t>())});
  const auto& address = args["address"].as<std::string>();
  const auto port = server.Listen(address, args["port"].as<uint16_t>());
  if (!port) rwf::ExitWith(1, "rwf-store: " + port.error().message);
  fmt::print(stderr, "rwf-store: listening on {}:{}\n", address, *port);
  tool.StopLoopOnRequest(&loop);
  loop.Run();
  return 0;
}
