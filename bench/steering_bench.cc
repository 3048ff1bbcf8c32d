// Prints one JSON line for each result of the modules steering and once:
// {"name","value","unit","bar","ok"}; bar is null where none is set. Times are
// for one thread; simulations run in virtual time with fixed seeds.

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet_sim.h"
#include "once_sim.h"
#include "poison_sim.h"
#include "sample_fleet.h"
#include "steering/entry_selector.h"

namespace rwf {
namespace {

bool all_ok = true;

void Report(const std::string& name, double value, const char* unit,
            std::optional<double> bar) {
  const bool ok = !bar || value <= *bar;
  all_ok = all_ok && ok;
  fmt::print(
      "{{\"name\":\"{}\",\"value\":{:.6g},\"unit\":\"{}\",\"bar\":{},\"ok\":{}}"
      "}"
      "\n",
      name, value, unit, bar ? fmt::format("{:.6g}", *bar) : "null", ok);
  std::fflush(stdout);
}

// Mean time of one call in nanoseconds.
template <typename F>
double Measure(int n, F&& call) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < n; ++i) call(i);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / n;
}

void BenchLookup() {
  constexpr int kBlocks = 360'000;
  auto config = std::make_shared<Config>(MakeFleetConfig(6, 4, 12, 3, 680));
  pcg32 rng(1);
  for (int i = 0; i < kBlocks; ++i) {
    const auto length = static_cast<uint8_t>(16 + rng(9));
    const uint32_t mask = ~uint32_t{0} << (32 - length);
    config->client_blocks.push_back(
        {rng() & mask, length, config->zones[rng(24)].name});
  }
  const EntrySelector selector(config);
  constexpr int kCalls = 1'000'000;
  std::vector<uint32_t> clients;
  for (int i = 0; i < kCalls; ++i) {
    uint32_t client = rng();
    if (i % 2 == 0) {
      client = config->client_blocks[rng(kBlocks)].address + rng(256);
    }
    clients.push_back(client);
  }
  uint64_t sum = 0;
  Report("steer-lookup-ns",
         Measure(kCalls,
                 [&](int i) {
                   sum += selector.client_table().Find(clients[i]).zone;
                 }),
         "ns", 2000);
  Report("steer-table-bytes",
         static_cast<double>(selector.client_table().MemoryBytes()), "bytes",
         8e6);
  // The complete look-up response, with 680 VMs in 24 zones.
  Report("steer-answer-ns",
         Measure(100'000,
                 [&](int i) {
                   sum += selector
                              .Select(clients[i], "desk",
                                      [](size_t) { return true; })
                              .size();
                 }),
         "ns", std::nullopt);
  if (sum == 0) fmt::print(stderr, "no look-up response\n");
}

class BenchSlots : public SlotSource {
 public:
  explicit BenchSlots(bool free) : free_(free) {}
  bool TryAcquire(size_t, TimePoint) override { return free_; }

 private:
  const bool free_;
};

class BenchLinks : public LinkBudget {
 public:
  bool HasCapacity(size_t, TimePoint) override { return true; }
};

void BenchDecision() {
  for (const int instances : {12, 30, 3000}) {
    const Config config = MakeFleetConfig(3, 2, instances, 6, 7);
    for (const bool free : {true, false}) {
      UpstreamSelector selector(config, 0, config.zones[0].name);
      BenchSlots slots(free);
      BenchLinks links;
      pcg32 rng(1);
      TimePoint now{std::chrono::seconds(100)};
      for (int i = 0; i < instances; ++i) {
        selector.OnReport(i, {static_cast<double>(i % 6), 6, now});
      }
      const double ns = Measure(200'000, [&](int i) {
        now += std::chrono::microseconds(10);
        const auto got = selector.Select(slots, links, std::nullopt, rng, now);
        if (!got) return;
        selector.OnSuccess(got->instance, std::chrono::milliseconds(1 + i % 7),
                           now);
      });
      Report(fmt::format("steer-decision-ns-{}{}", instances,
                         free ? "" : "-no-slot"),
             ns, "ns", 5000);
    }
  }
}

