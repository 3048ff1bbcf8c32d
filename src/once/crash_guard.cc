#include "once/crash_guard.h"

#include <algorithm>
#include <utility>

#include "once/idempotency_key.h"

namespace rwf {
namespace {

wire::CrashSuspicionT MakeSuspicion(const Digest& fingerprint,
                                    const std::string& upstream, bool cleared,
                                    Duration age) {
  wire::CrashSuspicionT message;
  message.fingerprint = fingerprint;
  message.upstream = upstream;
  message.cleared = cleared;
  message.age_ms =
      static_cast<uint32_t>(std::clamp<int64_t>(ToMillis(age), 0, UINT32_MAX));
  return message;
}

}  // namespace

Digest CrashFingerprint(std::string_view workspace, std::string_view method,
                        std::string_view path,
                        const std::vector<std::string_view>& body) {
  const Digest request = RequestDigest(method, path, body);
  return ClaimDigest(workspace, ToHex(request));
}

void CrashGuard::OnSent(const std::string& upstream,
                        const Digest& fingerprint) {
  in_flight_[upstream].push_back(fingerprint);
}

std::vector<wire::CrashSuspicionT> CrashGuard::OnFinished(
    const std::string& upstream, const Digest& fingerprint, bool success,
    TimePoint now) {
  const auto found = in_flight_.find(upstream);
  if (found != in_flight_.end()) {
    std::vector<Digest>& all = found->second;
    const auto it = std::find(all.begin(), all.end(), fingerprint);
    if (it != all.end()) {
      *it = all.back();
      all.pop_back();
    }
    if (all.empty()) in_flight_.erase(found);
  }
  if (!success || FindActive(fingerprint, now) == nullptr) return {};
  Clear(fingerprint, now, now);
  return {MakeSuspicion(fingerprint, upstream, true, Duration::zero())};
}

std::vector<wire::CrashSuspicionT> CrashGuard::OnCrash(
    const std::string& upstream, TimePoint now) {
  const auto found = in_flight_.find(upstream);
  if (found == in_flight_.end()) return {};
  const std::vector<Digest> all = std::move(found->second);
  in_flight_.erase(found);
  std::vector<wire::CrashSuspicionT> out;
  for (const Digest& fingerprint : all) {
    if (!AddSuspicion(fingerprint, upstream, now, now)) continue;
    out.push_back(
        MakeSuspicion(fingerprint, upstream, false, Duration::zero()));
  }
  return out;
}

bool CrashGuard::OnMessage(const wire::CrashSuspicionT& message,
                           TimePoint now) {
  const TimePoint at = now - std::chrono::milliseconds(message.age_ms);
  return message.cleared
             ? Clear(message.fingerprint, at, now)
             : AddSuspicion(message.fingerprint, message.upstream, at, now);
}

const CrashGuard::Suspicion* CrashGuard::FindActive(const Digest& fingerprint,
                                                    TimePoint now) const {
  const auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end() || it->second.cleared ||
      now >= it->second.until) {
    return nullptr;
  }
  return &it->second;
}

bool CrashGuard::IsBlocked(const Digest& fingerprint, TimePoint now) const {
  const Suspicion* suspicion = FindActive(fingerprint, now);
  if (suspicion == nullptr) return false;
  const std::vector<std::string>& upstreams = suspicion->upstreams;
  if (upstreams.size() < kInstancesToBlock) return false;
  return std::none_of(
      suspicions_.begin(), suspicions_.end(), [&](const auto& other) {
        const std::vector<std::string>& its = other.second.upstreams;
        const bool may_explain =
            its.size() > upstreams.size() ||
            (its.size() == upstreams.size() &&
             upstreams.size() < kInstancesToBlockIfAmbiguous);
        if (!may_explain || other.first == fingerprint ||
            other.second.cleared || now >= other.second.until)
          return false;
        return std::all_of(upstreams.begin(), upstreams.end(),
                           [&](const std::string& upstream) {
                             return std::find(its.begin(), its.end(),
                                              upstream) != its.end();
                           });
      });
}

std::vector<wire::CrashSuspicionT> CrashGuard::BlockedSuspicions(
    TimePoint now) const {
  std::vector<wire::CrashSuspicionT> out;
  for (const auto& [fingerprint, it] : suspicions_) {
    if (!IsBlocked(fingerprint, now)) continue;
    for (const std::string& upstream : it.upstreams) {
      out.push_back(
          MakeSuspicion(fingerprint, upstream, false, now - it.last_crash_at));
    }
  }
  return out;
}

