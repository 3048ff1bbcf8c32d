#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Proof by refused connections that no process of a VM runs.
class RefusalTracker {
 public:
  // A connection attempt begun at `attempted_at` was refused by the VM's
  // kernel.
  void OnRefused(const std::string& vm, TimePoint attempted_at, TimePoint now);

  // A process runs there again. What was proven stays proven until its end: the
  // process waits for kQuarantine.
  void OnAccepted(const std::string& vm);

  // True if all loans of the VM's last process have ended and no later process
  // can use its own share yet. `until` is set to the end of that proof.
  bool IsAbsent(const std::string& vm, TimePoint now, TimePoint* until) const;

  // True if the last attempt was refused a short while ago, whether or not its
  // loans have ended.
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
