#pragma once

#include <string>

#include "net/http_message.h"
#include "once/claim_client.h"

namespace rwf {

// Why a caller received no upstream response. docs/INTERFACES.md lists what
// each code guarantees.
enum class Refusal : uint8_t {
  kBadRequest,
  kNoKey,
  kKeyUnknown,
  kKeyWithdrawn,
  kStaleKeys,
  kRouteUnknown,
  kTooLarge,
  kIdempotencyKeyRequired,
  kRateLimited,
  kOverloaded,
  kNoUpstream,
  kDeadline,
  kSuspectedCrash,
  kUpstreamFailed,
  kNotReady,
};

const char* RefusalCode(Refusal refusal);

// The response for a refusal. `outcome` is kNotRun only if no byte of the
// request reached an upstream or the upstream reported that it did not run it.
HttpResponse RefusalResponse(Refusal refusal, RunOutcome outcome,
                             const std::string& message);
HttpResponse RefusalResponse(ClaimRefusal refusal, RunOutcome outcome);

// Sets Retry-After, rounded up to whole seconds, and X-Retry-After-Ms in
// milliseconds.
void AddRetryAfter(HttpResponse* response, Duration wait);

}  // namespace rwf