std::optional<wire::CrashSuspicionT> CrashGuard::Clearance(
    const Digest& fingerprint, TimePoint now) const {
  const auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end() || !it->second.cleared) return std::nullopt;
  return MakeSuspicion(fingerprint, "", true, now - it->second.cleared_at);
}

bool CrashGuard::IsSuspect(const Digest& fingerprint, TimePoint now) const {
  return FindActive(fingerprint, now) != nullptr;
}

bool CrashGuard::IsCrashExplained(const std::string& upstream,
                                  TimePoint now) const {
  return std::any_of(
      suspicions_.begin(), suspicions_.end(), [&](const auto& it) {
        const std::vector<std::string>& its = it.second.upstreams;
        return !it.second.cleared && now < it.second.until && its.size() >= 2 &&
               std::find(its.begin(), its.end(), upstream) != its.end();
      });
}

bool CrashGuard::MaySend(const std::string& upstream, const Digest& fingerprint,
                         TimePoint now) const {
  if (!IsSuspect(fingerprint, now)) return true;
  const auto found = in_flight_.find(upstream);
  if (found == in_flight_.end()) return true;
  return std::none_of(found->second.begin(), found->second.end(),
                      [&](const Digest& other) {
                        return other != fingerprint && IsSuspect(other, now);
                      });
}

// Returns true if the suspicion was new.
bool CrashGuard::AddSuspicion(const Digest& fingerprint,
                              const std::string& upstream, TimePoint crashed_at,
                              TimePoint now) {
  if (now >= crashed_at + kBlockDuration) return false;
  auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end()) {
    EvictIfFull(now);
    it = suspicions_.emplace(fingerprint, Suspicion{}).first;
  }
  Suspicion& suspicion = it->second;
  if (suspicion.cleared &&
      crashed_at - suspicion.cleared_at < kClearedRetention) {
    return false;
  }
  if (suspicion.cleared || now >= suspicion.until) suspicion = Suspicion{};
  std::vector<std::string>& upstreams = suspicion.upstreams;
  if (upstreams.size() >= kMaxInstances ||
      std::find(upstreams.begin(), upstreams.end(), upstream) !=
          upstreams.end()) {
    return false;
  }
  upstreams.push_back(upstream);
  suspicion.last_crash_at = std::max(suspicion.last_crash_at, crashed_at);
  suspicion.until = suspicion.last_crash_at + kBlockDuration;
  return true;
}

// Returns false if the fingerprint was already cleared recently, or if a crash
// followed.
bool CrashGuard::Clear(const Digest& fingerprint, TimePoint cleared_at,
                       TimePoint now) {
  if (now >= cleared_at + kBlockDuration) return false;
  auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end()) {
    EvictIfFull(now);
    it = suspicions_.emplace(fingerprint, Suspicion{}).first;
  }
  Suspicion& suspicion = it->second;
  if (suspicion.cleared &&
      cleared_at - suspicion.cleared_at < kClearedRetention) {
    return false;
  }
  if (!suspicion.cleared && cleared_at < suspicion.last_crash_at) return false;
  suspicion = Suspicion{};
  suspicion.cleared = true;
  suspicion.cleared_at = cleared_at;
  // Peers that missed the success may report the crashes before it until then.
  suspicion.until = cleared_at + kBlockDuration;
  return true;
}

void CrashGuard::EvictIfFull(TimePoint now) {
  if (suspicions_.size() < kMaxFingerprints) return;
  OnTick(now);
  if (suspicions_.size() < kMaxFingerprints) return;
  // Evict the fingerprint with the fewest crashes, so that blocked ones stay as
  // long as there are others.
  const auto it = std::min_element(
      suspicions_.begin(), suspicions_.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const Suspicion& s) {
          return std::make_pair(s.upstreams.size(), s.until);
        };
        return rank(a.second) < rank(b.second);
      });
  suspicions_.erase(it);
}

void CrashGuard::OnTick(TimePoint now) {
  std::erase_if(suspicions_,
                [&](const auto& entry) { return now >= entry.second.until; });
}

}  // namespace rwf
