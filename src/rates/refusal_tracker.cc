#include "rates/refusal_tracker.h"

#include <algorithm>

#include "rates/slice.h"

namespace rwf {

void RefusalTracker::OnRefused(const std::string& vm, TimePoint attempted_at,
                               TimePoint now) {
  const auto [it, inserted] =
      streaks_.try_emplace(vm, RefusalStreak{now, attempted_at, false});
  if (inserted) return;
  RefusalStreak& streak = it->second;
  // A process that started and exited between two refusals less than
  // kLoanDuration apart never left its quarantine, so it lent nothing. After a
  // longer gap it may have lent.
  if (streak.broken || now - streak.last_attempt > kLoanDuration) {
    streak = RefusalStreak{now, attempted_at, false};
    return;
  }
  streak.last_attempt = std::max(streak.last_attempt, attempted_at);
}

void RefusalTracker::OnAccepted(const std::string& vm) {
  const auto it = streaks_.find(vm);
  if (it != streaks_.end()) it->second.broken = true;
}

bool RefusalTracker::IsAbsent(const std::string& vm, TimePoint now,
                              TimePoint* until) const {
  const auto it = streaks_.find(vm);
  if (it == streaks_.end() || it->second.broken) return false;
  const RefusalStreak& streak = it->second;
  const TimePoint end = streak.last_attempt + BorrowerDuration(kLoanDuration);
  if (now < streak.first_refused + kInheritDelay || now >= end) return false;
  *until = end;
  return true;
}

bool RefusalTracker::IsRefused(const std::string& vm, TimePoint now) const {
  const auto it = streaks_.find(vm);
  return it != streaks_.end() && !it->second.broken &&
         now < it->second.last_attempt + kLoanDuration;
}

}  // namespace rwf
