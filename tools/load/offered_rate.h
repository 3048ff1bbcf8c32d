#pragma once

#include <algorithm>

#include "base/time.h"

namespace rwf {

// Tells whether all requests offered so far stay within a rate and a burst: a
// token bucket that every request is charged to, so its level may be negative.
class OfferedRate {
 public:
  OfferedRate(double rate, double burst, TimePoint now)
      : rate_(rate), burst_(burst), level_(burst), since_(now) {}

  // Charges one request; true if the offered load still conforms.
  bool Offer(TimePoint now) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - since_));
    since_ = now;
    level_ -= 1;
    return level_ >= 0;
  }

 private:
  double rate_;
  double burst_;
  double level_;
  TimePoint since_;
};

}  // namespace rwf
