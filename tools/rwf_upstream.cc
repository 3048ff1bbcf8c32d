#include <fmt/format.h>

#include "common/tool.h"
#include "upstream/fleet.h"

int main(int argc, char** argv) {
  rwf::Tool tool("rwf-upstream", "Test double of service instances.");
  tool.Add()("instances",
             "JSON list of {id, service, address, port, slots, connections, "
             "service_ms}",
             cxxopts::value<std::string>(),
             "FILE")("admin-address", "IPv4 address of the admin port",
                     cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "admin-port", "admin port; 0 selects a free port",
      cxxopts::value<uint16_t>()->default_value("7901"))(
      "seed", "seed of the service times",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "sigma", "spread of the logarithm of the service time",
      cxxopts::value<double>()->default_value("0.3"))(
      "cold-factor", "ratio of the service times of a cold and a warm instance",
      cxxopts::value<double>()->default_value("3"))(
      "cold-seconds", "time from the first request until an instance is warm",
      cxxopts::value<double>()->default_value("3"))(
      "load-lag-ms", "age of the load that GET /load reports",
      cxxopts::value<int64_t>()->default_value("500"));
  const auto& args = tool.Parse(argc, argv);
  if (args.count("instances") == 0)
    rwf::ExitWith(2, "rwf-upstream: --instances is required");
  rwf::InstanceOptions defaults;
  defaults.seed = args["seed"].as<uint64_t>();
  defaults.sigma = args["sigma"].as<double>();
  defaults.cold_factor = args["cold-factor"].as<double>();
  defaults.warm_up_time = rwf::FromSeconds(args["cold-seconds"].as<double>());
  defaults.load_lag =
      std::chrono::milliseconds(args["load-lag-ms"].as<int64_t>());
  const auto file = rwf::ReadJsonFile(args["instances"].as<std::string>());
  if (!file) rwf::ExitWith(2, "rwf-upstream: " + file.error().message);
  const auto instances = rwf::ReadInstances(*file, defaults);
  if (!instances)
    rwf::ExitWith(2, "rwf-upstream: " + instances.error().message);

  rwf::EventLoop loop;
  rwf::UpstreamFleet fleet(&loop, *instances);
  const auto& address = args["admin-address"].as<std::string>();
  const auto port = fleet.Start(address, args["admin-port"].as<uint16_t>());
  if (!port) rwf::ExitWith(1, "rwf-upstream: " + port.error().message);
  fmt::print(stderr, "rwf-upstream: {} instances, admin listening on {}:{}\n",
             instances->size(), address, *port);
  tool.StopLoopOnRequest(&loop);
  loop.Run();
  return 0;
}
