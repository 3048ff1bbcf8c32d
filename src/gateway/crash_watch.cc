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

const CrashWatch::BrokenRun* CrashWatch::BrokenRuns::Find(
    const Digest& fingerprint) const {
  const auto it = std::find_if(
      runs.begin(), runs.end(),
      [&](const BrokenRun& run) { return run.fingerprint == fingerprint; });
  return it == runs.end() ? nullptr : &*it;
}

bool CrashWatch::IsSuspect(const Digest& fingerprint, TimePoint now) const {
  return guard_.IsSuspect(fingerprint, now) ||
         std::any_of(broken_.begin(), broken_.end(), [&](const auto& it) {
           return !it.second.is_settled &&
                  it.second.Find(fingerprint) != nullptr;
         });
}

void CrashWatch::OnRunEnded(const std::string& instance,
                            const Digest& fingerprint, TimePoint sent_at,
                            bool succeeded, bool connection_lost,
                            TimePoint now) {
  if (connection_lost) {
    BrokenRuns& broken = broken_[instance];
    // This connection was read after the end of the process was judged.
    if (broken.is_settled) broken = {};
    broken.runs.push_back({fingerprint, sent_at, now});
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

CrashWatch::Ends CrashWatch::BrokenAt(TimePoint at, bool only_ended) const {
  Ends out;
  for (const auto& it : broken_) {
    if (only_ended && !it.second.has_ended) continue;
    const TimePoint last_at = it.second.last_at();
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
  const Ends ended = BrokenAt(at, /*only_ended=*/true);
  for (const BrokenRun& run : broken->runs) {
    Settle(instance, run, Judge(run.fingerprint, ended, now), ended.size(),
           now);
  }
  // The suspicion counts for all suspects of the instance at once.
  Publish(guard_.OnCrash(instance, now));
}

bool CrashWatch::IsCandidate(const Digest& fingerprint,
                             const Ends& ended) const {
  if (succeeded_at_.contains(fingerprint)) return false;
  const auto n = std::count_if(ended.begin(), ended.end(), [&](const auto* it) {
    return it->second.Find(fingerprint) != nullptr;
  });
  return n >= 2;
}

bool CrashWatch::HasEndedInTurn(const Digest& fingerprint,
                                const Ends& ended) const {
  TimePoint first_at = TimePoint::max();
  TimePoint last_sent_at = TimePoint::min();
  for (const auto* it : ended) {
    const BrokenRun* run = it->second.Find(fingerprint);
    if (run == nullptr) continue;
    first_at = std::min(first_at, run->at);
    last_sent_at = std::max(last_sent_at, run->sent_at);
  }
  return last_sent_at > first_at;
}

BrokenRunVerdict CrashWatch::Judge(const Digest& fingerprint, const Ends& ended,
                                   TimePoint now) const {
  if (succeeded_at_.contains(fingerprint)) return BrokenRunVerdict::kSucceeded;
  if (ended.size() < kMinMassCrashInstances ||
      HasEndedInTurn(fingerprint, ended))
    return BrokenRunVerdict::kSuspected;
  const auto explained =
      std::count_if(ended.begin(), ended.end(), [&](const auto* it) {
        const std::vector<BrokenRun>& runs = it->second.runs;
        return guard_.IsCrashExplained(it->first, now) ||
               std::any_of(runs.begin(), runs.end(), [&](const BrokenRun& run) {
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
  // The sender has missed a success that followed the crashes.
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
    if (it.has_ended) continue;
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
  for (auto& [instance, it] : broken_) {
    if (it.has_ended && !it.is_settled) SettleIfDue(instance, &it, now);
  }
  guard_.OnTick(now);
}

void CrashWatch::Publish(
    const std::vector<wire::CrashSuspicionT>& messages) const {
  for (const wire::CrashSuspicionT& it : messages) signal_suspicion.emit(it);
}

}  // namespace rwf
