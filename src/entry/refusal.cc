#include "entry/refusal.h"

#include <fmt/format.h>

#include <array>

#include "base/json_reader.h"

namespace rwf {
namespace {

struct RefusalInfo {
  const char* code;
  int status;
};

// In the order of Refusal.
constexpr std::array<RefusalInfo, 15> kRefusals = {{
    {"bad-request", 400},
    {"no-key", 401},
    {"key-unknown", 401},
    {"key-withdrawn", 401},
    {"stale-keys", 503},
    {"route-unknown", 404},
    {"too-large", 413},
    {"idempotency-key-required", 428},
    {"rate-limited", 429},
    {"overloaded", 503},
    {"no-upstream", 503},
    {"deadline", 504},
    {"suspected-crash", 503},
    {"upstream-failed", 502},
    {"not-ready", 503},
}};

HttpResponse MakeResponse(const char* code, int status, RunOutcome outcome,
                          const std::string& message) {
  const Json body = {{"code", code},
                     {"outcome", RunOutcomeName(outcome)},
                     {"message", message}};
  HttpResponse out = JsonResponse(status, body.dump());
  out.headers.Add("X-Outcome", RunOutcomeName(outcome));
  out.headers.Add("X-Refusal-Code", code);
  return out;
}

}  // namespace

const char* RefusalCode(Refusal refusal) {
  return kRefusals[static_cast<size_t>(refusal)].code;
}

HttpResponse RefusalResponse(Refusal refusal, RunOutcome outcome,
                             const std::string& message) {
  const RefusalInfo& info = kRefusals[static_cast<size_t>(refusal)];
  return MakeResponse(info.code, info.status, outcome, message);
}

HttpResponse RefusalResponse(ClaimRefusal refusal, RunOutcome outcome) {
  return MakeResponse(ClaimRefusalCode(refusal), ClaimRefusalStatus(refusal),
                      outcome,
                      "the idempotency key does not permit the request to run");
}

void AddRetryAfter(HttpResponse* response, Duration wait) {
  const int64_t ms = ToMillis(wait) + 1;
  response->headers.Set("Retry-After", fmt::format("{}", (ms + 999) / 1000));
  response->headers.Set("X-Retry-After-Ms", fmt::format("{}", ms));
}

}  // namespace rwf
