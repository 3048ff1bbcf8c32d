#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "config/config.h"
#include "membership/link_plan.h"
#include "membership/roster.h"
#include "wire/messages_generated.h"

namespace rwf {

// A message to be sent to `peer` over its link.
struct MemberMessage {
  std::string peer;
  wire::BodyUnion body;  // HeartbeatT, HeartbeatAckT, ProbeT or ProbeReplyT
};

enum class MemberEventKind {
  kAlive,      // first contact, or alive again
  kRestarted,  // a newer process runs under this id
  kSuspect,
  kDead,
  kLeft,
  kLeaving,     // finishes its requests and accepts no new ones
  kDuplicate,   // two processes run under this id, which may be the own one
  kSuperseded,  // own id: a newer process runs; this one must not use its share
  kRefuted,     // own id: incarnation raised to refute a suspicion or death
  kPaused       // own id: this process was not scheduled for a while
};

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kAlive;
  std::string vm;
  uint64_t incarnation = 0;

  friend bool operator==(const MemberEvent&, const MemberEvent&) = default;
};

// Detects failed VMs by missing heartbeats on the links and gossips state
// changes, its own and those received. A peer that sends nothing is probed
// directly, then indirectly through two peers, then suspected, and declared
// dead if nothing refutes the suspicion. The timeouts add up to less than 3 s
// after the last heartbeat, so that a crash is detected within 3 s: 1.6 s
// without a message, 0.25 s for indirect probes and 1 s of suspicion.
class FailureDetector {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
  // Lateness at which a heartbeat counts as missed. Allows for queueing delay.
  static constexpr Duration kHeartbeatTolerance =
      std::chrono::milliseconds(100);
  static constexpr int kMissedHeartbeats = 3;
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr size_t kIndirectProbePeers = 2;
  static constexpr Duration kSuspicionTimeout = std::chrono::seconds(1);
  // A longer gap between two ticks means that this process was paused.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);
  // State changes are sent ahead of the regular heartbeat, but heartbeats to
  // one peer are at least this far apart.
  static constexpr Duration kMinHeartbeatInterval =
      std::chrono::milliseconds(100);
  // After a pause of this process, missing messages are not counted against
  // peers for this long.
  static constexpr Duration kPauseGracePeriod = std::chrono::seconds(2);

  struct Counters {
    uint64_t heartbeats_sent = 0;
    uint64_t heartbeats_received = 0;
    uint64_t probes = 0;
    uint64_t suspicions = 0;
    uint64_t deaths = 0;
    uint64_t refutations = 0;
    uint64_t duplicates = 0;
    uint64_t pauses = 0;
    uint64_t unknown_senders = 0;
  };

  // `incarnation` comes from MakeIncarnation. `seed` affects only the timing of
  // heartbeats and the choice of peers for indirect probes.
  FailureDetector(std::string self, uint64_t incarnation, uint64_t seed);

  // Called at startup and whenever a configuration is adopted. Members are the
  // entry VMs that are not retired. Links that came up before
  // the configuration listed the peer are processed now.
  void SetConfig(const Config& config, TimePoint now);
  // Sets the callback that fills in the state of this VM in each heartbeat:
  // generation, digests, readiness and store contact. Announce sends a new
  // generation ahead of the regular heartbeats.
  void set_heartbeat_filler(
      std::function<void(wire::HeartbeatT*, TimePoint)> fill) {
    heartbeat_filler_ = std::move(fill);
  }
  // Makes a heartbeat to every linked peer due now, or kMinHeartbeatInterval
  // after the last one if that is later.
  void Announce(TimePoint now);

  // VMs to which this one has to hold a link. Includes dead ones: retrying
  // their links detects that a partition has healed.
  std::vector<std::string> WantedLinks() const;

