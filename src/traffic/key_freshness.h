#pragma once

#include <optional>

#include "base/time.h"

namespace rwf {

// Tracks whether the configuration is recent enough for API keys to be
// accepted. Times are of a clock that advances while the VM is suspended, so
// that a resumed VM refuses keys until the store confirms its configuration
// again.
class KeyFreshness {
 public:
  explicit KeyFreshness(Duration limit) : limit_(limit) {}

  // Records that every change made before `t` is known to this VM.
  void OnConfirmed(TimePoint t) {
    if (!confirmed_at_ || t > *confirmed_at_) confirmed_at_ = t;
  }
  bool IsFresh(TimePoint now) const {
    return confirmed_at_ && now - *confirmed_at_ <= limit_;
  }
  // Returns the age of the last confirmation, or nullopt before the first one.
  std::optional<Duration> AgeAt(TimePoint now) const {
    if (!confirmed_at_) return std::nullopt;
    return now - *confirmed_at_;
  }

 private:
  Duration limit_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace rwf
