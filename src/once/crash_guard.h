#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "wire/messages_generated.h"

namespace rwf {

// Identifies identical requests of a workspace.
Digest CrashFingerprint(std::string_view workspace, std::string_view method,
                        std::string_view path,
                        const std::vector<std::string_view>& body);

// Stops requests that crash the upstreams that run them. A fingerprint that was
// in flight at the crashes of two distinct instances is blocked for
// kBlockDuration, unless another fingerprint explains these crashes: it was in
// flight at all of them and at further ones. If it was in flight at just the
// same ones, three are needed. A successful response clears a fingerprint.
class CrashGuard {
 public:
  static constexpr size_t kInstancesToBlock = 2;
  // If another fingerprint was in flight at the same two crashes, either may be
  // harmless. Both may run again, separately from other suspects, until a third
  // crash identifies the cause.
  static constexpr size_t kInstancesToBlockIfAmbiguous = 3;
  // Crashed instances that are remembered for each fingerprint.
  static constexpr size_t kMaxInstances = 32;
  static constexpr Duration kBlockDuration = std::chrono::seconds(600);
  // A suspicion of a crash that happened this soon after the fingerprint was
  // cleared is taken to be older than the success, because flooded messages can
  // overtake each other.
  static constexpr Duration kClearedRetention = std::chrono::seconds(3);
  static constexpr size_t kMaxFingerprints = 10'000;

  // A request was sent. `upstream` is an id that is the same on all VMs.
  void OnSent(const std::string& upstream, const Digest& fingerprint);
  // The request ended in any way other than a crash of the instance. Returns
  // the message to flood if its success cleared a suspicion.
  std::vector<wire::CrashSuspicionT> OnFinished(const std::string& upstream,
                                                const Digest& fingerprint,
                                                bool success, TimePoint now);
  // A connection was lost during a request and a new one was refused. All
  // requests in flight at the instance become suspect and are no longer in
  // flight. Returns the messages to flood.
  std::vector<wire::CrashSuspicionT> OnCrash(const std::string& upstream,
                                             TimePoint now);
  // Handles a message of a peer. Returns true if it was new and must be
  // forwarded.
  bool OnMessage(const wire::CrashSuspicionT& message, TimePoint now);

  // Returns the suspicions of the blocked fingerprints, for a peer that may
  // have missed them.
  std::vector<wire::CrashSuspicionT> BlockedSuspicions(TimePoint now) const;
  // Returns the message that clears the fingerprint if it was cleared and no
  // crash followed.
  std::optional<wire::CrashSuspicionT> Clearance(const Digest& fingerprint,
                                                 TimePoint now) const;

  // True if the request must be refused as suspected-crash.
  bool IsBlocked(const Digest& fingerprint, TimePoint now) const;
  // True if the fingerprint was in flight at a crash and has not been cleared
  // since.
  bool IsSuspect(const Digest& fingerprint, TimePoint now) const;
  // True if a fingerprint that was in flight at several crashes was so at that
  // of this upstream.
  bool IsCrashExplained(const std::string& upstream, TimePoint now) const;
  // False if the request is suspect and another suspect is in flight at the
  // upstream: a crash of an instance that runs two suspects would count against
  // the harmless one a second time.
  bool MaySend(const std::string& upstream, const Digest& fingerprint,
               TimePoint now) const;

  void OnTick(TimePoint now);
  size_t size() const { return suspicions_.size(); }

 private:
  struct Suspicion {
    // Distinct ids, at most kMaxInstances.
    std::vector<std::string> upstreams;
    TimePoint last_crash_at{};
    TimePoint until{};
    TimePoint cleared_at{};
    bool cleared = false;
  };

  bool AddSuspicion(const Digest& fingerprint, const std::string& upstream,
                    TimePoint crashed_at, TimePoint now);
  bool Clear(const Digest& fingerprint, TimePoint cleared_at, TimePoint now);
  void EvictIfFull(TimePoint now);
  const Suspicion* FindActive(const Digest& fingerprint, TimePoint now) const;

  std::unordered_map<Digest, Suspicion> suspicions_;
  // Fingerprints in flight from this VM by upstream; one entry per request.
  std::unordered_map<std::string, std::vector<Digest>> in_flight_;
};

}  // namespace rwf