  // To be called about every 50 ms.
  std::vector<MemberMessage> Tick(TimePoint now);
  std::vector<MemberMessage> OnHeartbeat(const std::string& peer,
                                         const wire::HeartbeatT& heartbeat,
                                         TimePoint now);
  std::vector<MemberMessage> OnAck(const std::string& peer,
                                   const wire::HeartbeatAckT& ack,
                                   TimePoint now);
  std::vector<MemberMessage> OnProbe(const std::string& peer,
                                     const wire::ProbeT& probe, TimePoint now);
  void OnProbeReply(const std::string& peer, const wire::ProbeReplyT& reply,
                    TimePoint now);
  // Called when a link is authenticated, with the incarnation from the
  // handshake. The messages returned go to this link. If a newer process of the
  // peer is known, they only notify the older one that it is superseded, and
  // its link is to be closed afterwards.
  std::vector<MemberMessage> OnLinkUp(const std::string& peer,
                                      uint64_t incarnation, TimePoint now);
  // Called when a link broke or could not be opened. `refused`: the peer's
  // kernel refused a new connection, which proves that no process listens
  // there.
  void OnLinkDown(const std::string& peer, bool refused, TimePoint now);

  // Planned shutdown. After BeginLeaving, peers send no new requests to this
  // VM. Leave returns the final notifications, to be sent before the links
  // close.
  void BeginLeaving(TimePoint now);
  std::vector<MemberMessage> Leave(TimePoint now);

  // Returns the events since the last call, oldest first.
  std::vector<MemberEvent> TakeEvents();

  const Roster& roster() const { return roster_; }
  const std::string& self() const { return self_; }
  uint64_t incarnation() const { return incarnation_; }
  // True if a newer process runs under this VM's id.
  bool superseded() const { return superseded_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Link {
    bool up = false;
    uint64_t process_start_ms = 0;
    uint64_t sequence = 0;
    std::vector<wire::PeerUpdateT> pending_updates;  // for the next heartbeat
    TimePoint last_received{};
    TimePoint next_send{};
    TimePoint last_send{};
    TimePoint next_probe{};
    std::optional<TimePoint> probing_since;  // start of the indirect probes
  };
  struct RelayedProbe {  // a probe on behalf of a peer
    std::string requester;
    uint64_t nonce = 0;
    std::string target;
    TimePoint until{};
  };

  void Update(const wire::PeerUpdateT& update, const std::string& from,
              TimePoint now);
  void UpdateSelf(const wire::PeerUpdateT& update, TimePoint now);
  void RecordContact(const std::string& peer, TimePoint now);
  void SetState(const Member& member, wire::PeerState state, TimePoint now);
  void Suspect(const std::string& vm, TimePoint now);
  bool HasRecentContact(const std::string& vm, TimePoint now) const;
  void Refute(uint64_t min_incarnation, TimePoint now);
  void QueueUpdate(const std::string& peer, const wire::PeerUpdateT& update,
                   TimePoint now);
  void ScheduleHeartbeats(TimePoint now);
  void Flush(TimePoint now, std::vector<MemberMessage>* out);
  MemberMessage BuildHeartbeat(const std::string& peer, Link& link,
                               TimePoint now);
  void TickLink(const std::string& peer, Link& link, TimePoint now,
                std::vector<MemberMessage>* out);
  std::vector<std::string> SelectProbePeers(const std::string& target);
  void RecordSelf(TimePoint now);
  void RebuildPlan();
  void Emit(MemberEventKind kind, const std::string& vm, uint64_t incarnation);

  std::string self_;
  std::string zone_;
  uint64_t incarnation_;
  std::mt19937_64 random_;
  std::function<void(wire::HeartbeatT*, TimePoint)> heartbeat_filler_;
  Roster roster_;
  LinkPlan plan_;       // over all members
  LinkPlan live_plan_;  // over the members that are not dead or left
  std::vector<std::string> wanted_;
  std::map<std::string, Link> links_;
  // Incarnations of linked VMs that the configuration does not list. A new VM
  // may link before this one has adopted the generation that lists it.
  std::map<std::string, uint64_t> unlisted_;
  std::map<std::string, TimePoint> suspects_;  // to the suspicion timeout
  std::vector<RelayedProbe> relayed_probes_;
  std::vector<MemberEvent> events_;
  std::optional<TimePoint> last_tick_;
  TimePoint grace_until_{};
  uint64_t nonce_ = 0;
  bool leaving_ = false;
  bool left_ = false;
  bool superseded_ = false;
  Counters counters_;
};

}  // namespace rwf
