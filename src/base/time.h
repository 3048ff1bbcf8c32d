#pragma once

#include <chrono>
#include <cstdint>

namespace rwf {

// Durations and monotonic time points. Core modules take `now` as an argument
// and never read a clock.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time in whole milliseconds since the Unix epoch, for audit records
// and the creation time of idempotency keys.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Converts to fractional seconds, for rates and reports.
constexpr double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// Converts to whole milliseconds, rounded towards zero.
constexpr int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// Converts from seconds, which may be fractional.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace rwf
