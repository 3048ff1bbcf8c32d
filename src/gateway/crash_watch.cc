#include "gateway/crash_watch.h"

#include <algorithm>
#include <array>

namespace rwf {

const char* BrokenRunVerdictName(BrokenRunVerdict verdict) {
  static constexpr std::array<const char*, 3> kNames = {
      "suspected", "common-cause", "not-confirmed"};
  return kNames[static_cast<size_t>(verdict)];
}

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
  const size_t at_once = InstancesBrokenAt(runs.front().at);
  const BrokenRunVerdict verdict = at_once < kMinMassCrashInstances
                                       ? BrokenRunVerdict::kSuspected
                                       : BrokenRunVerdict::kCommonCause;
  for (const BrokenRun& run : runs) {
    signal_settled.emit(
        {run.fingerprint, instance, verdict, now - run.at, at_once});
  }
  if (verdict == BrokenRunVerdict::kSuspected) {
    Publish(guard_.OnCrash(instance, now));
    return;
  }
  for (const BrokenRun& run : runs)
    Publish(guard_.OnFinished(instance, run.fingerprint, false, now));
}

size_t CrashWatch::InstancesBrokenAt(TimePoint at) const {
  const auto n = std::count_if(first_broken_at_.begin(), first_broken_at_.end(),
                               [&](const auto& it) {
                                 return at - it.second < kMassCrashWindow &&
                                        it.second - at < kMassCrashWindow;
                               });
  return static_cast<size_t>(n);
}

void CrashWatch::OnMessage(const wire::CrashSuspicionT& message,
                           TimePoint now) {
  guard_.OnMessage(message, now);
}

void CrashWatch::Tick(TimePoint now) {
  for (auto& [instance, runs] : broken_runs_) {
    for (const BrokenRun& run : runs) {
      if (now - run.at <= kCrashConfirmWindow) continue;
      signal_settled.emit({run.fingerprint, instance,
                           BrokenRunVerdict::kNotConfirmed, now - run.at,
                           InstancesBrokenAt(run.at)});
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
