#include "gateway/load_report.h"

#include <doctest/doctest.h>

#include <string>

#include "traffic/instance_registry.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against a fourth figure that changes the first three, and against
// values that a later computation cannot hold.
TEST_CASE("Load report, each form, is parsed or ignored") {
  struct Case {
    const char* text;
    std::optional<LoadReport> expected;
  };
  const Case cases[] = {
      {"3,1,9", LoadReport{3, 1, {}}},
      {"3,1,9,100", LoadReport{3, 1, 1.0}},
      {"3, 1, 9, 250", LoadReport{3, 1, 2.5}},
      {"3,1,9,87.5", LoadReport{3, 1, 0.875}},
      {"3,1,9,250,7", LoadReport{3, 1, 2.5}},
      {"3,1,9,", LoadReport{3, 1, {}}},
      {"3,1,9,x", LoadReport{3, 1, {}}},
      {"3,1,9,0", LoadReport{3, 1, {}}},
      {"3,1,9,-200", LoadReport{3, 1, {}}},
      {"3,1,9,nan", LoadReport{3, 1, {}}},
      {"3,1,9,inf", LoadReport{3, 1, {}}},
      {"3,1,9,250x", LoadReport{3, 1, {}}},
      {"3,1,9,1", LoadReport{3, 1, 0.1}},
      {"3,1,9,9223372036854775807", LoadReport{3, 1, 100.0}},
      {"9223372036854775807,9223372036854775807,9",
       LoadReport{kMaxReportedRequests, kMaxReportedRequests, {}}},
      {"-5,1,9", LoadReport{0, 1, {}}},
      {"9223372036854775808,1,9", std::nullopt},
      {"", std::nullopt},
      {"3", std::nullopt},
      {"3,1", std::nullopt},
      {"x,1,9", std::nullopt},
  };
  for (const Case& it : cases) {
    CAPTURE(it.text);
    CHECK(ParseLoadReport(it.text) == it.expected);
  }
}

// The sum of two figures near 2^63 overflowed as an integer, which made a full
// instance look empty.
TEST_CASE("Load report, figures near 2^63, count as a large load") {
  InstanceState state(InstanceInfo{});
  state.OnReport(INT64_MAX, INT64_MAX, kStart);
  CHECK(state.LoadAt(kStart) > 1e18);
}

}  // namespace
}  // namespace rwf
