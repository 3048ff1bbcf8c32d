#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace rwf {

// Virtual clock that runs actions in order of time, then of scheduling.
class VirtualClock {
 public:
  void At(TimePoint at, std::function<void()> action) {
    actions_.emplace(std::max(at, now), std::move(action));
  }
  void After(Duration d, std::function<void()> action) {
    At(now + d, std::move(action));
  }
  void Run(Duration d) {
    const TimePoint end = now + d;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto node = actions_.extract(actions_.begin());
      now = node.key();
      node.mapped()();
    }
    now = end;
  }

  TimePoint now{std::chrono::seconds(1000)};

 private:
  std::multimap<TimePoint, std::function<void()>> actions_;
};

}  // namespace rwf
