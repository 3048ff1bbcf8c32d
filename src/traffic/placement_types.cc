#include "traffic/placement_types.h"

#include <algorithm>

namespace rwf {

const char* RejectionCauseName(RejectionCause cause) {
  static constexpr std::array<const char*,
                              static_cast<size_t>(RejectionCause::kCount)>
      kNames = {"cold-rate", "deadline", "full",    "cold-run",
                "late",      "leaving",  "waiting", "limited"};
  return kNames[static_cast<size_t>(cause)];
}

const char* EstimateOriginName(EstimateOrigin origin) {
  static constexpr std::array<const char*, 3> kNames = {"objective", "mean",
                                                        "distribution"};
  return kNames[static_cast<size_t>(origin)];
}

void RefusalDetails::CountTooLate(RejectionCause cause, Duration response,
                                  Duration latest, const RunEstimate& run) {
  Count(cause);
  if (expected != Duration::zero() && response >= expected) return;
  expected = response;
  allowed = latest;
  estimate = run;
}

RejectionCause RefusalDetails::MainCause() const {
  const auto most = std::max_element(rejected.begin(), rejected.end());
  return static_cast<RejectionCause>(most - rejected.begin());
}

}  // namespace rwf
