#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "common/response_body.h"

namespace rwf {

// How one attempt of a caller ended.
enum class AttemptResult {
  kAnswered,
  kNotRun,         // refused with X-Outcome: not-run
  kUnknown,        // refused with another outcome
  kInProgress,     // refused because an earlier attempt is still running
  kConnectFailed,  // surely nothing was sent
  kBroken,         // no whole response came
};

// What the attempts of a request together tell its caller.
enum class CallerOutcome { kAnswered, kNotRun, kUnknown, kNoResponse };

const char* CallerOutcomeName(CallerOutcome outcome);
CallerOutcome OutcomeOfAttempts(const std::vector<AttemptResult>& attempts);

// One request of a caller with all its attempts.
struct CallRecord {
  std::string load_id;
  std::string workspace;
  std::string service;
  bool is_idempotent = true;
  bool is_open = false;    // sent without a key
  bool is_poison = false;  // a request that crashes upstreams on purpose
  std::vector<AttemptResult> attempts;
  // An attempt was refused as rate-limited though the workspace had offered no
  // more than its rate and burst.
  bool was_limited_within_rate = false;
  // What the body of the answer states, if it was whole.
  std::optional<ResponseBody> response_body;
  std::string code;  // of the last refusal
  std::string vm;    // entry VM of the last attempt
  double latency_ms = 0;
  int64_t started_ms = 0;  // wall time
  int64_t ended_ms = 0;
};

// One line of an upstream's ledger.
struct RunRecord {
  std::string instance;
  std::string workspace;
  bool is_completed = false;
};

// What one request proves about the system.
struct Verdict {
  CallerOutcome outcome = CallerOutcome::kNoResponse;
  bool is_duplicated = false;
  bool is_lost = false;
  bool is_false_not_run = false;
  bool is_cross_workspace = false;
  bool is_broken_response = false;

  friend bool operator==(const Verdict&, const Verdict&) = default;
};

Verdict EvaluateCall(const CallRecord& call,
                     const std::vector<RunRecord>& runs);

// All requests of a run of the load generator and where they ran.
class LoadLedger {
 public:
  void AddCall(CallRecord call) { calls_.push_back(std::move(call)); }
  void AddRun(const std::string& load_id, RunRecord run) {
    runs_[load_id].push_back(std::move(run));
  }
  size_t size() const { return calls_.size(); }

  // Counts of verdicts and the latencies of answered requests. Requests that
  // crash upstreams on purpose count only towards what must never happen.
  Json Summary() const;

  // Each request with its verdict as one JSON line.
  std::string Lines() const;

 private:
  const std::vector<RunRecord>& RunsOf(const std::string& load_id) const;

  std::vector<CallRecord> calls_;
  std::map<std::string, std::vector<RunRecord>> runs_;
};

}  // namespace rwf
