#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "fairness/fair_queue.h"
#include "net/http_client.h"
#include "rates/share_ledger.h"
#include "steering/retry_budget.h"
#include "steering/upstream_selector.h"

namespace rwf {

// A slot of an instance, held for one request.
struct HeldSlot {
  size_t instance = 0;
  SlotToken token;
};

// What this VM keeps of one service across generations: queue, evidence about
// the instances, retry budget.
class ServiceState {
 public:
  // Pseudo workspace of requests on open routes.
  static constexpr uint32_t kOpenWorkspace = UINT32_MAX;

  // `ledger` outlives the state. `service` is an index into config.services.
  ServiceState(const Config& config, size_t service,
               const std::string& own_zone, ShareLedger* ledger);

  // Puts another generation in force; gives the new index of each instance, or
  // SIZE_MAX where it is gone.
  std::vector<size_t> Reconfigure(const Config& config, size_t service,
                                  TimePoint now);

  // Chooses an instance that `may_use` allows and takes a slot of it. `waited`
  // is how long the request has waited for one.
  std::optional<HeldSlot> AcquireSlot(
      std::optional<size_t> avoid,
      const std::function<bool(const Upstream&)>& may_use, Duration waited,
      pcg32& rng, TimePoint now);

  // The request that left the queue and waits for a slot; it goes before those
  // in the queue.
  const std::optional<uint64_t>& head() const { return head_; }
  void set_head(std::optional<uint64_t> id) { head_ = id; }
  // Requests that wait, with the head.
  size_t waiting() const { return queue_.size() + (head_ ? 1 : 0); }

  // Tells the ledger which slots are short while requests wait, so that it
  // borrows some, or that none are.
  void UpdateDemand(TimePoint now);

  // Takes the bytes of a finished exchange from the budget of the link to the
  // instance's region; none within the own region.
  void ChargeLink(size_t instance, int64_t bytes, TimePoint now);

  std::vector<Candidate> Explain(TimePoint now);

  // Attempts at upstreams, for failure_ratio; recent ones count most.
  void CountAttempt(bool failed) {
    attempts_ = attempts_ * kAttemptDecay + 1;
    failures_ = failures_ * kAttemptDecay + (failed ? 1 : 0);
  }
  double failure_ratio() const {
    return attempts_ > 0 ? failures_ / attempts_ : 0;
  }

  const std::string& name() const { return name_; }
  const Upstream& upstream(size_t instance) const {
    return upstreams_[instance];
  }
  size_t instance_count() const { return upstreams_.size(); }
  HttpTarget target(size_t instance) const {
    return {upstreams_[instance].address, upstreams_[instance].port};
  }
  FairQueue& queue() { return queue_; }
  UpstreamSelector& selector() { return selector_; }
  RetryBudget& retry_budget() { return retry_budget_; }

 private:
  class LedgerSlotSource;
  class LedgerLinkBudget;

  void LoadConfig(const Config& config, size_t service);

  // The last 200 attempts or so make up the ratio.
  static constexpr double kAttemptDecay = 0.995;

  std::string name_;
  std::string own_region_;
  ShareLedger* ledger_;
  FairQueue queue_;
  std::optional<uint64_t> head_;
  UpstreamSelector selector_;
  RetryBudget retry_budget_;
  std::vector<Upstream> upstreams_;
  std::vector<ResourceHandle> slots_;
  std::vector<ResourceHandle> links_;           // by region index of Topology
  std::vector<ResourceHandle> instance_links_;  // invalid in the own region
  double attempts_ = 0;
  double failures_ = 0;
  std::vector<size_t> demanded_instances_;  // instances reported as waited for
};

}  // namespace rwf
