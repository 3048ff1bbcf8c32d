#include "gateway/crash_watch.h"

#include <algorithm>

namespace rwf {

void CrashWatch::OnSent(const std::string& instance,
                        const Digest& fingerprint) {
  guard_.OnSent(instance, fingerprint);
}

void CrashWatch::OnEnded(const std::string& instance, const Digest& fingerprint,
                         bool succeeded, bool broke, TimePoint now) {
  if (broke) {
    broken_[instance].push_back({fingerprint, now});
    broken_at_.try_emplace(instance, now);
    return;
  }
  Publish(guard_.OnFinished(instance, fingerprint, succeeded, now));
}

void CrashWatch::OnInstanceEnded(const std::string& instance, TimePoint now) {
  const auto it = broken_.find(instance);
  if (it == broken_.end()) return;
  const std::vector<BrokenRun> runs = std::move(it->second);
  broken_.erase(it);
  if (!IsMassCrash(runs.front().at)) {
    Publish(guard_.OnCrash(instance, now));
    return;
  }
  for (const BrokenRun& run : runs)
    Publish(guard_.OnFinished(instance, run.fingerprint, false, now));
}

bool CrashWatch::IsMassCrash(TimePoint at) const {
  const auto n =
      std::count_if(broken_at_.begin(), broken_at_.end(), [&](const auto& it) {
        return at - it.second < kMassWindow && it.second - at < kMassWindow;
      });
  return static_cast<size_t>(n) >= kMassCrash;
}

void CrashWatch::OnMessage(const wire::CrashSuspicionT& message,
                           TimePoint now) {
  guard_.OnMessage(message, now);
}

void CrashWatch::Tick(TimePoint now) {
  for (auto& [instance, runs] : broken_) {
    for (const BrokenRun& run : runs) {
      if (now - run.at > kConfirmWithin)
        Publish(guard_.OnFinished(instance, run.fingerprint, false, now));
    }
    std::erase_if(runs, [&](const BrokenRun& run) {
      return now - run.at > kConfirmWithin;
    });
  }
  std::erase_if(broken_, [](const auto& it) { return it.second.empty(); });
  std::erase_if(broken_at_, [&](const auto& it) {
    return now - it.second > kConfirmWithin;
  });
  guard_.OnTick(now);
}

void CrashWatch::Publish(
    const std::vector<wire::CrashSuspicionT>& messages) const {
  for (const wire::CrashSuspicionT& it : messages) signal_news.emit(it);
}

}  // namespace rwf
