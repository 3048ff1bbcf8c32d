#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Limits the attempts beyond the first of each request, by service: in a
// sliding window, at most a ratio of the requests plus a fixed allowance. Each
// VM enforces its own part of the budget, so that the fleet stays within the
// total without coordination.
class AttemptBudget {
 public:
  struct Bounds {
    double ratio = 0;      // of the requests in the window
    double allowance = 0;  // of this VM, in addition
    Duration window = std::chrono::seconds(10);
    friend bool operator==(const Bounds&, const Bounds&) = default;
  };
  // Fraction of the bounds that is used. Windows of different VMs do not start
  // together, and a request may be counted in the previous window.
  static constexpr double kUsableFraction = 0.7;

  void SetBounds(const Bounds& bounds) { bounds_ = bounds; }
  void OnRequest(const std::string& service, TimePoint now);
  // Returns true and counts the attempt if it is within the budget.
  bool TryAcquire(const std::string& service, TimePoint now);
  // Returns the fraction of the budget that is used, 0 to 1.
  double UsedFraction(const std::string& service, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> extras;
  };
  Window& Trimmed(const std::string& service, TimePoint now);
  double Limit(const Window& window) const;

  Bounds bounds_;
  std::map<std::string, Window> windows_;
};

}  // namespace rwf
