#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/time.h"

namespace rwf {

// Limits sends beyond the first of each request, by service: in a sliding
// window at most a share of the requests plus a fixed allowance. Each VM keeps
// to its own part, so that the fleet keeps to the whole without messages.
class AttemptBudget {
 public:
  struct Bounds {
    double ratio = 0;      // of the requests in the window
    double allowance = 0;  // of this VM, on top
    Duration window = std::chrono::seconds(10);
    friend bool operator==(const Bounds&, const Bounds&) = default;
  };
  // Part of the bounds that is used: windows of different VMs do not begin
  // together, and a request may be counted in the window before.
  static constexpr double kUsableFraction = 0.7;

  void SetBounds(const Bounds& bounds) { bounds_ = bounds; }
  void OnRequest(const std::string& service, TimePoint now);
  // True if a further send is within the budget; counts it then.
  bool TryAcquire(const std::string& service, TimePoint now);
  // Share of the budget that is used, 0 to 1.
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
