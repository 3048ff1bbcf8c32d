#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/event_log.h"
#include "net/event_loop.h"
#include "net/peer_links.h"
#include "traffic/entry_vm_selector.h"
#include "traffic/fleet_limiter.h"
#include "traffic/instance_notices.h"
#include "traffic/placement.h"
#include "traffic/workspace_limiter.h"

namespace rwf {

// The entry that an entry VM writes for itself in the store.
struct FleetVm {
  std::string vm;
  std::string zone;
  std::string region;
  std::string address;  // IPv4
  uint16_t front_port = 0;
  uint16_t peer_port = 0;
  uint64_t incarnation = 0;
  EntryCapacity capacity;
  friend bool operator==(const FleetVm&, const FleetVm&) = default;
};

// Returns a seed for what must differ between VMs, such as the pace at cold
// instances or the delay of dials. The incarnation alone would not do: VMs may
// start in the same millisecond.
uint64_t RandomSeed(const FleetVm& vm);

// Format and parse the entry of a VM in the store. Parsing fails for any other
// text.
std::string FormatFleetVm(const FleetVm& vm);
Result<FleetVm> ParseFleetVm(const std::string& vm, const std::string& text);

// The other entry VMs: the links to them, the reports they send, and which of
// them callers may be directed to.
class Fleet {
 public:
  // Interval between reports in a small fleet. It grows with the fleet, so that
  // a VM sends at most about kMaxReportsPerSecond messages.
  static constexpr Duration kMinReportPeriod = std::chrono::milliseconds(100);
  static constexpr double kMaxReportsPerSecond = 120;
  // Every such report, and the first one on a new link, is a full report.
  static constexpr int kReportsPerFullReport = 20;
  // A VM is left out of look-ups when it has not reported for this long, even
  // if its link is up.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(1500);
  // A link without a report for this long is closed: after a partition, its
  // unacknowledged bytes would wait seconds for a retransmission.
  static constexpr Duration kLinkTimeout = std::chrono::milliseconds(2000);
  // A VM that has not reported for this long is not asked for store changes.
  static constexpr Duration kRelayReportTimeout =
      std::chrono::milliseconds(700);
  // The same timeouts in report periods, used where that is longer.
  static constexpr int kReportTimeoutPeriods = 3;
  static constexpr int kLinkTimeoutPeriods = 4;
  // A VM whose entry was removed is still assumed to use its share of the rate
  // limits for this long, unless its process is known to have ended.
  static constexpr Duration kDepartedPeerRetention = std::chrono::seconds(6);
  // A report is overdue after this many periods and the margin. The part of the
  // fleet whose reports are overdue keeps its part of the limits of workspaces.
  static constexpr double kOverduePeriods = 1.5;
  static constexpr Duration kOverdueMargin = std::chrono::milliseconds(200);
  // Time between the moment at which a VM notices that a peer is silent and the
  // reports of the others on it, beyond half a report period: ticks, and the
  // delay between regions.
  static constexpr Duration kReportDelayMargin = std::chrono::milliseconds(300);

  Fleet(EventLoop* loop, FleetVm self, WorkspaceLimiter* limiter,
        InstanceNotices* notices, EventLog* log);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Opens the links. `secret` proves that a peer belongs to the fleet.
  Result<void> Start(const std::string& secret);
  bool is_started() const { return links_ != nullptr; }

