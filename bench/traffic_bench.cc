#include <benchmark/benchmark.h>

#include <string>

#include "base/hash.h"
#include "traffic/fleet_limiter.h"
#include "traffic/placement.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

// One placement decision among instances in three regions, of which a part of
// 0 to 100 percent names a rate limit. With a third argument of 1, all report
// the speed of their machines.
void BmChoose(benchmark::State& state) {
  InstanceRegistry registry;
  InstanceNotices notices;
  InstanceNotice limit;
  limit.rate_limit = 3;
  const auto instances = static_cast<int>(state.range(0));
  for (int n = 0; n < instances; ++n) {
    InstanceInfo info;
    info.id = "i-" + std::to_string(Hash64(std::to_string(n)));
    info.service = "s";
    info.address = "10.0.0.1";
    info.port = 80;
    info.region = "region-" + std::to_string(n % 3);
    info.zone = info.region + "-a";
    info.slots = 6;
    InstanceState* it = registry.Put(info, kStart);
    if (state.range(2) == 1) it->machine()->OnReport(1.5, kStart);
    if (n % 100 < state.range(1)) notices.OnResponse(info, limit, kStart);
  }
  Placement placement({"region-0"}, &registry, &notices);
  PlacementRequest request;
  request.service = "s";
  request.route = "r";
  request.objective = std::chrono::milliseconds(600);
  request.time_left = std::chrono::milliseconds(2500);
  uint64_t n = 0;
  TimePoint now = kStart;
  for (auto _ : state) {
    request.object = Hash64(std::to_string(n % 300)) | 1;
    now += std::chrono::milliseconds(3);
    const PlacementChoice choice = placement.Choose(request, 5, 8, now);
    if (choice.instance != nullptr) {
      placement.OnSent(request, choice, 5, 8, now);
      choice.instance->OnSent(n, request.object, choice.healthy_latency, now);
    }
    if (n >= 50) {
      for (const auto& [id, it] : registry.all())
        it->OnEnded(n - 50, AttemptOutcome::kCancelled, now);
    }
    ++n;
    benchmark::DoNotOptimize(choice);
  }
}
BENCHMARK(BmChoose)
    ->Args({16, 0, 0})
    ->Args({152, 0, 0})
    ->Args({324, 0, 0})
    ->Args({324, 70, 0})
    ->Args({100, 0, 1})
    ->Args({324, 0, 1})
    ->Args({628, 0, 1})
    ->Args({3000, 0, 1});

// One admission while 24 peers report.
void BmAdmit(benchmark::State& state) {
  FleetLimiter limiter;
  TrafficWorkspace workspace;
  workspace.name = "w";
  workspace.rate = 1000;
  workspace.burst = 1000;
  TimePoint now = kStart;
  limiter.SetLimits({workspace}, now);
  std::vector<std::string> peers;
  peers.reserve(24);
  for (int n = 0; n < 24; ++n) peers.push_back("vm" + std::to_string(n));
  limiter.SetPeers(peers, now);
  for (const std::string& it : peers)
    limiter.OnReport(it, 1, {{"w", 10, 20, 900}}, now);
  for (auto _ : state) {
    now += std::chrono::milliseconds(1);
    benchmark::DoNotOptimize(limiter.TryAdmit("w", now));
  }
}
BENCHMARK(BmAdmit);

}  // namespace
}  // namespace rwf

BENCHMARK_MAIN();
