#include "gateway/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace rwf {
namespace {

// Removes and returns the text before the next comma. Returns nothing if there
// is no further field.
std::optional<std::string_view> NextField(
    std::optional<std::string_view>* rest) {
  if (!rest->has_value()) return std::nullopt;
  const std::string_view text = **rest;
  const size_t comma = text.find(',');
  std::string_view out = text.substr(0, comma);
  *rest = comma == std::string_view::npos
              ? std::nullopt
              : std::optional(text.substr(comma + 1));
  while (!out.empty() && out.front() == ' ') out.remove_prefix(1);
  while (!out.empty() && out.back() == ' ') out.remove_suffix(1);
  return out;
}

template <typename T>
std::optional<T> ParseNumber(std::optional<std::string_view> text) {
  if (!text) return std::nullopt;
  T n{};
  const char* end = text->data() + text->size();
  const auto [next, ec] = std::from_chars(text->data(), end, n);
  if (ec != std::errc() || next != end) return std::nullopt;
  return n;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::optional<std::string_view> rest = text;
  const auto running = ParseNumber<int64_t>(NextField(&rest));
  const auto waiting = ParseNumber<int64_t>(NextField(&rest));
  if (!running || !waiting || !NextField(&rest)) return std::nullopt;
  LoadReport out;
  out.running = std::clamp<int64_t>(*running, 0, kMaxReportedRequests);
  out.waiting = std::clamp<int64_t>(*waiting, 0, kMaxReportedRequests);
  const auto percent = ParseNumber<double>(NextField(&rest));
  if (percent && std::isfinite(*percent) && *percent > 0) {
    out.machine_factor =
        std::clamp(*percent, kMinMachinePercent, kMaxMachinePercent) / 100;
  }
  return out;
}

}  // namespace rwf
