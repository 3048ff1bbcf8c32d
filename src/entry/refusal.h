#pragma once

#include <string>

#include "net/http_message.h"
#include "once/claim_client.h"

namespace rwf {

// Why a request was not answered by an upstream. docs/INTERFACES.md lists what
// each code promises.
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

// The answer of a refusal. "not run" is only said if no byte of the request
// reached an upstream or the upstream said so.
HttpResponse RefusalResponse(Refusal refusal, RunOutcome outcome,
                             const std::string& message);
HttpResponse RefusalResponse(ClaimRefusal refusal, RunOutcome outcome);

// Adds Retry-After, rounded up to whole seconds, and the exact time in
// X-Retry-After-Ms.
void AddRetryAfter(HttpResponse* response, Duration wait);

}  // namespace rwf
