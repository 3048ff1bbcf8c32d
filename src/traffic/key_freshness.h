#pragma once

#include <optional>

#include "base/time.h"

namespace rwf {

// Tells whether the configuration is known to be recent enough for keys to
// count. Times are of a clock that goes on while the VM is suspended, so that a
// VM that wakes up refuses keys until it has heard from the store again.
class KeyFreshness {
 public:
  explicit KeyFreshness(Duration limit) : limit_(limit) {}

  // Every change made before `t` is known here.
  void OnConfirmed(TimePoint t) {
    if (!confirmed_at_ || t > *confirmed_at_) confirmed_at_ = t;
  }
  bool IsFresh(TimePoint now) const {
    return confirmed_at_ && now - *confirmed_at_ <= limit_;
  }
  // Age of the last confirmation; nothing before the first one.
  std::optional<Duration> AgeAt(TimePoint now) const {
    if (!confirmed_at_) return std::nullopt;
    return now - *confirmed_at_;
  }

 private:
  Duration limit_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace rwf
