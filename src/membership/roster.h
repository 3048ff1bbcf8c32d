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

// What is known of one VM.
struct Member {
  std::string vm;
  std::string zone;
  wire::PeerState state = wire::PeerState::kAlive;
  uint64_t incarnation = 0;  // 0: never heard of
  uint64_t generation = 0;   // of the configuration it has in force
  bool leaving = false;
  // No longer in the configuration, but not known to have the generation that
  // removed it.
  bool removed = false;
  TimePoint last_update{};  // last change, or last message received from it

  // Heard of, neither dead nor left.
  bool IsLive() const {
    return incarnation != 0 && state <= wire::PeerState::kSuspect;
  }

  friend bool operator==(const Member&, const Member&) = default;
};

// An incarnation is the start time of the process in milliseconds, followed by
// the number of refutations. The start time distinguishes processes.
constexpr int kRefutationBits = 16;
constexpr uint64_t MakeIncarnation(WallTime start) {
  return static_cast<uint64_t>(start.time_since_epoch().count())
         << kRefutationBits;
}
constexpr uint64_t ProcessStartMs(uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

// The members that the configuration lists and what is known of each, plus the
// queue of updates that are passed on in heartbeats.
class Roster {
 public:
  // Updates in one heartbeat, by its size; the rest waits for the next one.
  static constexpr size_t kMaxUpdatesPerHeartbeat = 32;
  // Records outside the queue that each heartbeat brings in turn, so that VMs
  // which missed all repeats of an update still get it.
  static constexpr size_t kAntiEntropyRecords = 1;
  // Repeats of an update that only brings a new generation. Flooding these like
  // changes of state would cost 1.3 MB per VM and change with 680 VMs.
  static constexpr int kGenerationRepeats = 3;

  // Members are the entry VMs that are not retired. A VM that is no longer
  // listed stays, as removed, until it has `config.generation` in force or is
  // listed as retired: until then it may use the share it had.
  void SetMembers(const Config& config, TimePoint now);

  const std::vector<Member>& members() const { return members_; }
  // nullptr: not in the configuration.
  const Member* Find(const std::string& vm) const;

  // Live VMs of a zone, in order of id. With `self` listed whatever its state.
  std::vector<std::string> LiveInZone(const std::string& zone,
                                      const std::string& self) const;
  // True once every member has `generation` or a larger one in force, dead ones
  // and those removed included: a dead VM may be partitioned and serving.
  bool AllHaveGeneration(uint64_t generation) const;

  // Changes the record and queues it to be passed on; the caller has decided
  // that the update is newer.
  void Apply(const Member& member, TimePoint now);
  // The same without passing it on.
  void ApplyLocally(const Member& member);
  void RecordGeneration(const std::string& vm, uint64_t generation,
                        TimePoint now);

  // The updates of the next heartbeat.
  std::vector<std::unique_ptr<wire::PeerUpdateT>> TakeUpdates();
  // Updates in the queue.
  size_t queued_updates() const { return queue_.size(); }

 private:
  Member* FindMutable(const std::string& vm);
  int UpdateRepeats() const;
  void Reindex();
  void Enqueue(size_t index, int repeats);

  std::vector<Member> members_;
  std::unordered_map<std::string, size_t> index_;
  std::vector<size_t> queue_;      // members with repeats left
  std::vector<int> repeats_left_;  // repeats left, by member
  size_t next_anti_entropy_ = 0;
};

// The record as an update.
wire::PeerUpdateT ToUpdate(const Member& member);

}  // namespace rwf
