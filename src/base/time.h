#pragma once

#include <chrono>
#include <cstdint>

namespace rwf {

// Durations and monotonic instants. The core takes `now` as an argument and
// never reads a clock.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time in whole milliseconds since the Unix epoch, for audit records
// and minted keys.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// A duration in seconds as a floating-point number, for rates and reports.
constexpr double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// A duration in whole milliseconds, rounded towards zero.
constexpr int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// The duration of `seconds`, which may have a fraction.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace rwf
