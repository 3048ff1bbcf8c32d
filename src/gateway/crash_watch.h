#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "once/crash_guard.h"
#include "traffic/instance_registry.h"

namespace rwf {

// What a run whose connection broke was taken for.
enum class BrokenRunVerdict : uint8_t {
  kSuspected,     // its instance ended: the request may be the cause
  kCommonCause,   // many instances ended at once
  kNotConfirmed,  // its instance was not seen to end in time
};
const char* BrokenRunVerdictName(BrokenRunVerdict verdict);

struct SettledBrokenRun {
  Digest fingerprint{};
  std::string instance;
  BrokenRunVerdict verdict = BrokenRunVerdict::kSuspected;
  Duration age{};  // since the connection broke
  // Instances, this one included, at which connections broke at about the same
  // time.
  size_t instances_at_once = 0;
  friend bool operator==(const SettledBrokenRun&,
                         const SettledBrokenRun&) = default;
};

// Distinguishes requests that crash instances from requests whose responses
// were lost. A connection that breaks during a run counts as a crash only if
// the instance is seen to have ended soon after: it refuses connections, its
// entry is removed, or it has restarted.
class CrashWatch {
 public:
  // If an instance ends within this time after a broken run, the run is
  // considered the cause. A crashed instance restarts within a few seconds.
  static constexpr Duration kCrashConfirmWindow = std::chrono::seconds(3);
  // Crashes of at least this many instances within kMassCrashWindow have a
  // common cause, such as a power failure of a zone, and are not attributed to
  // requests.
  static constexpr size_t kMinMassCrashInstances = 4;
  static constexpr Duration kMassCrashWindow = std::chrono::milliseconds(500);

  bool IsBlocked(const Digest& fingerprint, TimePoint now) const {
    return guard_.IsBlocked(fingerprint, now);
  }
  void OnSent(const std::string& instance, const Digest& fingerprint);
  // `connection_lost` means that the connection ended during the run.
  void OnRunEnded(const std::string& instance, const Digest& fingerprint,
                  bool succeeded, bool connection_lost, TimePoint now);
  // The instance refused a connection, was removed or restarted.
  void OnInstanceEnded(const std::string& instance, TimePoint now);
  // Handles a suspicion reported by another VM.
  void OnMessage(const wire::CrashSuspicionT& message, TimePoint now);
  // Discards broken runs whose instance is still alive.
  void Tick(TimePoint now);

  // Emitted once for each run whose connection broke.
  sigc::signal<void(const SettledBrokenRun&)> signal_settled;
  // Emitted for each suspicion that must be sent to all other VMs.
  sigc::signal<void(const wire::CrashSuspicionT&)> signal_suspicion;

 private:
  struct BrokenRun {
    Digest fingerprint{};
    TimePoint at{};
  };
  // Returns the number of instances at which connections broke at about `at`.
  size_t InstancesBrokenAt(TimePoint at) const;
  void Publish(const std::vector<wire::CrashSuspicionT>& messages) const;

  CrashGuard guard_;
  std::map<std::string, std::vector<BrokenRun>> broken_runs_;  // by instance
  // Time of the first recent broken run of each instance, for IsMassCrash.
  std::map<std::string, TimePoint> first_broken_at_;
};

}  // namespace rwf
