#include "steering/retry_budget.h"

#include <algorithm>
#include <cstddef>

namespace rwf {
namespace {

struct RetryRule {
  const char* name;
  bool proves_not_run;
  bool retry_idempotent;
  bool retry_non_idempotent;
};

// Indexed by AttemptFailure. A complete 5xx response is delivered to the
// caller. After the deadline or a disconnect of the caller, nobody waits for a
// retry.
constexpr RetryRule kRules[kAttemptFailureCount] = {
    {"connect-failed", true, true, true},
    {"shed", true, true, true},
    {"broken-midway", false, true, false},
    {"bad-response", false, true, false},
    {"upstream-error", false, false, false},
    {"timed-out", false, false, false},
    {"caller-gone", false, false, false},
};

const RetryRule& RuleOf(AttemptFailure failure) {
  return kRules[static_cast<size_t>(failure)];
}

}  // namespace

const char* AttemptFailureName(AttemptFailure failure) {
  return RuleOf(failure).name;
}

bool ProvesNotRun(AttemptFailure failure) {
  return RuleOf(failure).proves_not_run;
}

bool IsRetryable(AttemptFailure failure, bool idempotent) {
  const RetryRule& rule = RuleOf(failure);
  return idempotent ? rule.retry_idempotent : rule.retry_non_idempotent;
}

void RetryBudget::OnRequest() {
  ++requests_;
  tokens_ = std::min(tokens_ + kRetryRatio, kMaxTokens);
}

bool RetryBudget::TryRetry(AttemptFailure failure, bool idempotent,
                           int attempts) {
  if (attempts >= kMaxAttempts || !IsRetryable(failure, idempotent)) {
    return false;
  }
  // Slightly below 1, because ten additions of 0.1 do not reach 1 exactly.
  constexpr double kOneToken = 1 - 1e-9;
  if (tokens_ < kOneToken) return false;
  tokens_ = std::max(tokens_ - 1, 0.0);
  ++retries_;
  return true;
}

}  // namespace rwf
