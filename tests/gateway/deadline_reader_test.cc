#include "gateway/deadline_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace rwf {
namespace {

// Guards against deadlines that overflow sums of times, and against other text
// than a number.
TEST_CASE("Deadline, any text, is within the range") {
  struct Row {
    std::string text;
    Duration time_left;
  };
  const Duration margin = DeadlineReader::kDeadlineMargin;
  const Duration longest = DeadlineReader::kMaxDeadline - margin;
  const Duration fallback = DeadlineReader::kDefaultDeadline - margin;
  const std::vector<Row> rows = {
      {"3000", std::chrono::milliseconds(3000) - margin},
      {"39", Duration::zero()},
      {"0", Duration::zero()},
      {"-1", Duration::zero()},
      {"-9223372036854775808", Duration::zero()},
      {"-9223372036854775809", Duration::zero()},
      {"3600000", longest},
      {"3600001", longest},
      {"9223372036854", longest},
      {"9223372036854775807", longest},
      {"9223372036854775808", longest},
      {std::string(100, '9'), longest},
      {"", fallback},
      {"soon", fallback},
      {"10s", fallback},
      {"1e3", fallback},
      {"+5", fallback},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    DeadlineReader reader;
    CHECK(reader.Read(row.text, TrafficRoute{}).time_left == row.time_left);
  }
}

TEST_CASE("Deadline, beyond the timeout of the route, is the timeout") {
  DeadlineReader reader;
  TrafficRoute route;
  route.timeout = std::chrono::milliseconds(900);
  CHECK(reader.Read("3000", route).time_left == route.timeout);
  CHECK(reader.Read("500", route).time_left ==
        std::chrono::milliseconds(500) - DeadlineReader::kDeadlineMargin);
}

// Guards against further attempts for callers that would come again themselves.
TEST_CASE("Deadline, shorter than before on its route, tells of a retry") {
  DeadlineReader reader;
  TrafficRoute route;
  route.name = "a";
  CHECK_FALSE(reader.Read("2000", route).is_retry);
  CHECK_FALSE(reader.Read("1950", route).is_retry);
  CHECK(reader.Read("1900", route).is_retry);
  CHECK_FALSE(reader.Read("4000", route).is_retry);
  CHECK(reader.Read("2000", route).is_retry);
  route.name = "b";
  CHECK_FALSE(reader.Read("1000", route).is_retry);
}

}  // namespace
}  // namespace rwf
