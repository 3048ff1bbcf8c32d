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
  bool TryTake(const std::string& instance, double rate, size_t users,
               TimePoint now);
  // The same without counting.
  bool CanTake(const std::string& instance, double rate, size_t users,
               TimePoint now) const;
  void Forget(const std::string& instance) { last_.erase(instance); }

 private:
  std::map<std::string, TimePoint> last_;
};

}  // namespace rwf
