#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/limit_messages.h"

namespace rwf {

// Usage of one limit as one VM reports it to its peers.
struct LimitUsage {
  std::string name;
  uint64_t admitted = 0;  // since the process started
  double demand = 0;      // arrivals per second, admitted or not
  double level = 0;       // its estimate of the fleet's remaining tokens
  friend bool operator==(const LimitUsage&, const LimitUsage&) = default;
};

// Holds each of a set of named limits to its rate and burst across all VMs
// together: the requests that an instance takes. WorkspaceLimiter does this for
// the requests of workspaces, which are many more than VMs.
//
// Every VM keeps a replica of one token bucket per limit and subtracts what its
// peers report as admitted. While the level of the bucket is high, a VM
// admits requests freely. When it is low, a VM spends only its share of the
// refill, which is proportional to its share of the demand. VMs whose reports
// have timed out are assumed to spend an even share, so that the sides of a
// network partition together stay within the rate.
class FleetLimiter {
 public:
  // Fraction of the burst above which tokens are taken without regard to
  // shares.
  static constexpr double kFreeAdmissionFraction = 0.5;
  // Default time constant of the demand estimate.
  static constexpr Duration kDemandWindow = std::chrono::milliseconds(1500);
  // A VM that has sent no report for this long is assumed to spend an even
  // share.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(700);
  // The same timeout in report periods, where that is longer.
  static constexpr int kReportTimeoutPeriods = 3;
  // With longer report periods, tokens are only taken by shares: the VMs could
  // otherwise admit many times the burst between two reports.
  static constexpr Duration kMaxFreeAdmissionPeriod =
      std::chrono::milliseconds(500);
  // Window of the demand estimate in report periods, where that is longer. A VM
  // of a large fleet receives few requests of one workspace, and a short window
  // would make its share random.
  static constexpr int kDemandWindowPeriods = 2;
  // Shares and the number of reporting VMs are recomputed at this interval, but
  // at most kShareRefreshesPerPeriod times per report period, since they depend
  // on the reports. Both take a pass over all VMs.
  static constexpr Duration kShareRefreshInterval =
      std::chrono::milliseconds(30);
  static constexpr int kShareRefreshesPerPeriod = 10;
  // Minimum share of the refill as a fraction of an even share, so that a
  // workspace whose requests move to another VM is not refused there until the
  // next reports.
  static constexpr double kMinShareRatio = 0.25;
  // Tokens of a VM's own share that may accumulate, in seconds of refill.
  static constexpr double kShareDepthSeconds = 0.5;
  // Fraction of the rate that is distributed. The rest covers reports in
  // transit.
  static constexpr double kUsableRateFraction = 1.0;

  using Tolerance = LimitTolerance;
  // Fraction of the tolerance that a process starts with. What the VMs spent
  // before all of them were restarted is unknown, and the rest of the tolerance
  // covers reports in transit.
  static constexpr double kInitialToleranceFraction = 0.5;
  // Each VM starts with this multiple of an even share of the initial
  // tolerance: callers use at least about half of the VMs.
  static constexpr double kInitialShareFactor = 2;
  // Time after a workspace is added during which its initial level stays usable
  // even if few VMs report.
  static constexpr Duration kStartupPeriod = std::chrono::seconds(1);
  // How the limits of one kind are kept.
  struct Policy {
    // Whether tokens above kFreeAdmissionFraction of the burst are taken
    // without regard to shares. If not, the VMs together never spend more than
    // the burst between two reports.
    bool has_free_admission = true;
    // Whether the first report of a peer on a limit counts as spending. It
    // does for limits that all VMs begin to keep at about the same time.
    bool counts_first_report = false;
    // Whether full reports leave out limits without demand.
    bool omits_idle = false;
    // Demand, in requests per second, that counts as one unit when changes are
    // compared.
    double min_demand_change = 1;
    // Time constant of the demand estimate.
    Duration demand_window = kDemandWindow;
    friend bool operator==(const Policy&, const Policy&) = default;
  };
  void SetPolicy(const Policy& policy) { policy_ = policy; }
  void SetTolerance(const Tolerance& tolerance) { tolerance_ = tolerance; }
  // Sets the interval between two reports of a VM.
  void SetReportPeriod(Duration period) { report_period_ = period; }

  // Adds or changes one limit. A known bucket keeps its level, a new one starts
  // with a fraction of the tolerance.
  void SetLimit(const std::string& name, double rate, double burst,
                TimePoint now);
  void RemoveLimit(const std::string& name) { buckets_.erase(name); }
  // Applies the limits of a new configuration and removes all others.
  void SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                 TimePoint now);
  // Sets all other VMs of the fleet, whether they report or not.
  void SetPeers(const std::vector<std::string>& peers, TimePoint now);

  // Takes a token. Returns false if the request is over the limit.
  bool TryAdmit(const std::string& name, TimePoint now);
  // Returns whether TryAdmit() would succeed, without taking a token.
  bool HasToken(const std::string& name, TimePoint now);
  // Counts a request that went elsewhere or was refused for lack of a token.
  // It is part of this VM's demand.
  void OnDeclined(const std::string& name, TimePoint now);
  // Returns the token of a request that did not run.
  void Refund(const std::string& name);
  // Returns the delay after which a refused caller should retry.
  Duration RetryAfter(const std::string& name, TimePoint now) const;
  // Returns the time until HasToken() is expected to be true.
  Duration TimeUntilToken(const std::string& name, TimePoint now);

  // Returns the changes since the last report, or all limits in use if
  // `is_full`. Receivers treat limits that a report omits as unchanged.
  std::vector<LimitUsage> Report(bool is_full, TimePoint now);
  void OnReport(const std::string& peer, uint64_t incarnation,
                const std::vector<LimitUsage>& usage, TimePoint now);

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
    bool is_unused = true;  // no request since the process started
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
  // Refills the bucket and scales down its initial tokens on first use.
  void Prepare(Bucket* bucket, TimePoint now);
  // Whether a prepared bucket has a token for this VM.
  bool IsOpen(const Bucket& bucket) const;
  void CountDemand(Bucket* bucket) const;
  double ComputeShare(const Bucket& bucket, TimePoint now) const;
  size_t ReportingPeers(TimePoint now) const;
  bool IsReporting(const Peer& peer, TimePoint now) const {
    const Duration timeout =
        std::max(kReportTimeout, report_period_ * kReportTimeoutPeriods);
    return peer.has_reported && now - peer.last_report_at < timeout;
  }
  double ReportingFraction(TimePoint now);
  // Whether tokens are only taken by shares.
  bool IsSharesOnly() const {
    return !policy_.has_free_admission ||
           report_period_ > kMaxFreeAdmissionPeriod;
  }
  Duration ShareRefreshInterval() const {
    return std::max(kShareRefreshInterval,
                    report_period_ / kShareRefreshesPerPeriod);
  }
  Duration DemandWindow() const {
    return std::max(policy_.demand_window,
                    report_period_ * kDemandWindowPeriods);
  }

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
  Policy policy_;
  Tolerance tolerance_;
  Duration report_period_{};
  double reporting_fraction_ = 1;  // as of reporting_fraction_at_
  TimePoint reporting_fraction_at_{};
};

}  // namespace rwf
