#include "gateway/crash_watch.h"

#include <algorithm>

namespace rwf {

void CrashWatch::OnSent(const std::string& instance,
                        const Digest& fingerprint) {
  guard_.OnSent(instance, fingerprint);
}

void CrashWatch::OnRunEnded(const std::string& instance,
                            const Digest& fingerprint, bool succeeded,
                            bool connection_lost, TimePoint now) {
  if (connection_lost) {
    broken_runs_[instance].push_back({fingerprint, now});
    first_broken_at_.try_emplace(instance, now);
    return;
  }
  Publish(guard_.OnFinished(instance, fingerprint, succeeded, now));
}

void CrashWatch::OnInstanceEnded(const std::string& instance, TimePoint now) {
  const auto it = broken_runs_.find(instance);
  if (it == broken_runs_.end()) return;
  const std::vector<BrokenRun> runs = std::move(it->second);
  broken_runs_.erase(it);
  if (!IsMassCrash(runs.front().at)) {
    Publish(guard_.OnCrash(instance, now));
    return;
  }
  for (const BrokenRun& run : runs)
    Publish(guard_.OnFinished(instance, run.fingerprint, false, now));
}

bool CrashWatch::IsMassCrash(TimePoint at) const {
  const auto n = std::count_if(first_broken_at_.begin(), first_broken_at_.end(),
                               [&](const auto& it) {
                                 return at - it.second < kMassCrashWindow &&
                                        it.second - at < kMassCrashWindow;
                               });
  return static_cast<size_t>(n) >= kMinMassCrashInstances;
}

void CrashWatch::OnMessage(const wire::CrashSuspicionT& message,
                           TimePoint now) {
  guard_.OnMessage(message, now);
}

void CrashWatch::Tick(TimePoint now) {
  for (auto& [instance, runs] : broken_runs_) {
    for (const BrokenRun& run : runs) {
      if (now - run.at > kCrashConfirmWindow)
        Publish(guard_.OnFinished(instance, run.fingerprint, false, now));
    }
    std::erase_if(runs, [&](const BrokenRun& run) {
      return now - run.at > kCrashConfirmWindow;
    });
  }
  std::erase_if(broken_runs_, [](const auto& it) { return it.second.empty(); });
  std::erase_if(first_broken_at_, [&](const auto& it) {
    return now - it.second > kCrashConfirmWindow;
  });
  guard_.OnTick(now);
}

void CrashWatch::Publish(
    const std::vector<wire::CrashSuspicionT>& messages) const {
  for (const wire::CrashSuspicionT& it : messages) signal_suspicion.emit(it);
}

}  // namespace rwf
