#include "gateway/crash_watch.h"

#include <algorithm>
#include <array>

namespace rwf {

const char* BrokenRunVerdictName(BrokenRunVerdict verdict) {
  static constexpr std::array<const char*, 5> kNames = {
      "suspected", "common-cause", "succeeded", "instance-lives",
      "not-confirmed"};
  return kNames[static_cast<size_t>(verdict)];
}

bool CrashWatch::BrokenRuns::Contains(const Digest& fingerprint) const {
  return std::any_of(runs.begin(), runs.end(), [&](const BrokenRun& run) {
    return run.fingerprint == fingerprint;
  });
}

bool CrashWatch::IsSuspect(const Digest& fingerprint, TimePoint now) const {
  return guard_.IsSuspect(fingerprint, now) ||
         std::any_of(broken_.begin(), broken_.end(), [&](const auto& it) {
           return !it.second.is_settled && it.second.Contains(fingerprint);
         });
}

void CrashWatch::OnRunEnded(const std::string& instance,
                            const Digest& fingerprint, bool succeeded,
                            bool connection_lost, TimePoint now) {
  if (connection_lost) {
    BrokenRuns& broken = broken_[instance];
    // The instance goes on, or another has its id.
    if (broken.is_settled) broken = {};
    broken.runs.push_back({fingerprint, now});
    return;
  }
  if (!succeeded) return;
  succeeded_at_[fingerprint] = now;
  Publish(guard_.OnFinished(instance, fingerprint, true, now));
}

void CrashWatch::OnInstanceResponded(const std::string& instance,
                                     TimePoint sent_at, TimePoint now) {
  const auto it = broken_.find(instance);
  if (it == broken_.end() || it->second.is_settled ||
      sent_at <= it->second.last_at())
    return;
  for (const BrokenRun& run : it->second.runs)
    Settle(instance, run, BrokenRunVerdict::kInstanceLives, 0, now);
  broken_.erase(it);
}

void CrashWatch::OnInstanceEnded(const std::string& instance, TimePoint now) {
  const auto it = broken_.find(instance);
  if (it == broken_.end() || it->second.is_settled) return;
  it->second.has_ended = true;
  SettleIfDue(instance, &it->second, now);
}

std::vector<const CrashWatch::BrokenRuns*> CrashWatch::BrokenAt(
    TimePoint at, bool only_ended) const {
  std::vector<const BrokenRuns*> out;
  for (const auto& [instance, it] : broken_) {
    if (only_ended && !it.has_ended) continue;
    const TimePoint last_at = it.last_at();
    if (at - last_at < kMassCrashWindow && last_at - at < kMassCrashWindow)
      out.push_back(&it);
  }
  return out;
}

void CrashWatch::SettleIfDue(const std::string& instance, BrokenRuns* broken,
                             TimePoint now) {
  const TimePoint at = broken->last_at();
  // While others may have ended at the same time, it is not known yet which.
  if (now - at < kMassCrashWindow &&
      BrokenAt(at, /*only_ended=*/false).size() >= kMinMassCrashInstances)
    return;
  broken->is_settled = true;
  const std::vector<const BrokenRuns*> ended = BrokenAt(at, true);
  for (const BrokenRun& run : broken->runs)
    Settle(instance, run, Judge(run.fingerprint, ended), ended.size(), now);
  // The suspicion counts for all suspects of the instance at once.
  Publish(guard_.OnCrash(instance, now));
}

bool CrashWatch::IsCandidate(
    const Digest& fingerprint,
    const std::vector<const BrokenRuns*>& ended) const {
  if (succeeded_at_.contains(fingerprint)) return false;
  const auto n = std::count_if(
      ended.begin(), ended.end(),
      [&](const BrokenRuns* it) { return it->Contains(fingerprint); });
  return n >= 2;
}

BrokenRunVerdict CrashWatch::Judge(
    const Digest& fingerprint,
    const std::vector<const BrokenRuns*>& ended) const {
  if (succeeded_at_.contains(fingerprint)) return BrokenRunVerdict::kSucceeded;
  if (ended.size() < kMinMassCrashInstances)
    return BrokenRunVerdict::kSuspected;
  const auto explained =
      std::count_if(ended.begin(), ended.end(), [&](const BrokenRuns* it) {
        return std::any_of(it->runs.begin(), it->runs.end(),
                           [&](const BrokenRun& run) {
                             return IsCandidate(run.fingerprint, ended);
                           });
      });
  const bool is_explained = static_cast<size_t>(explained) * 2 > ended.size();
  return is_explained && IsCandidate(fingerprint, ended)
             ? BrokenRunVerdict::kSuspected
             : BrokenRunVerdict::kCommonCause;
}

void CrashWatch::Settle(const std::string& instance, const BrokenRun& run,
                        BrokenRunVerdict verdict, size_t at_once,
                        TimePoint now) {
  signal_settled.emit(
      {run.fingerprint, instance, verdict, now - run.at, at_once});
  if (verdict == BrokenRunVerdict::kSuspected)
    guard_.OnSent(instance, run.fingerprint);
}

void CrashWatch::OnMessage(const wire::CrashSuspicionT& message,
                           TimePoint now) {
  const bool is_new = guard_.OnMessage(message, now);
  if (message.cleared) return;
  // A sender that has had a link all the time knows of the success.
  const auto clearance = guard_.Clearance(message.fingerprint, now);
  if (!is_new && clearance && message.age_ms > clearance->age_ms)
    Publish({*clearance});
  if (!is_new || !succeeded_at_.contains(message.fingerprint)) return;
  Publish(guard_.OnFinished(message.upstream, message.fingerprint, true, now));
}

void CrashWatch::Tick(TimePoint now) {
  std::erase_if(succeeded_at_, [&](const auto& it) {
    return now - it.second > kSuccessRetention;
  });
  for (auto& [instance, it] : broken_) {
    if (it.has_ended && !it.is_settled) SettleIfDue(instance, &it, now);
    if (it.is_settled) continue;
    for (const BrokenRun& run : it.runs) {
      if (now - run.at <= kCrashConfirmWindow) continue;
      Settle(instance, run, BrokenRunVerdict::kNotConfirmed, 0, now);
    }
    std::erase_if(it.runs, [&](const BrokenRun& run) {
      return now - run.at > kCrashConfirmWindow;
    });
  }
  // Settled ones are kept to judge those that broke at the same time.
  std::erase_if(broken_, [&](const auto& it) {
    return it.second.runs.empty() ||
           (it.second.is_settled &&
            now - it.second.last_at() > kCrashConfirmWindow);
  });
  guard_.OnTick(now);
}

void CrashWatch::Publish(
    const std::vector<wire::CrashSuspicionT>& messages) const {
  for (const wire::CrashSuspicionT& it : messages) signal_suspicion.emit(it);
}

}  // namespace rwf
