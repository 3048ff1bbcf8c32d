#pragma once

#include <sigc++/sigc++.h>

#include <map>
#include <string>
#include <vector>

#include "once/crash_guard.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Tells requests that crash the instances that run them from requests whose
// answers were lost. A connection that breaks during a run is a crash only if
// the instance is seen to have ended soon after: nothing listens there any
// more, its entry went, or it has started anew.
class CrashWatch {
 public:
  // Time after a broken run in which the end of its instance counts as caused
  // by it. A crashed instance is back after some seconds.
  static constexpr Duration kCrashConfirmWindow = std::chrono::seconds(3);
  // Crashes of this many instances within kMassCrashWindow have a common cause,
  // such as a zone without power, and blame no request.
  static constexpr size_t kMinMassCrashInstances = 4;
  static constexpr Duration kMassCrashWindow = std::chrono::milliseconds(500);

  bool IsBlocked(const Digest& fingerprint, TimePoint now) const {
    return guard_.IsBlocked(fingerprint, now);
  }
  void OnSent(const std::string& instance, const Digest& fingerprint);
  // `broke` if the connection ended during the run.
  void OnRunEnded(const std::string& instance, const Digest& fingerprint,
                  bool succeeded, bool connection_lost, TimePoint now);
  // The instance refused a connection, left the list or started anew.
  void OnInstanceEnded(const std::string& instance, TimePoint now);
  // A message of another VM.
  void OnMessage(const wire::CrashSuspicionT& message, TimePoint now);
  // Gives up on broken runs whose instance lives on.
  void Tick(TimePoint now);

  // To be sent to all other VMs.
  sigc::signal<void(const wire::CrashSuspicionT&)> signal_suspicion;

 private:
  struct BrokenRun {
    Digest fingerprint{};
    TimePoint at{};
  };
  bool IsMassCrash(TimePoint at) const;
  void Publish(const std::vector<wire::CrashSuspicionT>& messages) const;

  CrashGuard guard_;
  std::map<std::string, std::vector<BrokenRun>> broken_runs_;  // by instance
  // First broken run of each instance lately, for IsMassCrash.
  std::map<std::string, TimePoint> first_broken_at_;
};

}  // namespace rwf
