#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Learns how long a route's requests take on an instance that ran their object
// recently (warm), on one that did not (cold), and without an object.
class ServiceTimeModel {
 public:
  struct Times {
    Duration cold{};
    Duration warm{};
    bool is_learned = false;  // false: defaults
    int measured_runs = 0;
    friend bool operator==(const Times&, const Times&) = default;
  };
  // What was known about the request and the instance before the run.
  enum class Warmth { kWarm, kUncertain, kNoObject };
  // Defaults as ratios of the route's objective, used until the first response.
  static constexpr double kInitialColdRatio = 1.4;
  static constexpr double kInitialWarmRatio = 0.5;
  // Weight of one response.
  static constexpr double kGain = 0.1;

  // Returns the times of requests with or without an object. Without one, no
  // instance is warm, so both times are the same once learned.
  Times Expected(const std::string& route, Duration objective,
                 bool has_object) const;
  // Records the run time `took`, without the time in the instance's queue. An
  // uncertain run counts as cold unless it took about as long as a warm one.
  void OnResponse(const std::string& route, Duration objective, Warmth warmth,
                  Duration took);
  // Forgets the times of requests with or without an object.
  void Forget(const std::string& route, bool has_object);

 private:
  void OnResponseWithoutObject(const std::string& route, Duration took);

  std::map<std::string, Times> times_;
  std::map<std::string, Times> times_without_object_;
};

}  // namespace rwf
