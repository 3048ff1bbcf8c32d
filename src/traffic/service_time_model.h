#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Learns how long a route's requests take on an instance that ran their object
// recently (warm) and on one that did not (cold).
class ServiceTimeModel {
 public:
  struct Times {
    Duration cold{};
    Duration warm{};
    // False while these are defaults, which never cause a refusal.
    bool is_learned = false;
  };
  // What was known about the instance before the run.
  enum class Warmth { kWarm, kUncertain };
  // Defaults as ratios of the route's objective, used until the first response.
  static constexpr double kInitialColdRatio = 1.4;
  static constexpr double kInitialWarmRatio = 0.5;
  // Weight of one response.
  static constexpr double kGain = 0.1;

  Times Expected(const std::string& route, Duration objective) const;
  // Records the run time `took`, without the time in the instance's queue. An
  // uncertain run counts as cold unless it took about as long as a warm one.
  void OnResponse(const std::string& route, Duration objective, Warmth warmth,
                  Duration took);

 private:
  std::map<std::string, Times> times_;
};

}  // namespace rwf
