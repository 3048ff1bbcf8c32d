#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Paces requests to cold instances so that all VMs together stay near the rate
// that a cold instance sustains. Each VM scales the interval between its own
// requests by the number of VMs that may send to the instance, and begins at a
// random point of its first interval, so that the VMs do not all send at once.
class ColdPacer {
 public:
  // `seed` should differ between VMs.
  explicit ColdPacer(uint64_t seed) : seed_(seed) {}

  // A cold period of an instance and how it may be used.
  struct Pace {
    TimePoint cold_until{};
    double rate = 0;          // requests per second that it sustains
    size_t sender_count = 1;  // VMs that may send to it
    friend bool operator==(const Pace&, const Pace&) = default;
  };
  // Returns whether `instance` may receive a request now.
  bool CanAcquire(const std::string& instance, const Pace& pace, TimePoint now);
  // Does the same and records the request if it may.
  bool TryAcquire(const std::string& instance, const Pace& pace, TimePoint now);

 private:
  // A later end than this begins another cold period. Reports of the remaining
  // time vary by less.
  static constexpr Duration kNewPeriodGap = std::chrono::seconds(1);

  struct State {
    TimePoint cold_until{};
    TimePoint next{};  // earliest time of the next request
  };
  State& StateOf(const std::string& instance, const Pace& pace, TimePoint now);

  uint64_t seed_;
  std::map<std::string, State> states_;
};

}  // namespace rwf
