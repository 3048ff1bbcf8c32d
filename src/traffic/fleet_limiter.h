#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"

namespace rwf {

// What one VM tells the others of one workspace.
struct WorkspaceUsage {
  std::string workspace;
  uint64_t admitted = 0;  // since the process started
  double demand = 0;      // arrivals a second, admitted or not
  double level = 0;       // tokens that it believes the fleet has left
  friend bool operator==(const WorkspaceUsage&,
                         const WorkspaceUsage&) = default;
};

// Holds each workspace to its rate and burst over all VMs together.
//
// Every VM keeps a replica of one token bucket for each workspace and subtracts
// what the others report to have admitted. While the bucket is well filled a VM
// admits freely; when it is low, a VM spends only its share of the refill,
// which follows its share of the demand. VMs that are not heard are assumed to
// spend an even part, so that the parts of a partitioned fleet together stay
// within the rate.
class FleetLimiter {
 public:
  // Part of the burst above which tokens are taken without regard to shares.
  static constexpr double kFreeAdmissionFraction = 0.5;
  // Time constant of the demand estimate.
  static constexpr Duration kDemandWindow = std::chrono::milliseconds(1500);
  // A VM that was not heard for this long is assumed to spend an even part.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(700);
  // The same in periods of the reports, where those are longer.
  static constexpr int kReportTimeoutPeriods = 3;
  // With reports less frequent than this, tokens are only taken by shares: what
  // all VMs took freely between two reports could be many times the burst.
  static constexpr Duration kMaxFreeAdmissionPeriod =
      std::chrono::milliseconds(500);
  // Window of the demand estimate in periods of the reports, where that is
  // longer than kDemandWindow: a VM of a large fleet sees few requests of one
  // workspace, and a short window would give it a share by chance.
  static constexpr int kDemandWindowPeriods = 2;
  // Shares and the number of VMs heard are worked out anew after this time, and
  // at most so many times in a period of the reports, from which they follow.
  // Both take a pass over all VMs.
  static constexpr Duration kShareRefreshInterval =
      std::chrono::milliseconds(30);
  static constexpr int kShareRefreshesPerPeriod = 10;
  // Smallest share of the refill, as a part of an even one, so that a workspace
  // that turns to another VM is not refused there until the next reports.
  static constexpr double kMinShareRatio = 0.25;
  // Tokens of the own share that may be saved, in seconds of refill.
  static constexpr double kShareDepthSeconds = 0.5;
  // Part of the rate that is given out; the rest covers reports under way.
  static constexpr double kUsableRateFraction = 1.0;

  // What may be admitted beyond rate and burst in a window, all VMs together.
  struct Tolerance {
    double ratio = 0;
    double requests = 0;
    Duration window = std::chrono::seconds(5);
    friend bool operator==(const Tolerance&, const Tolerance&) = default;
  };
  // Part of the tolerance that a process begins with: what the VMs spent before
  // they were all restarted is not known, and the rest of the tolerance covers
  // reports under way.
  static constexpr double kInitialToleranceFraction = 0.5;
  // Callers use at least about half of the VMs, so each VM starts with twice an
  // even part of that.
  static constexpr double kInitialShareFactor = 2;
  // For this long after a workspace is first known here, what it started with
  // stays usable although few VMs are heard.
  static constexpr Duration kStartupPeriod = std::chrono::seconds(1);
  void SetTolerance(const Tolerance& tolerance) { tolerance_ = tolerance; }
  // How often every VM reports.
  void SetReportPeriod(Duration period) { report_period_ = period; }

  // Limits of a new configuration. Buckets of known workspaces keep their
  // levels, new ones start with a part of the tolerance.
  void SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                 TimePoint now);
  // All VMs of the fleet but this one, heard or not.
  void SetPeers(const std::vector<std::string>& peers, TimePoint now);

  // Takes a token; false if the request is over the limit.
  bool TryAdmit(const std::string& workspace, TimePoint now);
  // The request did not run after all.
  void Refund(const std::string& workspace);
  // Time until a token can be expected.
  Duration RetryAfter(const std::string& workspace, TimePoint now) const;

  // What is new since the last report, or everything. Receivers take what a
  // report leaves out as unchanged.
  std::vector<WorkspaceUsage> Report(bool is_full, TimePoint now);
  void OnReport(const std::string& peer, uint64_t incarnation,
                const std::vector<WorkspaceUsage>& usage, TimePoint now);

 private:
  struct PeerUsage {
    uint64_t admitted = 0;
    double demand = 0;
    TimePoint last_report_at{};
    bool is_known = false;
  };
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double share_tokens = 0;
    double demand = 0;
    uint64_t admitted = 0;
    uint64_t reported = 0;  // of `admitted`
    double reported_demand = 0;
    TimePoint refilled_at{};
    double share = 1;       // as of share_updated_at
    bool is_unused = true;  // nothing was asked since the process started
    TimePoint share_updated_at{};
    TimePoint created_at{};
    double initial_level = 0;
    bool has_peer_level = false;
    std::map<std::string, PeerUsage> peers;
  };
  struct Peer {
    uint64_t incarnation = 0;
    TimePoint last_report_at{};
    bool has_reported = false;
  };
  void Refill(Bucket* bucket, TimePoint now);
  double ComputeShare(const Bucket& bucket, TimePoint now) const;
  size_t ReportingPeers(TimePoint now) const;
  bool IsReporting(const Peer& peer, TimePoint now) const {
    const Duration timeout =
        std::max(kReportTimeout, report_period_ * kReportTimeoutPeriods);
    return peer.has_reported && now - peer.last_report_at < timeout;
  }
  double ReportingFraction(TimePoint now);
  bool HasInfrequentReports() const {
    return report_period_ > kMaxFreeAdmissionPeriod;
  }
  Duration ShareRefreshInterval() const {
    return std::max(kShareRefreshInterval,
                    report_period_ / kShareRefreshesPerPeriod);
  }
  Duration DemandWindow() const {
    return std::max(kDemandWindow, report_period_ * kDemandWindowPeriods);
  }

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
  Tolerance tolerance_;
  Duration report_period_{};
  double reporting_fraction_ = 1;  // as of reporting_fraction_at_
  TimePoint reporting_fraction_at_{};
};

}  // namespace rwf
