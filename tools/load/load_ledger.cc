#include "load/load_ledger.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rwf {
namespace {

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto n = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(std::max<size_t>(n, 1) - 1);
  std::nth_element(values.begin(), nth, values.end());
  return std::round(*nth * 100) / 100;
}

}  // namespace

const char* CallerOutcomeName(CallerOutcome outcome) {
  static constexpr std::array<const char*, 4> kNames = {"answered", "not-run",
                                                        "unknown", "nothing"};
  return kNames[static_cast<size_t>(outcome)];
}

CallerOutcome OutcomeOfAttempts(const std::vector<AttemptResult>& attempts) {
  const auto has = [&](AttemptResult result) {
    return std::find(attempts.begin(), attempts.end(), result) !=
           attempts.end();
  };
  if (has(AttemptResult::kAnswered)) return CallerOutcome::kAnswered;
  if (has(AttemptResult::kUnknown) || has(AttemptResult::kInProgress))
    return CallerOutcome::kUnknown;
  // A "not-run" refusal covers only its own attempt. An earlier broken attempt
  // may have run.
  if (has(AttemptResult::kNotRun))
    return has(AttemptResult::kBroken) ? CallerOutcome::kUnknown
                                       : CallerOutcome::kNotRun;
  return CallerOutcome::kNoResponse;
}

Verdict EvaluateCall(const CallRecord& call,
                     const std::vector<RunRecord>& runs) {
  Verdict out;
  out.outcome = OutcomeOfAttempts(call.attempts);
  const bool is_answered = out.outcome == CallerOutcome::kAnswered;
  const bool has_completed =
      std::any_of(runs.begin(), runs.end(),
                  [](const RunRecord& it) { return it.is_completed; });
  const auto is_foreign = [&](const std::string& workspace) {
    return workspace != call.workspace && !(call.is_open && workspace.empty());
  };
  out.is_duplicated = !call.is_idempotent && runs.size() > 1;
  out.is_lost = out.outcome == CallerOutcome::kNoResponse ||
                (is_answered && !call.is_idempotent && !has_completed);
  out.is_false_not_run = out.outcome == CallerOutcome::kNotRun && !runs.empty();
  out.is_broken_response =
      is_answered &&
      (!call.response_body || call.response_body->load_id != call.load_id);
  out.is_cross_workspace =
      std::any_of(
          runs.begin(), runs.end(),
          [&](const RunRecord& it) { return is_foreign(it.workspace); }) ||
      (call.response_body && is_foreign(call.response_body->workspace));
  return out;
}

const std::vector<RunRecord>& LoadLedger::RunsOf(
    const std::string& load_id) const {
  static const std::vector<RunRecord> kNone;
  const auto it = runs_.find(load_id);
  return it == runs_.end() ? kNone : it->second;
}

Json LoadLedger::Summary() const {
  std::map<std::string, int64_t> n = {{"sent", 0},
                                      {"answered", 0},
                                      {"refused_not_run", 0},
                                      {"refused_within_rate", 0},
                                      {"unknown", 0},
                                      {"duplicated", 0},
                                      {"lost", 0},
                                      {"false_not_run", 0},
                                      {"cross_workspace", 0},
                                      {"broken_answers", 0},
                                      {"attempts", 0},
                                      {"poison_sent", 0}};
  std::map<std::string, std::vector<double>> latencies;
  std::vector<double> all;
  std::map<std::string, int64_t> codes;
  for (const CallRecord& call : calls_) {
    const Verdict verdict = EvaluateCall(call, RunsOf(call.load_id));
    n["duplicated"] += verdict.is_duplicated ? 1 : 0;
    n["false_not_run"] += verdict.is_false_not_run ? 1 : 0;
    n["cross_workspace"] += verdict.is_cross_workspace ? 1 : 0;
    n["broken_answers"] += verdict.is_broken_response ? 1 : 0;
    if (call.is_poison) {
      ++n["poison_sent"];
      continue;
    }
    ++n["sent"];
    n["attempts"] += static_cast<int64_t>(call.attempts.size());
    n["lost"] += verdict.is_lost ? 1 : 0;
    n["refused_within_rate"] += call.was_limited_within_rate ? 1 : 0;
    if (verdict.outcome == CallerOutcome::kNotRun) ++n["refused_not_run"];
    if (verdict.outcome == CallerOutcome::kUnknown) ++n["unknown"];
    if (verdict.outcome != CallerOutcome::kAnswered) {
      if (!call.code.empty()) ++codes[call.code];
      continue;
    }
    ++n["answered"];
    all.push_back(call.latency_ms);
    latencies[call.workspace].push_back(call.latency_ms);
  }
  Json out = n;
  out["refusal_codes"] = codes;
  out["p50_ms"] = Percentile(all, 0.5);
  out["p99_ms"] = Percentile(all, 0.99);
  out["p99_ms_by_workspace"] = Json::object();
  for (auto& [workspace, values] : latencies) {
    out["p99_ms_by_workspace"][workspace] = Percentile(values, 0.99);
  }
  return out;
}

std::string LoadLedger::Lines() const {
  static constexpr std::array<const char*, 6> kResultNames = {
      "answered",    "not-run",        "unknown",
      "in-progress", "connect-failed", "broken"};
  std::string out;
  for (const CallRecord& call : calls_) {
    const std::vector<RunRecord>& runs = RunsOf(call.load_id);
    const Verdict verdict = EvaluateCall(call, runs);
    Json line = {
        {"load_id", call.load_id},
        {"workspace", call.workspace},
        {"service", call.service},
        {"idempotent", call.is_idempotent},
        {"open", call.is_open},
        {"poison", call.is_poison},
        {"told", CallerOutcomeName(verdict.outcome)},
        {"code", call.code},
        {"vm", call.vm},
        {"instance", call.response_body ? call.response_body->instance : ""},
        {"latency_ms", call.latency_ms},
        {"started_ms", call.started_ms},
        {"ended_ms", call.ended_ms},
        {"duplicated", verdict.is_duplicated},
        {"lost", verdict.is_lost},
        {"false_not_run", verdict.is_false_not_run},
        {"cross_workspace", verdict.is_cross_workspace},
        {"broken_answer", verdict.is_broken_response},
        {"limited_within_rate", call.was_limited_within_rate}};
    for (const AttemptResult it : call.attempts)
      line["attempts"].push_back(kResultNames[static_cast<size_t>(it)]);
    for (const RunRecord& it : runs) line["ran_at"].push_back(it.instance);
    out += line.dump() + "\n";
  }
  return out;
}

}  // namespace rwf
