#include "traffic/send_budget.h"

#include <algorithm>

namespace rwf {

SendBudget::Window& SendBudget::Trimmed(const std::string& service,
                                        TimePoint now) {
  Window& window = windows_[service];
  const TimePoint start = now - bounds_.window;
  for (std::deque<TimePoint>* it : {&window.requests, &window.extras}) {
    while (!it->empty() && it->front() <= start) it->pop_front();
  }
  return window;
}

double SendBudget::Limit(const Window& window) const {
  return kUsedPart *
         (bounds_.ratio * static_cast<double>(window.requests.size()) +
          bounds_.allowance);
}

void SendBudget::OnRequest(const std::string& service, TimePoint now) {
  Trimmed(service, now).requests.push_back(now);
}

bool SendBudget::TryExtra(const std::string& service, TimePoint now) {
  Window& window = Trimmed(service, now);
  if (static_cast<double>(window.extras.size()) + 1 > Limit(window))
    return false;
  window.extras.push_back(now);
  return true;
}

double SendBudget::UsedShare(const std::string& service, TimePoint now) {
  const Window& window = Trimmed(service, now);
  const double limit = Limit(window);
  if (limit <= 0) return 1;
  return std::min(1.0, static_cast<double>(window.extras.size()) / limit);
}

}  // namespace rwf
