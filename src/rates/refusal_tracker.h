#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Derives from refused connections that no process of a VM runs.
class RefusalTracker {
 public:
  // The kernel of the VM refused a connection attempt begun at `attempted_at`.
  void OnRefused(const std::string& vm, TimePoint attempted_at, TimePoint now);

  // A process runs on the VM again, which ends the proof. An end that IsAbsent
  // returned before stays valid: the new process waits for kQuarantine.
  void OnAccepted(const std::string& vm);

  // True if all loans of the last process of the VM have ended and no later
  // process can use its own share yet. Sets `until` to the end of that proof.
  bool IsAbsent(const std::string& vm, TimePoint now, TimePoint* until) const;

  // True if the last attempt was refused within kLoanDuration, whether or not
  // the loans of the VM have ended.
  bool IsRefused(const std::string& vm, TimePoint now) const;

 private:
  struct RefusalStreak {
    TimePoint first_refused;
    TimePoint last_attempt;
    bool broken = false;
  };
  std::map<std::string, RefusalStreak> streaks_;
};

}  // namespace rwf
