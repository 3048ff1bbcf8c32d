#pragma once

#include <compare>
#include <map>
#include <string>

#include "base/time.h"
#include "traffic/cost_estimator.h"

namespace rwf {

// Runs that share an estimate of their time.
struct RunClass {
  std::string service;
  std::string route;
  CostEstimator::RunKind kind = CostEstimator::RunKind::kNoObject;
  friend bool operator==(const RunClass&, const RunClass&) = default;
  friend auto operator<=>(const RunClass&, const RunClass&) = default;
};

// Decides whether the estimate for a class of runs may refuse a request. What
// is refused is not measured, so an estimate may do so only if it rests on
// enough runs and is confirmed again and again: by other runs, or by trials,
// single requests that are sent against the estimate. A trial that succeeds
// refutes it.
class RunEvidence {
 public:
  // Measured runs that an estimate needs.
  static constexpr int kMinRuns = 10;
  // Time without a run after which a trial is due. Doubles with each trial that
  // no run follows, since trials of an estimate that holds are lost work.
  static constexpr Duration kMinTrialPeriod = std::chrono::seconds(1);
  static constexpr Duration kMaxTrialPeriod = std::chrono::seconds(4);
  // Without a run for this long, an estimate needs new ones.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  enum class Verdict : uint8_t {
    kUnmeasured,  // it may not refuse
    kConfirmed,   // it may refuse
    kTrialDue,    // it may refuse all but one
  };
  Verdict VerdictOn(const RunClass& runs, TimePoint now) const;
  void OnRun(const RunClass& runs, TimePoint now);
  void OnTrialSent(const RunClass& runs, TimePoint now);
  // Forgets the runs of an estimate that was refuted.
  void Forget(const RunClass& runs);
  // Must be called every second or so.
  void RemoveExpired(TimePoint now);

 private:
  struct Record {
    int runs = 0;
    TimePoint measured_at{};
    TimePoint confirmed_at{};  // by a run or a trial
    Duration trial_period = kMinTrialPeriod;
  };
  std::map<RunClass, Record> records_;
};

}  // namespace rwf
