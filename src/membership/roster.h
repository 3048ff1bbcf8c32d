#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "config/config.h"
#include "wire/messages_generated.h"

namespace rwf {

// The known state of one VM.
struct Member {
  std::string vm;
  std::string zone;
  wire::PeerState state = wire::PeerState::kAlive;
  uint64_t incarnation = 0;  // 0: no contact yet
  uint64_t generation = 0;   // of its active configuration
  bool leaving = false;
  // Not in the configuration any more, but not known to have adopted the
  // generation that removed it.
  bool removed = false;
  TimePoint last_update{};  // last change, or last message received from it

  // True if there was contact and the VM has neither died nor left.
  bool IsLive() const {
    return incarnation != 0 && state <= wire::PeerState::kSuspect;
  }

  friend bool operator==(const Member&, const Member&) = default;
};

// An incarnation is the start time of the process in milliseconds, shifted left
// by kRefutationBits, plus the number of refutations. The start time identifies
// the process.
constexpr int kRefutationBits = 16;
constexpr uint64_t MakeIncarnation(WallTime start) {
  return static_cast<uint64_t>(start.time_since_epoch().count())
         << kRefutationBits;
}
constexpr uint64_t ProcessStartMs(uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

// The members that the configuration lists with the known state of each, and
// the queue of updates that heartbeats gossip.
class Roster {
 public:
  // Bounds the size of a heartbeat; further updates wait for the next one.
  static constexpr size_t kMaxUpdatesPerHeartbeat = 32;
  // Records that each heartbeat carries round-robin besides the queued updates,
  // so that a VM that missed all repeats of an update still receives it.
  static constexpr size_t kAntiEntropyRecords = 1;
  // Repeats of an update that carries only a new generation. Repeating these as
  // often as state changes would cost 1.3 MB per VM and change with 680 VMs.
  static constexpr int kGenerationRepeats = 3;

  // Members are the entry VMs that are not retired. A VM that is no longer
  // listed remains a member, marked as removed, until it has adopted
  // `config.generation` or is listed as retired: until then it may use its
  // previous share.
  void SetMembers(const Config& config, TimePoint now);

  const std::vector<Member>& members() const { return members_; }
  // Returns nullptr if the VM is not a member.
  const Member* Find(const std::string& vm) const;

  // Returns the live VMs of a zone, sorted by id. Includes `self` in any state.
  std::vector<std::string> LiveInZone(const std::string& zone,
                                      const std::string& self) const;
  // True if every member has adopted `generation` or a later one. Includes dead
  // and removed members: a VM taken for dead may be partitioned and serving.
  bool AllHaveGeneration(uint64_t generation) const;

  // Replaces the record and queues it for gossip. The caller ensures that
  // `member` is newer.
  void Apply(const Member& member, TimePoint now);
  // Replaces the record without queueing it for gossip.
  void ApplyLocally(const Member& member);
  void RecordGeneration(const std::string& vm, uint64_t generation,
                        TimePoint now);

  // Returns the updates to send in the next heartbeat.
  std::vector<std::unique_ptr<wire::PeerUpdateT>> TakeUpdates();
  size_t queued_updates() const { return queue_.size(); }

 private:
  Member* FindMutable(const std::string& vm);
  int UpdateRepeats() const;
  void Reindex();
  void Enqueue(size_t index, int repeats);

  std::vector<Member> members_;
  std::unordered_map<std::string, size_t> index_;
  std::vector<size_t> queue_;      // indices of members with repeats left
  std::vector<int> repeats_left_;  // by member index
  size_t next_anti_entropy_ = 0;
};

wire::PeerUpdateT ToUpdate(const Member& member);

}  // namespace rwf
