#include "load/load_ledger.h"

#include <doctest/doctest.h>

#include "load/offered_rate.h"

namespace rwf {
namespace {

using enum AttemptResult;

const ResponseBody kOwn = {"u1", "w", "1"};
const ResponseBody kOtherRequest = {"u1", "w", "2"};
const ResponseBody kOtherWorkspace = {"u1", "x", "1"};
const RunRecord kDone = {"u1", "w", true};
const RunRecord kAborted = {"u2", "w", false};
const RunRecord kForeign = {"u1", "x", true};
const RunRecord kAnonymous = {"u1", "", true};

// Guards against a violated guarantee that is reported as kept, or the reverse.
TEST_CASE("EvaluateCall, attempts and runs, returns the verdict") {
  enum Kind { kRead, kWrite, kOpen };
  struct Row {
    std::string name;
    Kind kind;
    std::vector<AttemptResult> attempts;
    std::optional<ResponseBody> response_body;
    std::vector<RunRecord> runs;
    Verdict expected;
  };
  const Row rows[] = {
      {"answered read",
       kRead,
       {kAnswered},
       kOwn,
       {kDone},
       {CallerOutcome::kAnswered}},
      {"answered write",
       kWrite,
       {kAnswered},
       kOwn,
       {kDone},
       {CallerOutcome::kAnswered}},
      {"read twice",
       kRead,
       {kBroken, kAnswered},
       kOwn,
       {kAborted, kDone},
       {CallerOutcome::kAnswered}},
      {"write twice",
       kWrite,
       {kBroken, kAnswered},
       kOwn,
       {kAborted, kDone},
       {.outcome = CallerOutcome::kAnswered, .is_duplicated = true}},
      {"write answered, not run",
       kWrite,
       {kAnswered},
       kOwn,
       {},
       {.outcome = CallerOutcome::kAnswered, .is_lost = true}},
      {"write answered, aborted",
       kWrite,
       {kAnswered},
       kOwn,
       {kAborted},
       {.outcome = CallerOutcome::kAnswered, .is_lost = true}},
      {"refused", kWrite, {kNotRun, kNotRun}, {}, {}, {CallerOutcome::kNotRun}},
      {"refused, ran",
       kRead,
       {kNotRun},
       {},
       {kDone},
       {.outcome = CallerOutcome::kNotRun, .is_false_not_run = true}},
      {"refused after no connection",
       kRead,
       {kConnectFailed, kNotRun},
       {},
       {},
       {CallerOutcome::kNotRun}},
      {"refused after a broken attempt",
       kWrite,
       {kBroken, kNotRun},
       {},
       {kDone},
       {CallerOutcome::kUnknown}},
      {"unknown",
       kWrite,
       {kBroken, kUnknown},
       {},
       {kAborted},
       {CallerOutcome::kUnknown}},
      {"in progress",
       kWrite,
       {kBroken, kInProgress},
       {},
       {kDone},
       {CallerOutcome::kUnknown}},
      {"no connection",
       kRead,
       {kConnectFailed, kConnectFailed},
       {},
       {},
       {.outcome = CallerOutcome::kNoResponse, .is_lost = true}},
      {"only broken",
       kRead,
       {kBroken, kBroken},
       {},
       {kDone},
       {.outcome = CallerOutcome::kNoResponse, .is_lost = true}},
      {"no attempt",
       kRead,
       {},
       {},
       {},
       {.outcome = CallerOutcome::kNoResponse, .is_lost = true}},
      {"response body truncated",
       kRead,
       {kAnswered},
       {},
       {kDone},
       {.outcome = CallerOutcome::kAnswered, .is_broken_response = true}},
      {"response to another request",
       kRead,
       {kAnswered},
       kOtherRequest,
       {kDone},
       {.outcome = CallerOutcome::kAnswered, .is_broken_response = true}},
      {"ran for another workspace",
       kRead,
       {kUnknown},
       {},
       {kForeign},
       {.outcome = CallerOutcome::kUnknown, .is_cross_workspace = true}},
      {"response for another workspace",
       kRead,
       {kAnswered},
       kOtherWorkspace,
       {kDone},
       {.outcome = CallerOutcome::kAnswered, .is_cross_workspace = true}},
      {"key dropped",
       kRead,
       {kUnknown},
       {},
       {kAnonymous},
       {.outcome = CallerOutcome::kUnknown, .is_cross_workspace = true}},
      {"open route",
       kOpen,
       {kUnknown},
       {},
       {kAnonymous},
       {CallerOutcome::kUnknown}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CallRecord call;
    call.load_id = "1";
    call.workspace = "w";
    call.is_idempotent = row.kind != kWrite;
    call.is_open = row.kind == kOpen;
    call.attempts = row.attempts;
    call.response_body = row.response_body;
    CHECK(EvaluateCall(call, row.runs) == row.expected);
  }
}

TEST_CASE("OfferedRate, burst then rate, conforms until one request more") {
  const TimePoint start{};
  OfferedRate offered(10, 3, start);
  for (int n = 0; n < 3; ++n) CHECK(offered.Offer(start));
  CHECK_FALSE(offered.Offer(start));
  CHECK_FALSE(offered.Offer(start + std::chrono::milliseconds(199)));
  CHECK(offered.Offer(start + std::chrono::milliseconds(310)));
}

}  // namespace
}  // namespace rwf
