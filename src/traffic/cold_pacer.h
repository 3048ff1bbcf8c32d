#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Paces requests to cold instances, so that all VMs together stay under the
// rate that a cold instance bears. Each VM spaces its own requests by the
// number of VMs that may use the instance.
class ColdPacer {
 public:
  // True if `instance` may get a request now; counts it then. `rate` is what a
  // cold instance bears in requests a second, `users` the number of VMs that
  // may send to it.
  bool TryAcquire(const std::string& instance, double rate, size_t sender_count,
                  TimePoint now);
  // The same without counting.
  bool CanAcquire(const std::string& instance, double rate, size_t sender_count,
                  TimePoint now) const;
  void Remove(const std::string& instance) { last_sent_.erase(instance); }

 private:
  std::map<std::string, TimePoint> last_sent_;
};

}  // namespace rwf
