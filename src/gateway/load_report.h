#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace rwf {

// What an instance reports of its load with each response.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  // How long work takes on the instance's machine; 1 is as usual. Only reported
  // by instances that share their machine with other programs.
  std::optional<double> machine_factor;
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Larger numbers of requests are bounded to this.
inline constexpr int64_t kMaxReportedRequests = 1'000'000;
// Bounds of the reported time of work, in percent of the usual time.
inline constexpr double kMinMachinePercent = 10;
inline constexpr double kMaxMachinePercent = 10'000;

// Parses "running,waiting,slots[,percent]". Returns nothing if one of the first
// two figures is malformed or no third follows. A malformed fourth figure is
// ignored.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace rwf