// A fleet of 30 instances of 6 slots, 7 entry VMs and 6 zones.
void BenchFleet() {
  const Config config = MakeFleetConfig(3, 2, 30, 6, 7);
  constexpr int kSeeds = 5;
  const auto p99 = [&](SimPolicy policy, bool loans) {
    double sum = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SimOptions options;
      options.policy = policy;
      options.loans = loans;
      options.seed = seed;
      sum += FleetSim(config, options).Run().p99_ms;
    }
    return sum / kSeeds;
  };
  const double ideal = p99(SimPolicy::kIdealQueue, true);
  Report("steer-p99-ratio", p99(SimPolicy::kSelector, true) / ideal, "ratio",
         1.3);
  Report("steer-p99-ratio-without-loans",
         p99(SimPolicy::kSelector, false) / ideal, "ratio", std::nullopt);
  Report("steer-p99-ratio-round-robin",
         p99(SimPolicy::kRoundRobin, true) / ideal, "ratio", std::nullopt);
  Report("steer-p99-ratio-least-reported",
         p99(SimPolicy::kLeastReportedLoad, true) / ideal, "ratio",
         std::nullopt);

  for (const SimPolicy policy :
       {SimPolicy::kSelector, SimPolicy::kRoundRobin}) {
    double peak = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (size_t zone = 0; zone < config.zones.size(); ++zone) {
        SimOptions options;
        options.policy = policy;
        options.seed = seed;
        options.length = std::chrono::seconds(30);
        options.failed_zone = zone;
        peak =
            std::max(peak, FleetSim(config, options).Run().region_peak_percent);
      }
    }
    const bool is_selector = policy == SimPolicy::kSelector;
    Report(is_selector ? "steer-region-peak-percent"
                       : "steer-region-peak-percent-round-robin",
           peak, "%", is_selector ? std::optional<double>(100) : std::nullopt);
  }
}

void BenchOnce() {
  OnceSimResult sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    OnceSimOptions options;
    options.seed = seed;
    const OnceSimResult result = OnceSim(options).Run();
    sum.runs += result.runs;
    sum.not_run += result.not_run;
    sum.duplicate_runs += result.duplicate_runs;
    sum.false_not_run += result.false_not_run;
  }
  Report("once-runs", static_cast<double>(sum.runs), "runs", std::nullopt);
  Report("once-duplicates", static_cast<double>(sum.duplicate_runs), "runs", 0);
  Report("once-not-run", static_cast<double>(sum.not_run), "refusals",
         std::nullopt);
  Report("once-false-not-run", static_cast<double>(sum.false_not_run),
         "refusals", 0);

  const TimePoint now{std::chrono::seconds(10)};
  const WallTime wall{std::chrono::seconds(1'000'000)};
  const std::vector<std::string> secrets = {"current", "previous"};
  ClaimLedger ledger(7);
  ClaimClient client({"vm-1", 7}, &ledger);
  wire::StoredOutcomeT outcome;
  outcome.body.assign(64, 'x');
  const std::string prefix =
      IdempotencyKey::MintPrefix("vm-1", 7, 1'000'000, secrets[0]);
  // Key parsing, digests, grant and result at the home VM.
  Report("once-claim-ns",
         Measure(80'000,
                 [&](int i) {
                   const std::string text = fmt::format("{}.{}", prefix, i);
                   const auto key = IdempotencyKey::Parse(text, secrets, wall);
                   const ClaimDecision decision = client.Begin(
                       *key, ClaimDigest("workspace", text),
                       RequestDigest("POST", "/desk/orders", "{\"n\":1}"),
                       now + std::chrono::seconds(1), now, wall);
                   client.Finish(decision.request_id,
                                 wire::ClaimEnd::kCompleted, &outcome, now);
                 }),
         "ns", std::nullopt);
}

void BenchPoison() {
  double mean_crashed = 0;
  const auto run = [&](Duration retry_delay) {
    PoisonSimResult worst;
    mean_crashed = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      PoisonSimOptions options;
      options.seed = seed;
      options.retry_delay = retry_delay;
      const PoisonSimResult result = PoisonSim(options).Run();
      worst.crashed_instances =
          std::max(worst.crashed_instances, result.crashed_instances);
      mean_crashed += result.crashed_instances / 100.0;
      worst.benign_blocked += result.benign_blocked;
      worst.benign_refusals += result.benign_refusals;
    }
    return worst;
  };
  const PoisonSimResult delayed = run(std::chrono::milliseconds(100));
  // Two instances, or three if a benign request was in flight at both crashes.
  Report("poison-victims", delayed.crashed_instances, "instances",
         CrashGuard::kInstancesToBlockIfAmbiguous);
  Report("poison-victims-mean", mean_crashed, "instances", std::nullopt);
  Report("poison-innocents-blocked", delayed.benign_blocked, "requests", 0);
  Report("poison-innocent-refusals", delayed.benign_refusals, "refusals",
         std::nullopt);
  // Retried before the crash suspicion has reached the other VMs.
  const PoisonSimResult immediate = run(Duration::zero());
  Report("poison-victims-immediate-resend", immediate.crashed_instances,
         "instances", std::nullopt);
  Report("poison-innocents-blocked-immediate-resend", immediate.benign_blocked,
         "requests", std::nullopt);
}

}  // namespace
}  // namespace rwf

int main() {
  rwf::BenchLookup();
  rwf::BenchDecision();
  rwf::BenchFleet();
  rwf::BenchOnce();
  rwf::BenchPoison();
  return rwf::all_ok ? 0 : 1;
}
