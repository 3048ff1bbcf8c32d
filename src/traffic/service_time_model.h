#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Learns how long a route's requests take on an instance that had their object
// recently (warm) and on one that had not (cold).
class ServiceTimeModel {
 public:
  struct Times {
    Duration cold{};
    Duration warm{};
    // False while these are guesses: nothing is refused because of them.
    bool is_learned = false;
  };
  // What was known of the instance before the run.
  enum class Warmth { kWarm, kUncertain };
  // First guesses as parts of the route's objective, until answers came.
  static constexpr double kInitialColdRatio = 1.4;
  static constexpr double kInitialWarmRatio = 0.5;
  // Weight of one answer.
  static constexpr double kGain = 0.1;

  Times Expected(const std::string& route, Duration objective) const;
  // `took` without the time in the instance's queue. An unsure run counts as a
  // cold one unless it took about as long as a warm one.
  void OnResponse(const std::string& route, Duration objective, Warmth warmth,
                  Duration took);

 private:
  std::map<std::string, Times> times_;
};

}  // namespace rwf
