#include "base/log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

namespace rwf {

void WriteLogLine(LogLevel level, std::string_view event,
                  std::string_view fields) {
  static constexpr std::array<const char*, 3> kNames = {"info", "warning",
                                                        "error"};
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count() %
                  1000;
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}{}{}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
             kNames[static_cast<size_t>(level)], event,
             fields.empty() ? "" : " ", fields);
}

}  // namespace rwf
