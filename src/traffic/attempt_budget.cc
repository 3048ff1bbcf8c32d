#include "traffic/attempt_budget.h"

#include <algorithm>

namespace rwf {

AttemptBudget::Window& AttemptBudget::Trimmed(const std::string& service,
                                              TimePoint now) {
  Window& window = windows_[service];
  const TimePoint start = now - bounds_.window;
  for (std::deque<TimePoint>* it : {&window.requests, &window.extras}) {
    while (!it->empty() && it->front() <= start) it->pop_front();
  }
  return window;
}

double AttemptBudget::Limit(const Window& window) const {
  return kUsableFraction *
         (bounds_.ratio * static_cast<double>(window.requests.size()) +
          bounds_.allowance);
}

void AttemptBudget::OnRequest(const std::string& service, TimePoint now) {
  Trimmed(service, now).requests.push_back(now);
}

bool AttemptBudget::TryAcquire(const std::string& service, TimePoint now) {
  Window& window = Trimmed(service, now);
  if (static_cast<double>(window.extras.size()) + 1 > Limit(window))
    return false;
  window.extras.push_back(now);
  return true;
}

double AttemptBudget::UsedFraction(const std::string& service, TimePoint now) {
  const Window& window = Trimmed(service, now);
  const double limit = Limit(window);
  if (limit <= 0) return 1;
  return std::min(1.0, static_cast<double>(window.extras.size()) / limit);
}

}  // namespace rwf
