#pragma once

#include "traffic/instance_notices.h"

namespace rwf {

inline InstanceNotice RateLimit(double requests_per_second) {
  InstanceNotice out;
  out.rate_limit = requests_per_second;
  return out;
}

}  // namespace rwf
