#pragma once

#include <cstdint>

namespace rwf {

// Reason why an attempt at an upstream gave no usable response.
enum class AttemptFailure : uint8_t {
  kConnectFailed,  // no byte was sent
  kShed,           // the upstream reported "not run"
  kBrokenMidway,   // connection lost after bytes were sent
  kBadResponse,    // truncated, malformed or too large
  kUpstreamError,  // a complete 5xx response: delivered, never retried
  kTimedOut,       // the deadline passed
  kCallerGone,
};
inline constexpr int kAttemptFailureCount = 7;
const char* AttemptFailureName(AttemptFailure failure);

// True if the failure proves that the request did not run.
bool ProvesNotRun(AttemptFailure failure);

// True if a request may be sent again after the failure, regardless of budget
// and attempts.
bool IsRetryable(AttemptFailure failure, bool idempotent);

// Limits retries to a tenth of the traffic, so that retries cannot amplify an
// overload.
class RetryBudget {
 public:
  static constexpr double kRetryRatio = 0.1;
  static constexpr int kMaxAttempts = 2;
  // Maximum burst of retries after a period without any.
  static constexpr double kMaxTokens = 10;

  // Counts a request (its first attempt).
  void OnRequest();
  // Takes a token and returns true if the request may be sent again after
  // `attempts` attempts.
  bool TryRetry(AttemptFailure failure, bool idempotent, int attempts);

  uint64_t requests() const { return requests_; }
  uint64_t retries() const { return retries_; }

 private:
  double tokens_ = 0;
  uint64_t requests_ = 0;
  uint64_t retries_ = 0;
};

}  // namespace rwf
