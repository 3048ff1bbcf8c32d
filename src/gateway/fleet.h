#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/event_log.h"
#include "net/event_loop.h"
#include "net/peer_links.h"
#include "traffic/entry_vm_selector.h"
#include "traffic/fleet_limiter.h"
#include "traffic/placement.h"

namespace rwf {

// One entry VM as it lists itself in the store.
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

// The text of a VM's entry in the store, and back. Nothing is returned for text
// that is no such entry.
std::string FormatFleetVm(const FleetVm& vm);
Result<FleetVm> ParseFleetVm(const std::string& vm, const std::string& text);

// The other entry VMs: links to them, what they report, and which of them
// callers may be sent to.
class Fleet {
 public:
  // How often reports are sent while the fleet is small. Larger fleets report
  // less often, so that a VM sends at most about kMaxReportsPerSecond messages.
  static constexpr Duration kMinReportPeriod = std::chrono::milliseconds(100);
  static constexpr double kMaxReportsPerSecond = 120;
  // Every so many reports, and when a link came up, one tells everything.
  static constexpr int kReportsPerFullReport = 20;
  // A VM whose link is up is left out of look-ups after this silence.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(1500);
  // A link without a report for this long is closed: after a partition its
  // bytes would wait for a retransmission for seconds.
  static constexpr Duration kLinkTimeout = std::chrono::milliseconds(2000);
  // A VM that was not heard for this long is not asked for changes of the
  // store.
  static constexpr Duration kRelayReportTimeout =
      std::chrono::milliseconds(700);
  // The same in periods of the reports, where those are longer.
  static constexpr int kReportTimeoutPeriods = 3;
  static constexpr int kLinkTimeoutPeriods = 4;
  // A VM that left the list is still assumed to spend its part of the limits
  // for this long unless its process is known to have ended.
  static constexpr Duration kDepartedPeerRetention = std::chrono::seconds(6);

  Fleet(EventLoop* loop, FleetVm self, FleetLimiter* limiter, EventLog* log);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Opens links; `secret` proves that a peer belongs to the fleet.
  Result<void> Start(const std::string& secret);
  bool is_started() const { return links_ != nullptr; }

  void OnListed(const FleetVm& vm);
  void OnUnlisted(const std::string& vm);
  // What this VM tells the others of itself.
  struct OwnState {
    bool ready = false;
    bool leaving = false;
    bool keys_fresh = false;
    // Whether others may ask it for changes of the store.
    bool may_relay = false;
    uint64_t catalog_version = 0;
    Duration store_contact{};
  };
  void SetOwnState(const OwnState& state);
  // The VM of this region that watches the store for the others: empty if it is
  // this one, or if there is none.
  std::string RelayVm() const;
  bool Send(const std::string& vm, wire::BodyUnion body);
  void SendToAll(const wire::MessageT& message);
  sigc::signal<void(const std::string& vm, const wire::ChangesRequestT&)>
      signal_changes_request;
  sigc::signal<void(const std::string& vm, const wire::ChangesReplyT&)>
      signal_changes_reply;
  sigc::signal<void(const wire::CrashSuspicionT&)> signal_crash_suspicion;
  // The longest time for which a VM that was heard lately has had the store
  // without a failure; zero if none has it.
  Duration MaxStoreContact() const;

  // Shares of objects that this VM places outside its region, by service.
  void SetOwnShares(std::map<std::string, double> shares) {
    shares_ = std::move(shares);
  }
  void SetOwnLoads(RegionLoads loads) { loads_ = std::move(loads); }
  // Requests in flight of all other VMs that were heard lately.
  RegionLoads PeerLoads() const;
  // Shares of the other VMs of this region that were heard lately.
  std::map<std::string, std::vector<double>> SharesInRegion() const;

  // Requests of callers a second at this VM, and what one costs it.
  void SetOwnDemand(double requests_per_s, const RequestCost& cost) {
    requests_per_s_ = requests_per_s;
    cost_ = cost;
  }
  // Front addresses that a caller of a zone should use, best first.
  std::vector<std::string> AddressesFor(const std::string& zone,
                                        const std::string& region) const;
  // VMs of this region, this one included.
  size_t VmsInRegion() const;
  size_t size() const { return peers_.size(); }
  // Sends the present state to all peers at once.
  void SendReports();

 private:
  struct Peer {
    FleetVm info;
    bool is_listed = true;
    TimePoint unlisted_at{};
    bool has_link = false;
    bool is_connection_refused = false;  // no process listens there
    TimePoint last_report_at{};
    bool has_report = false;
    bool ready = false;
    bool leaving = false;
    bool keys_fresh = false;
    bool may_relay = false;
    Duration store_contact{};
    double requests_per_s = 0;
    std::map<std::string, double> shares;
    RegionLoads loads;
  };
  void UpdateLinks();
  // What this VM tells the others; `is_full`: also what is unchanged.
  wire::FleetReportT MakeReport(bool is_full);
  Duration ReportPeriod() const;
  bool HasRecentReport(const Peer& it, TimePoint now) const;
  void Tick();
  bool IsUsable(const Peer& it, TimePoint now) const;
  void OnMessage(const std::string& vm, const wire::MessageT& message);
  void OnReport(const std::string& vm, const wire::FleetReportT& report);

  EventLoop* loop_;
  FleetVm self_;
  FleetLimiter* limiter_;
  EventLog* log_;
  std::unique_ptr<PeerLinks> links_;
  std::map<std::string, Peer> peers_;  // without this one
  OwnState own_;
  double requests_per_s_ = 0;
  RequestCost cost_;
  std::map<std::string, double> shares_;
  RegionLoads loads_;
  TimePoint last_report_sent_at_{};
  // Reports since the last one that told everything.
  int reports_since_full_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
