#include "load/load_ledger.h"

#include <doctest/doctest.h>

#include "load/offered_rate.h"

namespace rwf {
namespace {

using enum AttemptEnd;

const AnswerBody kOwn = {"u1", "w", "1"};
const AnswerBody kOtherRequest = {"u1", "w", "2"};
const AnswerBody kOtherWorkspace = {"u1", "x", "1"};
const RunRecord kDone = {"u1", "w", true};
const RunRecord kCut = {"u2", "w", false};
const RunRecord kForeign = {"u1", "x", true};
const RunRecord kAnonymous = {"u1", "", true};

// Guards the proofs against judging a broken promise as kept, or the reverse.
TEST_CASE("Judge, attempts and runs, gives the verdict") {
  enum Kind { kRead, kWrite, kOpen };
  struct Row {
    std::string name;
    Kind kind;
    std::vector<AttemptEnd> attempts;
    std::optional<AnswerBody> answer;
    std::vector<RunRecord> runs;
    Verdict expected;
  };
  const Row rows[] = {
      {"answered read", kRead, {kAnswered}, kOwn, {kDone}, {Told::kAnswered}},
      {"answered write", kWrite, {kAnswered}, kOwn, {kDone}, {Told::kAnswered}},
      {"read twice",
       kRead,
       {kBroken, kAnswered},
       kOwn,
       {kCut, kDone},
       {Told::kAnswered}},
      {"write twice",
       kWrite,
       {kBroken, kAnswered},
       kOwn,
       {kCut, kDone},
       {.told = Told::kAnswered, .is_duplicated = true}},
      {"write answered, not run",
       kWrite,
       {kAnswered},
       kOwn,
       {},
       {.told = Told::kAnswered, .is_lost = true}},
      {"write answered, cut",
       kWrite,
       {kAnswered},
       kOwn,
       {kCut},
       {.told = Told::kAnswered, .is_lost = true}},
      {"refused", kWrite, {kNotRun, kNotRun}, {}, {}, {Told::kNotRun}},
      {"refused, ran",
       kRead,
       {kNotRun},
       {},
       {kDone},
       {.told = Told::kNotRun, .is_false_not_run = true}},
      {"refused after no connection",
       kRead,
       {kConnectFailed, kNotRun},
       {},
       {},
       {Told::kNotRun}},
      {"refused after a broken attempt",
       kWrite,
       {kBroken, kNotRun},
       {},
       {kDone},
       {Told::kUnknown}},
      {"unknown", kWrite, {kBroken, kUnknown}, {}, {kCut}, {Told::kUnknown}},
      {"in progress",
       kWrite,
       {kBroken, kInProgress},
       {},
       {kDone},
       {Told::kUnknown}},
      {"no connection",
       kRead,
       {kConnectFailed, kConnectFailed},
       {},
       {},
       {.told = Told::kNothing, .is_lost = true}},
      {"only broken",
       kRead,
       {kBroken, kBroken},
       {},
       {kDone},
       {.told = Told::kNothing, .is_lost = true}},
      {"no attempt",
       kRead,
       {},
       {},
       {},
       {.told = Told::kNothing, .is_lost = true}},
      {"answer not whole",
       kRead,
       {kAnswered},
       {},
       {kDone},
       {.told = Told::kAnswered, .is_broken_answer = true}},
      {"answer of another",
       kRead,
       {kAnswered},
       kOtherRequest,
       {kDone},
       {.told = Told::kAnswered, .is_broken_answer = true}},
      {"ran for another",
       kRead,
       {kUnknown},
       {},
       {kForeign},
       {.told = Told::kUnknown, .is_cross_workspace = true}},
      {"answer for another",
       kRead,
       {kAnswered},
       kOtherWorkspace,
       {kDone},
       {.told = Told::kAnswered, .is_cross_workspace = true}},
      {"key dropped",
       kRead,
       {kUnknown},
       {},
       {kAnonymous},
       {.told = Told::kUnknown, .is_cross_workspace = true}},
      {"open route", kOpen, {kUnknown}, {}, {kAnonymous}, {Told::kUnknown}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CallRecord call;
    call.load_id = "1";
    call.workspace = "w";
    call.is_idempotent = row.kind != kWrite;
    call.is_open = row.kind == kOpen;
    call.attempts = row.attempts;
    call.answer = row.answer;
    CHECK(Judge(call, row.runs) == row.expected);
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
