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

// Sorted list with one hexadecimal digest per line.
std::string FormatWithdrawnKeys(const std::set<Digest>& digests);
Result<std::set<Digest>> ParseWithdrawnKeys(const std::string& text);

// Merges digests of withdrawn keys into the value of the store key
// keys/withdrawn. Also reads that key once after startup. A digest is removed
// from pending() only after the store is known to contain it.
class WithdrawalWriter {
 public:
  // `on_read` is called with each set of digests read from the store. All
  // pointers must outlive this object.
  WithdrawalWriter(Store* store, CallBudget* budget, Random* random,
                   std::function<void(const std::set<Digest>&)> on_read);

  // Adds a digest to be written. Called on the VM that accepted the withdrawal
  // and on the VMs that watch the store, so that the withdrawal survives the
  // loss of the first VM during an outage of the store.
  void Add(const Digest& digest);
  // Called about every 100 ms. Starts at most one store call.
  void Tick(TimePoint now);

  const std::set<Digest>& pending() const { return pending_; }
  // True if the value would exceed the size limit of the store. An operator has
  // to move withdrawals into the configuration.
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
