#pragma once

#include <cstdint>

namespace rwf {

// How an attempt to run a request at an upstream ended without a usable
// response.
enum class AttemptFailure : uint8_t {
  kConnectFailed,  // no byte was sent
  kShed,           // the upstream said "not run"
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

// True if a request of this kind may be sent again after the failure, budget
// and attempts apart.
bool IsRetryable(AttemptFailure failure, bool idempotent);

// Limits retries to a tenth of the traffic, so that retries cannot multiply an
// overload.
class RetryBudget {
 public:
  static constexpr double kRetryRatio = 0.1;
  static constexpr int kMaxAttempts = 2;
  // Retries allowed at once after a quiet time.
  static constexpr double kMaxTokens = 10;

  // Counts a request (its first attempt).
  void OnRequest();
  // True if the request may be sent again after `attempts` attempts; takes a
  // token then.
  bool TryRetry(AttemptFailure failure, bool idempotent, int attempts);

  uint64_t requests() const { return requests_; }
  uint64_t retries() const { return retries_; }

 private:
  double tokens_ = 0;
  uint64_t requests_ = 0;
  uint64_t retries_ = 0;
};

}  // namespace rwf
