#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace rwf {

enum class PushResult {
  kQueued,
  kFull,  // the workspace has queue_per_workspace entries already
  kWaitExceedsDeadline,  // the estimated wait passes the deadline
};

// Requests of one service that wait for a slot: deficit round robin over
// workspaces by weight, one request a unit of cost. Entries are opaque ids that
// are unique within the queue.
class FairQueue {
 public:
  explicit FairQueue(int64_t queue_per_workspace);

  // Weight of a workspace; at least 1, 1 if never set. Takes effect from its
  // next turn.
  void SetWeight(uint32_t workspace, int64_t weight);
  void SetLimit(int64_t queue_per_workspace);

  // Adds an entry, or says why it is refused as not run.
  PushResult Push(uint64_t id, uint32_t workspace, TimePoint deadline,
                  TimePoint now);

  // The next entry to run. Entries past their deadline are skipped and kept
  // for Expire.
  std::optional<uint64_t> Pop(TimePoint now);

  // Removes an entry, e.g. of a caller that left. False if it is not queued.
  bool Remove(uint64_t id);

  // Removes and returns the entries past their deadline, to be refused as not
  // run.
  std::vector<uint64_t> Expire(TimePoint now);

  // Wait that a new entry of the workspace can expect, from the recent rate of
  // Pop while entries waited. Zero without evidence.
  Duration EstimatedWait(uint32_t workspace, TimePoint now) const;

  // The earliest deadline of a queued entry; max if empty.
  TimePoint NextDeadline() const;

  size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  size_t SizeOf(uint32_t workspace) const;

 private:
  struct Entry {
    uint32_t workspace = 0;
    TimePoint deadline;
  };
  struct Flow {
    int64_t weight = 1;
    int64_t deficit = 0;
    bool is_active = false;  // listed in active_workspaces_
    std::deque<uint64_t> ids;
  };

  // Removes an entry that its flow no longer lists.
  void Erase(uint64_t id);
  void CountServed(TimePoint now);

  int64_t limit_;
  std::map<uint32_t, Flow> flows_;
  std::deque<uint32_t>
      active_workspaces_;  // workspaces with entries, in order of turn
  std::unordered_map<uint64_t, Entry> entries_;
  std::multimap<TimePoint, uint64_t> by_deadline_;
  double served_per_second_ = 0;
  TimePoint window_start_;  // of counting Pop
  int64_t served_in_window_ = 0;
};

}  // namespace rwf
