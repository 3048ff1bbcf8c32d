#include <chrono>
#include <cstdio>
#include <random>
#include <string>

#include "../tests/fairness/slot_sim.h"
#include "../tests/rates/fleet.h"

// Prints results of the share ledger and the fair queue as JSON lines. All but
// the time of one admission use virtual time and are deterministic.

namespace rwf {
namespace {

constexpr double kNoBar = -1;

void Print(const std::string& name, double value, const char* unit,
           double bar) {
  if (bar == kNoBar) {
    std::printf(
        "{\"name\":\"%s\",\"value\":%.6g,\"unit\":\"%s\",\"bar\":null,"
        "\"ok\":true}\n",
        name.c_str(), value, unit);
    return;
  }
  std::printf(
      "{\"name\":\"%s\",\"value\":%.6g,\"unit\":\"%s\",\"bar\":%.6g,"
      "\"ok\":%s}\n",
      name.c_str(), value, unit, bar, value <= bar ? "true" : "false");
}

// Baseline: a static share of the rate, as a floating-point token bucket.
struct StaticBucket {
  double level = 0;
  double rate = 0;
  double capacity = 0;
  TimePoint at;

  bool TryAdmit(TimePoint now) {
    level = std::min(capacity, level + rate * ToSeconds(now - at));
    at = now;
    if (level < 1) return false;
    level -= 1;
    return true;
  }
};

template <typename Admit>
double NanosPerCall(Admit admit) {
  constexpr int kCalls = 5'000'000;
  TimePoint now{std::chrono::hours(2)};
  int64_t admitted = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    now += Duration(700);
    admitted += admit(now) ? 1 : 0;
  }
  const auto end = std::chrono::steady_clock::now();
  if (admitted == 0) std::printf("{\"error\":\"no call was admitted\"}\n");
  return ToSeconds(end - begin) * 1e9 / kCalls;
}

void BenchAdmission() {
  const Config config = FleetConfig(7, 1'000'000, 1000);
  const TimePoint start{std::chrono::hours(1)};
  ShareLedger ledger("vm0", 1, start);
  ledger.ApplyConfig(config, start, 1);
  for (const EntryVm& vm : config.entry_vms)
    ledger.SetConfirmed(vm.id, 1, start);
  const ResourceHandle handle =
      ledger.Find(wire::ResourceKind::kWorkspaceRate, "ws");
  Print("rate-admit-ns", NanosPerCall([&](TimePoint now) {
          return ledger.TryAdmit(handle, now);
        }),
        "ns", 1000);
  StaticBucket bucket{0, 1e6 / 7, 1000.0 / 7, start};
  Print("rate-admit-ns-static",
        NanosPerCall([&](TimePoint now) { return bucket.TryAdmit(now); }), "ns",
        kNoBar);
}

template <typename Load>
void RunLoad(Fleet* fleet, int64_t ms, Load load) {
  for (int64_t i = 0; i < ms; ++i) {
    fleet->Advance(kMs);
    for (size_t v = 0; v < fleet->vms().size(); ++v) {
      const double rate = load(v);
      if (rate <= 0) continue;
      std::poisson_distribution<int> arrivals(rate / 1000);
      const int n = arrivals(fleet->random());
      for (int k = 0; k < n; ++k) fleet->Arrive(fleet->vms()[v]);
    }
  }
}

double RefusedPercent(const Fleet& fleet) {
  return 100.0 * static_cast<double>(fleet.refused()) /
         static_cast<double>(std::max<int64_t>(fleet.offered(), 1));
}

void BenchRefusals(bool loans) {
  const std::string suffix = loans ? "" : "-static";
  const auto none = [](size_t) { return 0.0; };
  {
    Fleet fleet(FleetConfig(7, 1000, 200), 11);
    fleet.network().loans = loans;
    fleet.StartAll();
    RunLoad(&fleet, 5000, none);
    const auto load = [](size_t v) { return v == 3 ? 950.0 : 0.0; };
    RunLoad(&fleet, 2000, load);
    fleet.ResetCounts();
    RunLoad(&fleet, 30'000, load);
    Print("rate-one-vm-refused-percent" + suffix, RefusedPercent(fleet),
          "percent", loans ? 0.1 : kNoBar);
  }
  double worst = 0;
  for (const bool even : {true, false}) {
    Fleet fleet(FleetConfig(7, 1000, 200), 12);
    fleet.network().loans = loans;
    fleet.StartAll();
    RunLoad(&fleet, 5000, none);
    const auto before = [&](size_t v) {
      return even ? 950.0 / 7 : v == 5 ? 950.0 : 0.0;
    };
    const auto after = [&](size_t v) {
      if (!even) return before(v);
      return v == 2 ? 0.0 : 950.0 / 6;
    };
    RunLoad(&fleet, 5000, before);
    fleet.Crash(fleet.vms()[2]);
    RunLoad(&fleet, 3000, after);
    fleet.ResetCounts();
    RunLoad(&fleet, 30'000, after);
    worst = std::max(worst, RefusedPercent(fleet));
  }
  Print("rate-vm-lost-refused-percent" + suffix, worst, "percent",
        loans ? 1 : kNoBar);
}

// Greedy callers during crashes, pauses, partitions and message loss.
void BenchExcess(bool loans) {
  double excess = 0;
  int64_t admitted = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(FleetConfig(7, 500, 100), seed);
    fleet.network() = {kMs, 80 * kMs, 5, 10, 5, loans};
    for (Fleet::Vm& vm : fleet.vms()) {
      vm.drift_ppm = fleet.Percent(50) ? 200 : -200;
    }
    fleet.StartAll();
    for (int64_t i = 0; i < 60'000; ++i) {
      fleet.Advance(kMs);
      Fleet::Vm& vm = fleet.vms()[fleet.Random(7)];
      const int64_t fault = fleet.Random(6000);
      if (fault == 0 && vm.alive) fleet.Crash(vm);
      if (fault < 6 && !vm.alive) fleet.Start(vm, fleet.newest());
      if (fault == 7) vm.paused_until = fleet.now() + fleet.Random(4000) * kMs;
      if (fault == 8) vm.side = 1 - vm.side;
      if (!fleet.IsRunning(vm)) continue;
      while (fleet.TryAdmit(vm)) {
      }
      vm.ledger->SetWaiting(vm.rate, fleet.Random(2) * 10);
    }
    excess = std::max(excess, fleet.excess());
    admitted += fleet.admitted();
  }
  const std::string suffix = loans ? "" : "-static";
  Print("rate-excess" + suffix, excess, "requests", loans ? 0 : kNoBar);
  Print("rate-excess-admitted" + suffix, static_cast<double>(admitted),
        "requests", kNoBar);
}

// Loan traffic at 95% of the rate, with all load on one VM and with even load.
void BenchMessages(int n) {
  for (const bool even : {true, false}) {
    Fleet fleet(FleetConfig(n, 1000, 200), 13);
    fleet.StartAll();
    RunLoad(&fleet, 5000, [](size_t) { return 0.0; });
    const auto load = [&](size_t v) {
      return even ? 950.0 / n : v == 0 ? 950.0 : 0.0;
    };
    RunLoad(&fleet, 3000, load);
    fleet.ResetCounts();
    const uint64_t messages = fleet.messages();
    const uint64_t bytes = fleet.bytes();
    constexpr int kSeconds = 10;
    RunLoad(&fleet, kSeconds * 1000, load);
    const std::string name =
        "-" + std::to_string(n) + "-vms" + (even ? "-even" : "-one-vm");
    Print("loan-messages-per-vm" + name,
          static_cast<double>(fleet.messages() - messages) / kSeconds / n,
          "1/s", kNoBar);
    Print("loan-bytes-per-vm" + name,
          static_cast<double>(fleet.bytes() - bytes) / kSeconds / n, "B/s",
          kNoBar);
    Print("loan-refused-percent" + name, RefusedPercent(fleet), "percent",
          kNoBar);
  }
}

void BenchFairness() {
  for (const bool fifo : {false, true}) {
    SlotSim sim;
    sim.fifo = fifo;
    sim.rates.assign(8, 0.7 * 900 / 8);
    sim.rates[0] = 0;
    const double without = sim.Run(60).others_p99_ms;
    sim.rates[0] = 8 * 0.7 * 900 / 8;
    const double with = sim.Run(60).others_p99_ms;
    Print(fifo ? "fair-p99-ratio-fifo" : "fair-p99-ratio", with / without,
          "ratio", fifo ? kNoBar : 1.5);
  }
}

void RunAll() {
  BenchAdmission();
  for (const bool loans : {true, false}) {
    BenchRefusals(loans);
    BenchExcess(loans);
  }
  for (const int n : {7, 28, 112}) BenchMessages(n);
  BenchFairness();
}

}  // namespace
}  // namespace rwf

int main() {
  rwf::RunAll();
  return 0;
}
