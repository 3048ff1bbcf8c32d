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
  kFull,                 // the workspace has reached queue_per_workspace
  kWaitExceedsDeadline,  // the estimated wait ends after the deadline
};

// Requests of one service that wait for a slot, scheduled by deficit round
// robin over workspaces by weight; each request costs one unit. Entries are
// opaque ids that are unique within the queue.
class FairQueue {
 public:
  explicit FairQueue(int64_t queue_per_workspace);

  // Sets the weight of a workspace (default and minimum: 1), from its next turn
  // on.
  void SetWeight(uint32_t workspace, int64_t weight);
  void SetLimit(int64_t queue_per_workspace);

  // Adds an entry, or returns why it is refused. A refused entry counts as not
  // run.
  PushResult Push(uint64_t id, uint32_t workspace, TimePoint deadline,
                  TimePoint now);

  // Removes and returns the next entry to run. Skips entries past their
  // deadline, which stay for Expire.
  std::optional<uint64_t> Pop(TimePoint now);

  // Removes an entry, e.g. after its caller disconnected. False if it is not
  // queued.
  bool Remove(uint64_t id);

  // Removes and returns the entries past their deadline, to be refused as not
  // run.
  std::vector<uint64_t> Expire(TimePoint now);

  // Expected wait of a new entry of the workspace, from the recent rate of Pop
  // while entries waited. Zero if that rate is unknown.
  Duration EstimatedWait(uint32_t workspace, TimePoint now) const;

  // The earliest deadline of a queued entry; TimePoint::max() if empty.
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

  // Removes an entry that is no longer in its flow.
  void Erase(uint64_t id);
  void CountServed(TimePoint now);

  int64_t limit_;
  std::map<uint32_t, Flow> flows_;
  // Workspaces with entries, in the order of their turns.
  std::deque<uint32_t> active_workspaces_;
  std::unordered_map<uint64_t, Entry> entries_;
  std::multimap<TimePoint, uint64_t> by_deadline_;
  double served_per_second_ = 0;
  TimePoint window_start_;  // start of the count in served_in_window_
  int64_t served_in_window_ = 0;
};

}  // namespace rwf
