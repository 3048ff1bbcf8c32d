#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/empty_limits.h"
#include "traffic/limit_keeper.h"
#include "traffic/limit_messages.h"
#include "traffic/limit_votes.h"

namespace rwf {

// Holds each workspace to its rate and burst across all VMs.
//
// One VM keeps the limit of a workspace, found by rendezvous hashing among the
// linked VMs. All VMs admit requests freely and tell the keeper every
// kClaimInterval. Only while the keeper says that tokens are scarce does a
// request wait for its grant. So the messages of a VM grow with its own
// requests and not with the size of the fleet.
//
// The class does no I/O: messages to other VMs and decisions on waiting
// requests are fetched with TakeMessages() and TakeDecisions().
class WorkspaceLimiter {
 public:
  // Interval at which admitted requests are claimed.
  static constexpr Duration kClaimInterval = std::chrono::milliseconds(50);
  // A keeper that does not reply for this long is passed over until it is heard
  // of again. It covers two regions' delay and a pause of a VM whose processor
  // time is used up.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);
  // A request that has waited this long for grants is refused.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(700);
  // After its start, a VM waits for links to this part of the fleet before it
  // decides, but at most for this long. It would otherwise spend only its part
  // of the rates.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1000);
  static constexpr double kSettledReach = 0.8;
  // From then on it keeps limits, but decides nothing until it has heard which
  // of the other VMs keep limits too: all of them may have started at once.
  static constexpr Duration kAnnounceTime = std::chrono::milliseconds(100);
  // If Tick() is this late, the process was paused and other VMs have kept its
  // limits.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(1000);

  using Ticket = uint64_t;
  enum class Admission : uint8_t { kAdmitted, kRefused, kWaiting };
  struct Result {
    Admission admission = Admission::kAdmitted;
    Duration retry_after{};
    friend bool operator==(const Result&, const Result&) = default;
  };
  struct Decision {
    Ticket ticket = 0;
    bool is_admitted = false;
    Duration retry_after{};
    friend bool operator==(const Decision&, const Decision&) = default;
  };
  struct Message {
    std::string vm;
    LimitClaims claims;
    friend bool operator==(const Message&, const Message&) = default;
  };
  struct Counters {
    uint64_t free = 0;             // admitted without a grant
    uint64_t asked = 0;            // requests that waited for a grant
    uint64_t refused = 0;          // over the limit
    uint64_t refused_at_once = 0;  // of these, without asking the keeper
    uint64_t expired = 0;          // refused since no keeper replied
    uint64_t timeouts = 0;         // keepers passed over
    friend bool operator==(const Counters&, const Counters&) = default;
  };

  WorkspaceLimiter(std::string self, TimePoint started_at)
      : self_(std::move(self)), started_at_(started_at) {}

  void SetTolerance(const LimitTolerance& tolerance) {
    keeper_.SetTolerance(tolerance);
  }
  void SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                 TimePoint now);
  // Sets the other VMs. Must be called whenever a link comes up or goes down.
  void SetPeers(const std::vector<LimitPeer>& peers, TimePoint now);
  // Sets whether this VM sees its own entry in the store and renews it, and
  // whether all VMs that accept keys have seen the entry too.
  void SetRegistered(bool is_registered, bool is_known_to_all, TimePoint now);
  // Sets how long the other VMs may take to report that they pass over a VM.
  void SetReportDelay(Duration delay) { report_delay_ = delay; }
  // Returns the VMs that this VM does not hear and so does not take for
  // keepers. The object changes only with its contents.
  const std::shared_ptr<const std::set<std::string>>& passed_over() const {
    return passed_over_;
  }
  bool is_registered() const { return is_registered_; }
  // A leaving VM hands its limits over to the others.
  void SetLeaving(bool is_leaving, TimePoint now);

  // Decides on a request, or keeps it waiting under its ticket.
  Result Admit(const std::string& workspace, Ticket ticket, TimePoint now);
  // The caller of a waiting request has left.
  void Cancel(Ticket ticket);
  // Returns the token of an admitted request that did not run.
  void Return(const std::string& workspace, TimePoint now);

