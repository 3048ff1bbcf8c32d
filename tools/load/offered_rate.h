#pragma once

#include <algorithm>

#include "base/time.h"

namespace rwf {

// Checks whether the requests offered so far conform to a rate and a burst. The
// token bucket charges every request, so its level may be negative.
class OfferedRate {
 public:
  OfferedRate(double rate, double burst, TimePoint now)
      : rate_(rate), burst_(burst), tokens_(burst), updated_at_(now) {}

  // Charges one request; returns true if the offered load still conforms.
  bool Offer(TimePoint now) {
    tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - updated_at_));
    updated_at_ = now;
    tokens_ -= 1;
    return tokens_ >= 0;
  }

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint updated_at_;
};

}  // namespace rwf
