// Prints results of membership and replica on virtual time, one JSON line each:
// {"name","value","unit","bar","ok"}. A line without a bar is for comparison.

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "membership/member_network.h"
#include "replica/random_history.h"
#include "replica/replica_fleet.h"

namespace rwf {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

struct FleetSize {
  size_t vms;
  size_t zones;
};
constexpr FleetSize kSizes[] = {{7, 6}, {28, 6}, {112, 10}, {680, 22}};

bool all_ok = true;

void Print(const std::string& name, double value, const char* unit,
           std::optional<double> bar) {
  const bool ok = !bar || value <= *bar;
  all_ok = all_ok && ok;
  nlohmann::ordered_json line = {
      {"name", name}, {"value", value}, {"unit", unit}};
  if (bar) {
    line["bar"] = *bar;
  } else {
    line["bar"] = nullptr;
  }
  line["ok"] = ok;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

std::string NameWithSize(const char* name, size_t vms) {
  return std::string(name) + "-" + std::to_string(vms);
}

ChangeRequest MakeRequest(uint64_t from) {
  ChangeRequest out;
  out.operation_id = "op" + std::to_string(from);
  out.from_generation = from;
  out.sections = {{"services", std::to_string(from)},
                  {"client_blocks", std::string(100'000, 'x')}};
  return out;
}

// Maximum time from an operator's request until the configuration is in force
// on all VMs, over 20 changes that propagate by watches.
void MeasureConfigPropagation(FleetSize size, double bar) {
  ReplicaFleet fleet(size.vms, size.zones, 1);
  Duration longest{};
  for (uint64_t n = 0; n < 20; ++n) {
    FleetChange change(&fleet, n % size.vms, MakeRequest(n));
    const TimePoint start = fleet.clock.now;
    while (!fleet.AllAtGeneration(n + 1) &&
           fleet.clock.now - start < minutes(1)) {
      fleet.clock.Run(std::chrono::milliseconds(1));
    }
    // The first change is excluded, because the VMs are still starting.
    if (n > 0) longest = std::max(longest, fleet.clock.now - start);
    fleet.clock.Run(seconds(5) + Duration(fleet.random() % 10'000'000'000));
  }
  Print(NameWithSize("config-in-force-ms", size.vms), ToMillis(longest), "ms",
        bar);
}

void MeasureConfigReverts() {
  int reverts = 0;
  for (uint64_t seed = 20'001; seed <= 22'000; ++seed) {
    RandomHistory history(seed);
    history.Run();
    reverts += history.reverts;
  }
  Print("config-reverts", reverts, "in 2000 histories", 0);
}

// Maximum time from a power failure to its detection by all VMs, over 10 seeds,
// or 3 for large fleets.
void MeasureDetection(FleetSize size) {
  Duration longest{};
  const int seeds = size.vms > 100 ? 3 : 10;
  for (int seed = 1; seed <= seeds; ++seed) {
    MemberNetwork net(size.vms, size.zones, seed);
    net.Run(seconds(5) + std::chrono::milliseconds(53 * seed));
    const TimePoint start = net.now;
    net.Crash(3, true);
    net.Run(seconds(6));
    const TimePoint detected_at =
        net.LastEventTime(MemberEventKind::kDead, "vm3");
    longest =
        std::max(longest, detected_at == TimePoint{} ? Duration(seconds(6))
                                                     : detected_at - start);
  }
  Print(NameWithSize("member-detect-ms", size.vms), ToMillis(longest), "ms",
        3000);
}

void MeasureFalseRemovals(FleetSize size) {
  size_t removals = 0;
  for (uint64_t seed = 101; seed <= 105; ++seed) {
    MemberNetwork net(size.vms, size.zones, seed);
    net.loss = 0.2;
    net.Run(minutes(10));
    removals += net.Count(MemberEventKind::kDead);
  }
  Print(NameWithSize("member-false-removals", size.vms), removals,
        "in 5 runs of 10 min at 20% loss, seeds 101 to 105", 0);
}

struct Cost {
  double bytes = 0;
  double busy_ns = 0;
};

// Mean cost per VM and second. With `changes`, all VMs adopt a new generation
// every 26 s (3,300 per day).
Cost MeasureCost(MemberNetwork* net, bool changes) {
  const Duration warm_up = seconds(net->nodes.size() > 300 ? 30 : 10);
  const Duration span = seconds(changes ? 52 : 20);
  net->Run(warm_up);
  for (auto& node : net->nodes) {
    node.bytes = 0;
    node.busy = {};
  }
  for (int n = 0; n < (changes ? 2 : 1); ++n) {
    if (changes) {
      for (auto& node : net->nodes) ++node.generation;
    }
    net->Run(span / (changes ? 2 : 1));
  }
  Cost out;
  for (auto& node : net->nodes) {
    out.bytes += node.bytes;
    out.busy_ns += node.busy.count();
  }
  out.bytes /= net->nodes.size() * ToSeconds(span);
  out.busy_ns /= net->nodes.size() * ToSeconds(span);
  return out;
}

// Time from when all VMs have adopted a generation until every VM knows that.
// Shares grow only afterwards.
void MeasureGenerationSpread(MemberNetwork* net) {
  const uint64_t generation = ++net->nodes[0].generation;
  for (auto& node : net->nodes) node.generation = generation;
  const TimePoint start = net->now;
  const auto is_known_to_all = [&] {
    return std::all_of(
        net->nodes.begin(), net->nodes.end(), [&](const auto& node) {
          return node.detector->roster().AllHaveGeneration(generation);
        });
  };
  while (!is_known_to_all() && net->now - start < minutes(2)) {
    net->Run(std::chrono::milliseconds(100));
  }
  Print(NameWithSize("generation-known-ms", net->nodes.size()),
        ToMillis(net->now - start), "ms", std::nullopt);
}

void MeasureMemberCost(FleetSize size) {
  constexpr double kBytesBar = 29'000;
  MemberNetwork net(size.vms, size.zones, 1);
  const Cost quiet = MeasureCost(&net, false);
  Print(NameWithSize("member-bytes-per-second", size.vms), quiet.bytes,
        "bytes/s", kBytesBar);
  Print(NameWithSize("member-cpu-ns-per-second", size.vms), quiet.busy_ns,
        "ns/s", 20e6);
  MeasureGenerationSpread(&net);
  const Cost busy = MeasureCost(&net, true);
  Print(NameWithSize("member-bytes-per-second-with-changes", size.vms),
        busy.bytes, "bytes/s", kBytesBar);
}

void MeasureFullMesh(FleetSize size) {
  MemberNetwork net(size.vms, size.zones, 1);
  net.full_mesh = true;
  const Cost cost = MeasureCost(&net, false);
  Print(NameWithSize("full-mesh-bytes-per-second", size.vms), cost.bytes,
        "bytes/s", std::nullopt);
  Print(NameWithSize("full-mesh-cpu-ns-per-second", size.vms), cost.busy_ns,
        "ns/s", std::nullopt);
}

// Store calls of the whole fleet in a minute without changes, compared with 2
// watchers per zone and one call per watch.
void MeasureStoreCalls(FleetSize size) {
  ReplicaFleet fleet(size.vms, size.zones, 1);
  FleetChange change(&fleet, 0, MakeRequest(0));
  fleet.clock.Run(seconds(30));
  const uint64_t before = fleet.server.calls();
  fleet.clock.Run(minutes(1));
  size_t watchers = 0;
  for (const auto& node : fleet.nodes) watchers += node.sync->is_watcher();
  const double formula = watchers / ToSeconds(StoreSync::kWatchTimeout);
  Print(NameWithSize("store-calls-per-second-formula", size.vms), formula,
        "calls/s", std::nullopt);
  // Each watcher may make one more call at the edges of the minute.
  Print(NameWithSize("store-calls-per-second", size.vms),
        (fleet.server.calls() - before) / 60.0, "calls/s",
        formula + watchers / 60.0);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("replica_bench");
  options.add_options()("full-mesh", "Measure the full mesh for comparison");
  const bool full_mesh = options.parse(argc, argv).count("full-mesh") > 0;
  if (full_mesh) {
    for (const FleetSize& size : kSizes) MeasureFullMesh(size);
    return 0;
  }
  MeasureConfigPropagation(kSizes[0], 1000);
  MeasureConfigPropagation(kSizes[2], 3000);
  MeasureConfigReverts();
  for (const FleetSize& size : kSizes) MeasureDetection(size);
  MeasureFalseRemovals(kSizes[0]);
  MeasureFalseRemovals(kSizes[1]);
  for (const FleetSize& size : kSizes) MeasureMemberCost(size);
  for (const FleetSize& size : kSizes) {
    if (size.vms <= 112) MeasureStoreCalls(size);
  }
  return all_ok ? 0 : 1;
}

}  // namespace
}  // namespace rwf

int main(int argc, char** argv) { return rwf::Main(argc, argv); }
