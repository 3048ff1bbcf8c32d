#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "wire/messages_generated.h"

namespace rwf {

// Identifies requests that do the same.
Digest CrashFingerprint(std::string_view workspace, std::string_view method,
                        std::string_view path, std::string_view body);

// Stops a request that crashes the upstreams that run it. A fingerprint that
// was in flight at the crash of two distinct instances is blocked for
// kBlockDuration (of three, if another one was in flight at the same two); a
// successful response clears it.
class CrashGuard {
 public:
  static constexpr size_t kInstancesToBlock = 2;
  // Where another fingerprint was in flight at the same two crashes, either can
  // be the innocent one. Both may run once more, apart from other suspects, and
  // a third crash decides.
  static constexpr size_t kInstancesToBlockIfAmbiguous = 3;
  static constexpr Duration kBlockDuration = std::chrono::seconds(600);
  // A suspicion that arrives this soon after the fingerprint was cleared is
  // older than the success: floods overtake each other.
  static constexpr Duration kClearedRetention = std::chrono::seconds(3);
  static constexpr size_t kMaxFingerprints = 10'000;

  // Upstreams are named by id, the same on all VMs.
  void OnSent(const std::string& upstream, const Digest& fingerprint);
  // The request ended in any way but a crash of the instance. Returns the
  // message to flood if its success cleared a suspicion.
  std::vector<wire::CrashSuspicionT> OnFinished(const std::string& upstream,
                                                const Digest& fingerprint,
                                                bool success, TimePoint now);
  // A connection broke mid-request and a new one was refused. Everything in
  // flight at the instance becomes suspect and is no longer in flight. Returns
  // the messages to flood.
  std::vector<wire::CrashSuspicionT> OnCrash(const std::string& upstream,
                                             TimePoint now);
  // A message of a peer. True if it was news and is to be flooded on.
  bool OnMessage(const wire::CrashSuspicionT& message, TimePoint now);

  // True if the request is to be refused as suspected-crash.
  bool IsBlocked(const Digest& fingerprint, TimePoint now) const;
  // True if the fingerprint was in flight at a crash and not cleared since.
  bool IsSuspect(const Digest& fingerprint, TimePoint now) const;
  // False if the request is suspect and another suspect is in flight at the
  // upstream: of two suspects that share an instance, its crash would blame the
  // innocent one for the second time.
  bool MaySend(const std::string& upstream, const Digest& fingerprint,
               TimePoint now) const;

  void OnTick(TimePoint now);
  size_t size() const { return suspicions_.size(); }

 private:
  struct Suspicion {
    std::vector<std::string> upstreams;  // distinct, at most the larger limit
    TimePoint until{};
    TimePoint cleared_at{};
    bool cleared = false;
  };

  bool AddSuspicion(const Digest& fingerprint, const std::string& upstream,
                    TimePoint now);
  bool Clear(const Digest& fingerprint, TimePoint now);
  void EvictIfFull(TimePoint now);
  const Suspicion* FindActive(const Digest& fingerprint, TimePoint now) const;

  std::unordered_map<Digest, Suspicion> suspicions_;
  // Fingerprints in flight from this VM by upstream; one entry per request.
  std::unordered_map<std::string, std::vector<Digest>> in_flight_;
};

}  // namespace rwf
