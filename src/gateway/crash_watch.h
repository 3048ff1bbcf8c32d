#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "once/crash_guard.h"
#include "traffic/instance_registry.h"

namespace rwf {

// What a run whose connection broke was taken for.
enum class BrokenRunVerdict : uint8_t {
  kSuspected,    // its instance ended: the request may be the cause
  kCommonCause,  // many instances ended at once, and no request explains it
  kSucceeded,    // the same request succeeds elsewhere
  kInstanceLives,
  kNotConfirmed,  // its instance was not seen to end in time
};
const char* BrokenRunVerdictName(BrokenRunVerdict verdict);

struct SettledBrokenRun {
  Digest fingerprint{};
  std::string instance;
  BrokenRunVerdict verdict = BrokenRunVerdict::kSuspected;
  Duration age{};  // since the connection broke
  // Instances, this one included, that ended at about the same time.
  size_t instances_at_once = 0;
  friend bool operator==(const SettledBrokenRun&,
                         const SettledBrokenRun&) = default;
};

// Distinguishes requests that crash instances from requests whose responses
// were lost. A connection that breaks during a run counts as a crash only if
// the instance is seen to have ended soon after: it refuses connections, its
// entry is removed, or it has restarted. An instance is named by its process
// (ProcessName).
class CrashWatch {
 public:
  // If an instance is seen to have ended within this time after a broken run,
  // the run is considered the cause. The entry of an instance that ends goes
  // after three heartbeats, and is heard of up to two seconds later.
  static constexpr Duration kCrashConfirmWindow = std::chrono::seconds(7);
  // If at least this many instances end within kMassCrashWindow, a common cause
  // such as a power failure is assumed, unless requests that several of them
  // ran explain most of the ends.
  static constexpr size_t kMinMassCrashInstances = 4;
  static constexpr Duration kMassCrashWindow = std::chrono::milliseconds(500);
  // A request that succeeded this recently is not the cause of a crash.
  static constexpr Duration kSuccessRetention = std::chrono::seconds(10);

  bool IsBlocked(const Digest& fingerprint, TimePoint now) const {
    return guard_.IsBlocked(fingerprint, now);
  }
  // True if the request may have crashed an instance lately.
  bool IsSuspect(const Digest& fingerprint, TimePoint now) const;
  // `connection_lost` means that the instance ended the connection during the
  // run.
  void OnRunEnded(const std::string& instance, const Digest& fingerprint,
                  TimePoint sent_at, bool succeeded, bool connection_lost,
                  TimePoint now);
  // The instance responded to a request that was sent at `sent_at`.
  void OnInstanceResponded(const std::string& instance, TimePoint sent_at,
                           TimePoint now);
  // The instance refused a connection, was removed or restarted.
  void OnInstanceEnded(const std::string& instance, TimePoint now);
  // Handles a suspicion reported by another VM.
  void OnMessage(const wire::CrashSuspicionT& message, TimePoint now);
  // Returns the messages for a VM whose link has come up: it may have been
  // restarted or cut off.
  std::vector<wire::CrashSuspicionT> MessagesForNewLink(TimePoint now) const {
    return guard_.BlockedSuspicions(now);
  }
  // Settles broken runs for which the time has come.
  void Tick(TimePoint now);

  // Emitted once for each run whose connection broke.
  sigc::signal<void(const SettledBrokenRun&)> signal_settled;
  // Emitted for each suspicion that must be sent to all other VMs.
  sigc::signal<void(const wire::CrashSuspicionT&)> signal_suspicion;

 private:
  struct BrokenRun {
    Digest fingerprint{};
    TimePoint sent_at{};
    TimePoint at{};
  };
  // Runs of one instance that broke, oldest first.
  struct BrokenRuns {
    std::vector<BrokenRun> runs;
    bool has_ended = false;
    bool is_settled = false;
    TimePoint last_at() const { return runs.back().at; }
    const BrokenRun* Find(const Digest& fingerprint) const;
  };
  using BrokenRunsMap = std::map<std::string, BrokenRuns>;  // by instance
  using Ends = std::vector<const BrokenRunsMap::value_type*>;

  // Returns the instances whose connections broke at about the same time.
  Ends BrokenAt(TimePoint at, bool only_ended) const;
  void SettleIfDue(const std::string& instance, BrokenRuns* broken,
                   TimePoint now);
  BrokenRunVerdict Judge(const Digest& fingerprint, const Ends& ended,
                         TimePoint now) const;
  // True if several of the instances ran the request, so that it may have ended
  // them.
  bool IsCandidate(const Digest& fingerprint, const Ends& ended) const;
  // True if an instance ended under the request after another one had: a common
  // cause would have ended both before the second run.
  bool HasEndedInTurn(const Digest& fingerprint, const Ends& ended) const;
  void Settle(const std::string& instance, const BrokenRun& run,
              BrokenRunVerdict verdict, size_t at_once, TimePoint now);
  void Publish(const std::vector<wire::CrashSuspicionT>& messages) const;

  CrashGuard guard_;
  BrokenRunsMap broken_;
  std::unordered_map<Digest, TimePoint> succeeded_at_;
};

}  // namespace rwf
