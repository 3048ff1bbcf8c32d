#include "gateway/deadline_reader.h"

#include <algorithm>
#include <charconv>

namespace rwf {
namespace {

Duration ParseDeadline(const std::string& text) {
  int64_t ms = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, ms);
  if (end != last || text.empty() || ec == std::errc::invalid_argument)
    return DeadlineReader::kDefaultDeadline;
  constexpr int64_t kMaxMs = ToMillis(DeadlineReader::kMaxDeadline);
  if (ec == std::errc::result_out_of_range)
    ms = text.starts_with('-') ? 0 : kMaxMs;
  return std::chrono::milliseconds(std::clamp<int64_t>(ms, 0, kMaxMs));
}

}  // namespace

RequestDeadline DeadlineReader::Read(const std::string& text,
                                     const TrafficRoute& route) {
  const Duration deadline = ParseDeadline(text);
  Duration left = deadline - kDeadlineMargin;
  if (route.timeout > Duration::zero()) left = std::min(left, route.timeout);
  Duration& longest = longest_[route.name];
  longest = std::max(longest, deadline);
  return {std::max(left, Duration::zero()), deadline < longest - kRetryGap};
}

}  // namespace rwf
