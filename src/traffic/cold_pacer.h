#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Paces requests to cold instances so that all VMs together stay within the
// rate that a cold instance sustains. Each VM scales the interval between its
// own requests by the number of VMs that may send to the instance.
class ColdPacer {
 public:
  // Returns true and records a request if `instance` may receive one now.
  // `rate` is the number of requests per second that a cold instance sustains,
  // `sender_count` the number of VMs that may send to it.
  bool TryAcquire(const std::string& instance, double rate, size_t sender_count,
                  TimePoint now);
  // Returns whether TryAcquire() would succeed, without recording a request.
  bool CanAcquire(const std::string& instance, double rate, size_t sender_count,
                  TimePoint now) const;
  void Remove(const std::string& instance) { last_sent_.erase(instance); }

 private:
  std::map<std::string, TimePoint> last_sent_;
};

}  // namespace rwf
