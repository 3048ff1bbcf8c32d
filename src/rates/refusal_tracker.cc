#include "rates/refusal_tracker.h"

#include <algorithm>

#include "rates/slice.h"

namespace rwf {

void RefusalTracker::OnRefused(const std::string& vm, TimePoint attempted_at,
                               TimePoint now) {
  const auto [it, inserted] =
      chains_.try_emplace(vm, Chain{now, attempted_at, false});
  if (inserted) return;
  Chain& chain = it->second;
  // A process that came and went between two refusals closer than this never
  // left its quarantine, so it lent nothing. After a longer gap it may have.
  if (chain.broken || now - chain.last_attempt > kLoanDuration) {
    chain = Chain{now, attempted_at, false};
    return;
  }
  chain.last_attempt = std::max(chain.last_attempt, attempted_at);
}

void RefusalTracker::OnAccepted(const std::string& vm) {
  const auto it = chains_.find(vm);
  if (it != chains_.end()) it->second.broken = true;
}

bool RefusalTracker::IsAbsent(const std::string& vm, TimePoint now,
                              TimePoint* until) const {
  const auto it = chains_.find(vm);
  if (it == chains_.end() || it->second.broken) return false;
  const Chain& chain = it->second;
  const TimePoint end = chain.last_attempt + BorrowerDuration(kLoanDuration);
  if (now < chain.first_refused + kInheritDelay || now >= end) return false;
  *until = end;
  return true;
}

bool RefusalTracker::IsRefused(const std::string& vm, TimePoint now) const {
  const auto it = chains_.find(vm);
  return it != chains_.end() && !it->second.broken &&
         now < it->second.last_attempt + kLoanDuration;
}

}  // namespace rwf
