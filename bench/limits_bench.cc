#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../tests/limits/limit_fleet.h"
#include "traffic/fleet_limiter.h"

// Prints how the limits of workspaces are used by fleets of several sizes, as
// JSON lines on virtual time: refusals within the rate, and messages and bytes
// that each VM sends for it. The mesh, in which every VM reports its usage to
// every other one, stands beside it.

namespace rwf {
namespace {

// Part of the rate that is requested.
constexpr double kUsualLoad = 0.62;
constexpr double kMaxRefusedPercent = 0.1;
// Budget of a VM for all control traffic.
constexpr double kMaxBytesPerSecond = 29'000;
constexpr int kSeconds = 10;
constexpr size_t kMaxMeshVms = 118;
constexpr double kNoBar = -1;

void Print(const std::string& name, size_t vms, double value, const char* unit,
           double bar) {
  if (bar == kNoBar) {
    std::printf(
        "{\"name\":\"%s-%zu\",\"value\":%.4g,\"unit\":\"%s\",\"bar\":null,"
        "\"ok\":true}\n",
        name.c_str(), vms, value, unit);
  } else {
    std::printf(
        "{\"name\":\"%s-%zu\",\"value\":%.4g,\"unit\":\"%s\",\"bar\":%.4g,"
        "\"ok\":%s}\n",
        name.c_str(), vms, value, unit, bar, value <= bar ? "true" : "false");
  }
  std::fflush(stdout);
}

// Three workspaces for two VMs; a tenth of them has most of the requests.
std::vector<TrafficWorkspace> Workspaces(size_t vms) {
  std::vector<TrafficWorkspace> out;
  for (size_t n = 0; n < vms * 3 / 2 + 1; ++n) {
    TrafficWorkspace it;
    it.name = "w" + std::to_string(n);
    it.rate = n % 10 == 0 ? 150 : 8;
    it.burst = it.rate;
    out.push_back(std::move(it));
  }
  return out;
}

void MeasureKeepers(size_t vms) {
  const std::vector<TrafficWorkspace> workspaces = Workspaces(vms);
  LimitFleet fleet(vms, workspaces);
  fleet.Run(std::chrono::seconds(2), [](size_t, size_t) { return 0.0; });
  fleet.ResetCounts();
  fleet.Run(std::chrono::seconds(kSeconds), [&](size_t, size_t w) {
    return workspaces[w].rate * kUsualLoad / static_cast<double>(vms);
  });
  const double vm_seconds = static_cast<double>(vms) * kSeconds;
  Print("limit-refused-percent", vms, fleet.RefusedFraction() * 100, "%",
        kMaxRefusedPercent);
  Print("limit-messages", vms, static_cast<double>(fleet.messages) / vm_seconds,
        "1/s", kNoBar);
  Print("limit-bytes", vms, static_cast<double>(fleet.bytes) / vm_seconds,
        "B/s", kMaxBytesPerSecond);
}

void MeasureMesh(size_t vms) {
  const std::vector<TrafficWorkspace> workspaces = Workspaces(vms);
  constexpr Duration kStep = std::chrono::milliseconds(10);
  const Duration period =
      std::max<Duration>(std::chrono::milliseconds(100),
                         FromSeconds(static_cast<double>(vms) / 120));
  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random(7);
  std::vector<std::unique_ptr<FleetLimiter>> limiters;
  std::vector<TimePoint> report_at;
  for (size_t n = 0; n < vms; ++n) {
    limiters.push_back(std::make_unique<FleetLimiter>());
    limiters[n]->SetTolerance({0.1, 20, std::chrono::seconds(5)});
    limiters[n]->SetReportPeriod(period);
    limiters[n]->SetLimits(workspaces, now);
    std::vector<std::string> peers;
    for (size_t k = 0; k < vms; ++k) {
      if (k != n) peers.push_back(std::to_string(k));
    }
    limiters[n]->SetPeers(peers, now);
    report_at.push_back(now +
                        period * static_cast<int>(n) / static_cast<int>(vms));
  }
  size_t requested = 0;
  size_t refused = 0;
  size_t messages = 0;
  size_t bytes = 0;
  std::uniform_int_distribution<size_t> pick(0, vms - 1);
  const TimePoint begin = now + std::chrono::seconds(2);
  const TimePoint end = begin + std::chrono::seconds(kSeconds);
  for (; now < end; now += kStep) {
    for (size_t w = 0; w < workspaces.size() && now >= begin; ++w) {
      std::poisson_distribution<int> arrivals(workspaces[w].rate * kUsualLoad *
                                              ToSeconds(kStep));
      for (int k = arrivals(random); k > 0; --k) {
        ++requested;
        if (!limiters[pick(random)]->TryAdmit(workspaces[w].name, now))
          ++refused;
      }
    }
    for (size_t n = 0; n < vms; ++n) {
      if (now < report_at[n]) continue;
      report_at[n] = now + period;
      const auto report = limiters[n]->Report(false, now);
      for (size_t k = 0; k < vms; ++k) {
        if (k == n) continue;
        limiters[k]->OnReport(std::to_string(n), 1, report, now);
        if (now < begin) continue;
        ++messages;
        bytes += 16 + 24 * report.size();
      }
    }
  }
  const double vm_seconds = static_cast<double>(vms) * kSeconds;
  Print("mesh-limit-refused-percent", vms,
        100.0 * static_cast<double>(refused) / static_cast<double>(requested),
        "%", kNoBar);
  Print("mesh-limit-messages", vms, static_cast<double>(messages) / vm_seconds,
        "1/s", kNoBar);
  Print("mesh-limit-bytes", vms, static_cast<double>(bytes) / vm_seconds, "B/s",
        kNoBar);
}

}  // namespace
}  // namespace rwf

int main() {
  for (const size_t vms : {7, 28, 118, 300, 680}) {
    rwf::MeasureKeepers(vms);
    if (vms <= rwf::kMaxMeshVms) rwf::MeasureMesh(vms);
  }
}
