#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/digest.h"
#include "replica/call_budget.h"
#include "replica/store.h"

namespace rwf {

// One digest in hexadecimal a line, sorted.
std::string FormatWithdrawnKeys(const std::set<Digest>& digests);
Result<std::set<Digest>> ParseWithdrawnKeys(const std::string& text);

// Brings withdrawn key digests into the store key keys/withdrawn, by merging
// into what stands there, and reads that key once after the start. A digest
// leaves pending() only after the store was seen to hold it.
class WithdrawalWriter {
 public:
  // All pointers outlive this object. `on_read` gets every set of digests read
  // from the store.
  WithdrawalWriter(Store* store, CallBudget* budget, Random* random,
                   std::function<void(const std::set<Digest>&)> on_read);

  // Called on the VM that took the withdrawal and on those that watch the
  // store, so that it is not lost with the first VM during an outage of the
  // store.
  void Add(const Digest& digest);
  // Called every 100 ms or so; makes at most one new call.
  void Tick(TimePoint now);

  const std::set<Digest>& pending() const { return pending_; }
  // The value has reached the size limit of the store: an operator has to move
  // withdrawals into the configuration.
  bool is_full() const { return is_full_; }

 private:
  void OnRead(const Result<StoreValue>& result, TimePoint now);
  void OnSwapped(const Result<SwapOutcome>& result,
                 const std::set<Digest>& merged, TimePoint now);
  void ScheduleRetry(TimePoint now);

  Store* store_;
  CallBudget* budget_;
  Random* random_;
  std::function<void(const std::set<Digest>&)> on_read_;
  std::set<Digest> pending_;
  bool loaded_ = false;
  bool in_flight_ = false;
  bool is_full_ = false;
  TimePoint not_before_{};
  Backoff backoff_{std::chrono::seconds(30)};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
