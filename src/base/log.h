#pragma once

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace rwf {

enum class LogLevel { kInfo, kWarning, kError };

// Writes one line to standard error: UTC time, level, event name, then
// `key=value` fields. Only state changes are logged; frequent events are
// counted in metrics instead.
void WriteLogLine(LogLevel level, std::string_view event,
                  std::string_view fields);

// Example:
//   Log(LogLevel::kInfo, "config_applied", "generation={} digest={}", n, hex);
template <typename... Args>
void Log(LogLevel level, std::string_view event,
         fmt::format_string<Args...> fields, Args&&... args) {
  WriteLogLine(level, event, fmt::format(fields, std::forward<Args>(args)...));
}

inline void Log(LogLevel level, std::string_view event) {
  WriteLogLine(level, event, "");
}

}  // namespace rwf
