#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "common/response_body.h"

namespace rwf {

// Result of one attempt of a request.
enum class AttemptResult {
  kAnswered,
  kNotRun,         // refused with X-Outcome: not-run
  kUnknown,        // refused with another outcome
  kInProgress,     // refused because an earlier attempt is still running
  kConnectFailed,  // nothing was sent
  kBroken,         // no complete response was received
};

// What a caller learns from all attempts of a request.
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
  // Fields of the response body, if it was complete.
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

// Outcome of one request and the guarantees that it shows to be violated.
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

  // Returns verdict counts and the latencies of answered requests. Poison
  // requests count only towards the guarantees that hold for every request.
  Json Summary() const;

  // Returns each request with its verdict as one JSON line.
  std::string Lines() const;

 private:
  const std::vector<RunRecord>& RunsOf(const std::string& load_id) const;

  std::vector<CallRecord> calls_;
  std::map<std::string, std::vector<RunRecord>> runs_;
};

}  // namespace rwf
