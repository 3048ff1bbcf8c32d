#include <benchmark/benchmark.h>

#include <string>

#include "traffic/admission_queue.h"

namespace rwf {
namespace {

// One request that arrives, is queued behind others of 74 workspaces, and
// leaves again.
void BmOffer(benchmark::State& state) {
  AdmissionQueue queue;
  TimePoint now{std::chrono::hours(1)};
  for (int n = 0; n < 20000; ++n) {
    now += std::chrono::microseconds(500);
    queue.OnEnded("s", now);
    queue.OnStarted("s", "w" + std::to_string(n % 74), 0, now);
  }
  uint64_t id = 0;
  WaitingRequest request;
  request.service = "s";
  request.run = std::chrono::milliseconds(300);
  request.in_time_until = now + std::chrono::seconds(1);
  request.ends_at = now + std::chrono::seconds(2);
  const auto offer = [&] {
    request.id = ++id;
    request.workspace = "w" + std::to_string(id % 74);
    return queue.Offer(request, now);
  };
  while (queue.size() < static_cast<size_t>(state.range(0))) offer();
  for (auto _ : state) {
    benchmark::DoNotOptimize(offer());
    queue.Cancel(id);
  }
}
BENCHMARK(BmOffer)->Arg(0)->Arg(16)->Arg(64)->Arg(250);

}  // namespace
}  // namespace rwf

BENCHMARK_MAIN();
