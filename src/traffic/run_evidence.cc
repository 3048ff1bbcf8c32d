#include "traffic/run_evidence.h"

#include <algorithm>

namespace rwf {

RunEvidence::Verdict RunEvidence::VerdictOn(const RunClass& runs,
                                            TimePoint now) const {
  const auto found = records_.find(runs);
  if (found == records_.end()) return Verdict::kUnmeasured;
  const Record& it = found->second;
  if (it.runs < kMinRuns || now - it.measured_at > kRetention)
    return Verdict::kUnmeasured;
  return now - it.confirmed_at < it.trial_period ? Verdict::kConfirmed
                                                 : Verdict::kTrialDue;
}

void RunEvidence::OnRun(const RunClass& runs, TimePoint now) {
  Record& it = records_[runs];
  if (now - it.measured_at > kRetention) it.runs = 0;
  it.runs = std::min(it.runs + 1, kMinRuns);
  it.measured_at = it.confirmed_at = now;
  it.trial_period = kMinTrialPeriod;
}

void RunEvidence::OnTrialSent(const RunClass& runs, TimePoint now) {
  const auto found = records_.find(runs);
  if (found == records_.end()) return;
  Record& it = found->second;
  it.confirmed_at = now;
  it.trial_period = std::min(it.trial_period * 2, kMaxTrialPeriod);
}

void RunEvidence::Forget(const RunClass& runs) { records_.erase(runs); }

void RunEvidence::RemoveExpired(TimePoint now) {
  std::erase_if(records_, [&](const auto& it) {
    return now - it.second.measured_at > kRetention;
  });
}

}  // namespace rwf
