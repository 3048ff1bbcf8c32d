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

// State of one service at this VM that outlasts a configuration generation: its
// queue, observations of its instances and its retry budget.
class ServiceState {
 public:
  // Workspace index of requests on open routes, which need no API key.
  static constexpr uint32_t kOpenWorkspace = UINT32_MAX;

  // `ledger` outlives the state. `service` is an index into config.services.
  ServiceState(const Config& config, size_t service,
               const std::string& own_zone, ShareLedger* ledger);

  // Applies another generation of the configuration. Returns the new index of
  // each instance by its old one, SIZE_MAX for removed instances.
  std::vector<size_t> Reconfigure(const Config& config, size_t service,
                                  TimePoint now);

  // Chooses an instance that `may_use` accepts and takes one of its slots;
  // nullopt if none is available. `avoid` is the instance of the request's last
  // attempt and is not chosen. `waited` is the time the request has been
  // waiting for a slot.
  std::optional<HeldSlot> AcquireSlot(
      std::optional<size_t> avoid,
      const std::function<bool(const Upstream&)>& may_use, Duration waited,
      pcg32& rng, TimePoint now);

  // The request that was popped from the queue and waits for a slot, ahead of
  // all requests in the queue.
  const std::optional<uint64_t>& head() const { return head_; }
  void set_head(std::optional<uint64_t> id) { head_ = id; }
  // Number of waiting requests, including the head.
  size_t waiting() const { return queue_.size() + (head_ ? 1 : 0); }

  // Reports to the ledger the instances whose slots waiting requests need, so
  // that it borrows slots, and withdraws reports that no longer apply.
  void UpdateDemand(TimePoint now);

  // Takes the bytes of a finished exchange from the budget of the link to the
  // instance's region. Has no effect for instances in the local region.
  void ChargeLink(size_t instance, int64_t bytes, TimePoint now);

  std::vector<Candidate> Explain(TimePoint now);

  // Counts an upstream attempt for failure_ratio, which weights recent attempts
  // most.
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

  // Averages the ratio over about the last 200 attempts.
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
  std::vector<ResourceHandle> instance_links_;  // invalid in the local region
  double attempts_ = 0;
  double failures_ = 0;
  std::vector<size_t> demanded_instances_;  // reported to the ledger
};

}  // namespace rwf