  // Must be called every kClaimInterval.
  void Tick(TimePoint now);
  // Handles claims of another VM.
  LimitReply OnClaims(const LimitClaims& claims, TimePoint now);
  void OnReply(const std::string& vm, const LimitReply& reply, TimePoint now);
  // Handles the list of all limits that are scarce at a keeper.
  void OnScarceLimits(const std::string& vm,
                      const std::vector<std::string>& names, TimePoint now);

  std::vector<std::string> ScarceLimits(TimePoint now) {
    return keeper_.ScarceLimits(now);
  }
  // Returns what all VMs must be told at once.
  std::vector<LimitVerdict> TakeChanges(TimePoint now) {
    return keeper_.TakeChanges(now);
  }
  std::vector<Message> TakeMessages();
  std::vector<Decision> TakeDecisions();

  // Returns the VM that keeps the limit of a workspace.
  const std::string& KeeperOf(const std::string& workspace);
  // Returns whether this VM knows enough of the fleet to keep limits.
  bool is_settled() const { return was_settled_; }
  // Returns the time for which this VM has kept limits.
  Duration KeptFor(TimePoint now) const {
    return was_settled_ ? now - settled_at_ : Duration::zero();
  }
  double reach() const { return votes_.reach(); }
  size_t kept() const { return keeper_.kept(); }
  size_t waiting() const { return waiting_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Use {
    uint32_t admitted = 0;
    uint32_t returned = 0;
  };
  struct SentClaims {
    uint64_t id = 0;
    TimePoint sent_at{};
    std::vector<LimitClaim> claims;
    std::vector<Ticket> tickets;
  };
  struct Waiting {
    std::string workspace;
    TimePoint since{};
    bool is_cancelled = false;
  };
  bool IsSettled(TimePoint now) const {
    return reach() >= kSettledReach || now - started_at_ >= kSettleTime;
  }
  void Settle(TimePoint now);
  // Decides on the requests that have waited since the start.
  void BeginDeciding(TimePoint now);
  bool NeedsGrant(const std::string& keeper,
                  const std::string& workspace) const;
  bool CanKeep(const std::string& vm) const;
  // Sends what is to be claimed, one message to each keeper.
  void ClaimUses(TimePoint now);
  void UpdatePassedOver(TimePoint now);
  void UpdateParts(TimePoint now);
  Keeping KeepingOf(const std::string& workspace);
  // Chooses the keepers anew, and sends them what the former ones did not
  // confirm.
  void ChooseKeepers(TimePoint now);
  void Decide(Ticket ticket, bool is_admitted, Duration retry_after,
              TimePoint now);
  // Asks the present keeper for a grant, or decides if this VM keeps the limit.
  void Ask(Ticket ticket, TimePoint now);
  void SendClaims(const std::string& vm, std::vector<LimitClaim> claims,
                  std::vector<Ticket> tickets, TimePoint now);
  // Takes back what was sent to a VM that does not reply.
  std::vector<Ticket> Recall(const std::string& vm);

  std::string self_;
  TimePoint started_at_;
  LimitKeeper keeper_;
  std::vector<LimitPeer> peers_;
  std::set<std::string> silent_;  // passed over until they are heard of again
  bool is_leaving_ = false;
  bool was_settled_ = false;
  bool is_deciding_ = false;
  TimePoint settled_at_{};
  LimitVotes votes_;
  bool is_registered_ = true;
  bool is_known_to_all_ = true;
  Duration report_delay_ = std::chrono::milliseconds(450);
  std::shared_ptr<const std::set<std::string>> passed_over_ =
      std::make_shared<const std::set<std::string>>();
  // Since when this VM passes over each of them.
  std::map<std::string, TimePoint> passed_over_since_;
  // The parts change without an event at this time.
  std::optional<TimePoint> parts_change_at_;
  std::unordered_map<std::string, std::string> keepers_;  // by workspace
  std::map<std::string, Use> unclaimed_;                  // by workspace
  std::map<std::string, std::deque<SentClaims>> sent_;    // by keeper
  std::map<std::string, std::set<std::string>> scarce_;   // by keeper
  // Limits whose keeper was lost, until the next one has told their state.
  std::set<std::string> unconfirmed_;
  EmptyLimits empty_;
  std::map<Ticket, Waiting> waiting_;
  std::vector<Message> messages_;
  std::vector<Decision> decisions_;
  uint64_t next_id_ = 1;
  TimePoint ticked_at_{};
  Counters counters_;
};

}  // namespace rwf
