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

// A message to a peer, in the form that the link sends.
struct MemberMessage {
  std::string peer;
  wire::BodyUnion body;  // HeartbeatT, HeartbeatAckT, ProbeT or ProbeReplyT
};

enum class MemberEventKind {
  kAlive,      // first heard of, or alive again
  kRestarted,  // another process runs under this id
  kSuspect,
  kDead,
  kLeft,
  kLeaving,     // finishes its work, gets no new
  kDuplicate,   // two processes run under this id (counter; also for own id)
  kSuperseded,  // own id: a newer process runs; this one must not use its share
  kRefuted,     // own id: own incarnation raised, since others took it for dead
  kPaused       // own id: this process did not run for a while
};

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kAlive;
  std::string vm;
  uint64_t incarnation = 0;

  friend bool operator==(const MemberEvent&, const MemberEvent&) = default;
};

// Detects failed VMs by heartbeats on the links and passes on what others
// detected. Silence leads to direct probes, then to indirect ones through two
// peers, then to suspicion, and to death if nothing refutes it. The sum of the
// limits keeps the detection of a crash under 3 s: silence 1.6 s, indirect
// probes 0.25 s, suspicion 1 s, all after the last heartbeat.
class FailureDetector {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
  // A heartbeat later than this counts as missed: allows for queueing delay.
  static constexpr Duration kHeartbeatTolerance =
      std::chrono::milliseconds(100);
  static constexpr int kMissedHeartbeats = 3;
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr size_t kIndirectProbePeers = 2;
  static constexpr Duration kSuspicionTimeout = std::chrono::seconds(1);
  // Ticks further apart mean that this process was paused.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);
  // A change is passed on at once, but heartbeats to one peer are no closer.
  static constexpr Duration kMinHeartbeatInterval =
      std::chrono::milliseconds(100);
  // How long after a pause silence is not held against peers.
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

  // `incarnation` by MakeIncarnation. `seed` only spreads heartbeats over time
  // and picks peers for probes.
  FailureDetector(std::string self, uint64_t incarnation, uint64_t seed);

  // Members are the entry VMs that are not retired. Called at the start and
  // after each adoption. Links that came up before count from now on.
  void SetConfig(const Config& config, TimePoint now);
  // What every heartbeat says of this VM: generation, digests, readiness, store
  // contact. Called when a heartbeat is built; a new generation makes the next
  // heartbeats due at once (Announce).
  void set_heartbeat_filler(
      std::function<void(wire::HeartbeatT*, TimePoint)> fill) {
    heartbeat_filler_ = std::move(fill);
  }
  // Makes a heartbeat to every linked peer due at once.
  void Announce(TimePoint now);

  // VMs to which this one has to hold a link. Links to dead ones are tried
  // again and again, which is how a healed partition is noticed.
  std::vector<std::string> WantedLinks() const;

  // Called every 50 ms or so.
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
  // A link is authenticated; the handshake named the peer's incarnation. The
  // messages are for this link. An older process than the one known is only
  // told so; its link is to be closed afterwards.
  std::vector<MemberMessage> OnLinkUp(const std::string& peer,
                                      uint64_t incarnation, TimePoint now);
  // A link broke or could not be opened. `refused`: the peer's kernel refused a
  // new connection, which proves that no process listens there.
  void OnLinkDown(const std::string& peer, bool refused, TimePoint now);

  // Planned stop. Leaving: peers send no new work; Leave: the messages that say
  // so for good, to be sent before the links close.
  void BeginLeaving(TimePoint now);
  std::vector<MemberMessage> Leave(TimePoint now);

  // Events since the last call, oldest first.
  std::vector<MemberEvent> TakeEvents();

  const Roster& roster() const { return roster_; }
  const std::string& self() const { return self_; }
  uint64_t incarnation() const { return incarnation_; }
  // A newer process runs under this VM's id.
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
    std::optional<TimePoint> probing_since;  // indirect probes are under way
  };
  struct RelayedProbe {  // a probe that this VM makes for another
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
  LinkPlan live_plan_;  // over those not dead or left
  std::vector<std::string> wanted_;
  std::map<std::string, Link> links_;
  // Incarnations of linked VMs that the configuration does not list, or not
  // yet: a new VM may link before this one has adopted the generation that
  // lists it.
  std::map<std::string, uint64_t> unlisted_;
  std::map<std::string, TimePoint> suspects_;  // to the end of the suspicion
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