  void OnListed(const FleetVm& vm);
  void OnUnlisted(const std::string& vm);
  // State of this VM that it reports to its peers.
  struct OwnState {
    bool ready = false;
    bool leaving = false;
    bool keys_fresh = false;
    // Whether peers may ask this VM for store changes.
    bool may_relay = false;
    uint64_t catalog_version = 0;
    Duration store_contact{};
  };
  void SetOwnState(const OwnState& state);
  // Returns the VM of this region that watches the store for the others. Empty
  // if it is this VM or if there is none.
  std::string RelayVm() const;
  bool Send(const std::string& vm, wire::BodyUnion body);
  void SendToAll(const wire::MessageT& message);
  sigc::signal<void(const std::string& vm, const wire::ChangesRequestT&)>
      signal_changes_request;
  sigc::signal<void(const std::string& vm, const wire::ChangesReplyT&)>
      signal_changes_reply;
  sigc::signal<void(const wire::CrashSuspicionT&)> signal_crash_suspicion;
  sigc::signal<void(const std::string& vm)> signal_peer_up;
  sigc::signal<void(const std::string& vm, const SharedNotice&)>
      signal_instance_notice;
  sigc::signal<void(const std::string& vm, const wire::LimitClaimsT&)>
      signal_limit_claims;
  sigc::signal<void(const std::string& vm, const wire::LimitReplyT&)>
      signal_limit_reply;
  // Returns which VMs can keep limits of workspaces and which may admit
  // requests.
  std::vector<LimitPeer> LimitPeers() const;
  // Returns the longest store contact without a failure among the VMs that
  // reported recently; zero if there is none.
  Duration MaxStoreContact() const;

  // Sets the fraction of objects that this VM places outside its region, by
  // service.
  void SetOwnShares(std::map<std::string, double> shares) {
    shares_ = std::move(shares);
  }
  void SetOwnLoads(RegionLoads loads) { loads_ = std::move(loads); }
  // Returns the requests in flight of all peers that reported recently.
  RegionLoads PeerLoads() const;
  // Returns the shares of the peers in this region that reported recently.
  std::map<std::string, std::vector<double>> SharesInRegion() const;

  // Sets the rate of caller requests at this VM and the mean cost of one.
  void SetOwnDemand(double requests_per_s, const RequestCost& cost) {
    requests_per_s_ = requests_per_s;
    cost_ = cost;
  }
  // Returns the front addresses that a caller in `zone` should use, best first.
  std::vector<std::string> AddressesFor(const std::string& zone,
                                        const std::string& region) const;
  // Returns the number of VMs in this region, including this one.
  size_t VmsInRegion() const;
  size_t size() const { return peers_.size(); }
  // Returns whether at least `n` peers are linked.
  bool HasLinks(size_t n) const;
  // Sends the current state to all peers.
  void SendReports();

 private:
  struct Peer {
    FleetVm info;
    bool is_listed = true;
    TimePoint unlisted_at{};
    bool was_linked = false;  // as last logged
    // No process was listening at the latest dial.
    bool is_connection_refused = false;
    TimePoint last_report_at{};
    bool has_report = false;
    bool ready = false;
    bool leaving = false;
    bool keys_fresh = false;
    bool may_relay = false;
    Duration limits_kept{};
    bool is_unregistered = false;
    // Not set for VMs of a version that does not report it.
    std::shared_ptr<const std::set<std::string>> passed_over;
    Duration store_contact{};
    double requests_per_s = 0;
    std::map<std::string, double> shares;
    RegionLoads loads;
  };
  void UpdateLinks();
  enum class ReportKind : uint8_t {
    kChanges,
    kFull,         // includes usage without changes
    kFirstOnLink,  // also includes all notices of instances
  };
  wire::FleetReportT MakeReport(ReportKind kind);
  Duration ReportPeriod() const;
  Duration OverdueTime() const;
  bool HasLink(const Peer& it) const;
  bool HasRecentReport(const Peer& it, TimePoint now) const;
  void Tick();
  bool IsUsable(const Peer& it, TimePoint now) const;
  void OnMessage(const std::string& vm, const wire::MessageT& message);
  void OnReport(const std::string& vm, const wire::FleetReportT& report);

  EventLoop* loop_;
  FleetVm self_;
  WorkspaceLimiter* limiter_;
  InstanceNotices* notices_;
  EventLog* log_;
  std::unique_ptr<PeerLinks> links_;
  std::map<std::string, Peer> peers_;  // without this VM
  OwnState own_;
  double requests_per_s_ = 0;
  RequestCost cost_;
  std::map<std::string, double> shares_;
  RegionLoads loads_;
  TimePoint last_report_sent_at_{};
  std::shared_ptr<const std::set<std::string>> reported_passed_over_;
  // Reports sent since the last full report.
  int reports_since_full_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
