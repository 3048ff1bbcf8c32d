#include "entry/service_state.h"

#include <algorithm>

namespace rwf {
namespace {

// Maximum number of instances whose slots are requested from peers at a time.
constexpr size_t kMaxDemandedInstances = 16;

}  // namespace

class ServiceState::LedgerSlotSource : public SlotSource {
 public:
  LedgerSlotSource(ServiceState* state,
                   const std::function<bool(const Upstream&)>& may_use)
      : state_(state), may_use_(may_use) {}

  bool TryAcquire(size_t instance, TimePoint now) override {
    if (!may_use_(state_->upstreams_[instance])) return false;
    token_ = state_->ledger_->TryAcquireSlot(state_->slots_[instance], now);
    return token_.has_value();
  }
  const SlotToken& token() const { return *token_; }

 private:
  ServiceState* state_;
  const std::function<bool(const Upstream&)>& may_use_;
  std::optional<SlotToken> token_;
};

class ServiceState::LedgerLinkBudget : public LinkBudget {
 public:
  explicit LedgerLinkBudget(ServiceState* state) : state_(state) {}

  bool HasCapacity(size_t region, TimePoint now) override {
    const ResourceHandle link = state_->links_[region];
    return !link.IsValid() || state_->ledger_->Level(link, now) > 0;
  }

 private:
  ServiceState* state_;
};

ServiceState::ServiceState(const Config& config, size_t service,
                           const std::string& own_zone, ShareLedger* ledger)
    : name_(config.services[service].name),
      ledger_(ledger),
      queue_(config.limits.queue_per_workspace),
      selector_(config, service, own_zone) {
  const Zone* zone = config.FindZone(own_zone);
  if (zone != nullptr) own_region_ = zone->region;
  LoadConfig(config, service);
}

std::vector<size_t> ServiceState::Reconfigure(const Config& config,
                                              size_t service, TimePoint now) {
  for (size_t it : demanded_instances_) ledger_->SetWaiting(slots_[it], 0);
  demanded_instances_.clear();
  std::vector<size_t> new_index = selector_.Reconfigure(config, service, now);
  LoadConfig(config, service);
  return new_index;
}

void ServiceState::LoadConfig(const Config& config, size_t service) {
  upstreams_ = config.services[service].upstreams;
  slots_.clear();
  for (const Upstream& it : upstreams_) {
    slots_.push_back(ledger_->Find(wire::ResourceKind::kUpstreamSlots, it.id));
  }
  instance_links_.clear();
  for (const Upstream& it : upstreams_) {
    const Zone* zone = config.FindZone(it.zone);
    instance_links_.push_back(
        zone == nullptr || zone->region == own_region_
            ? ResourceHandle()
            : ledger_->Find(wire::ResourceKind::kLinkBytes,
                            LinkResourceName(own_region_, zone->region)));
  }
  links_.clear();
  for (const Region& it : config.regions) {
    links_.push_back(ledger_->Find(wire::ResourceKind::kLinkBytes,
                                   LinkResourceName(own_region_, it.name)));
  }
  queue_.SetLimit(config.limits.queue_per_workspace);
  for (size_t i = 0; i < config.workspaces.size(); ++i) {
    queue_.SetWeight(static_cast<uint32_t>(i), config.workspaces[i].weight);
  }
}

std::optional<HeldSlot> ServiceState::AcquireSlot(
    std::optional<size_t> avoid,
    const std::function<bool(const Upstream&)>& may_use, Duration waited,
    pcg32& rng, TimePoint now) {
  LedgerSlotSource slots(this, may_use);
  LedgerLinkBudget links(this);
  const auto selection =
      selector_.Select(slots, links, avoid, rng, now, waited);
  if (!selection) return std::nullopt;
  return HeldSlot{selection->instance, slots.token()};
}

void ServiceState::UpdateDemand(TimePoint now) {
  std::vector<size_t> demanded;
  if (waiting() != 0) {
    const size_t limit = std::min(waiting(), kMaxDemandedInstances);
    for (const Candidate& it : Explain(now)) {
      if (demanded.size() == limit) break;
      if (it.state != CandidateState::kReady &&
          it.state != CandidateState::kWarmingUp) {
        continue;
      }
      // This VM already holds all slots of the instance; no peer can lend more.
      if (ledger_->Usable(slots_[it.instance], now).capacity >=
          upstreams_[it.instance].slots) {
        continue;
      }
      demanded.push_back(it.instance);
    }
  }
  for (size_t it : demanded_instances_) {
    if (std::find(demanded.begin(), demanded.end(), it) != demanded.end())
      continue;
    ledger_->SetWaiting(slots_[it], 0);
  }
  for (size_t it : demanded) ledger_->SetWaiting(slots_[it], 1);
  demanded_instances_ = std::move(demanded);
}

void ServiceState::ChargeLink(size_t instance, int64_t bytes, TimePoint now) {
  const ResourceHandle link = instance_links_[instance];
  if (!link.IsValid() || ledger_->TryTake(link, bytes, now)) return;
  // The exchange used more than the remaining budget. The rest is taken, so
  // that no further request crosses the link until the budget refills.
  ledger_->TryTake(link, std::max<int64_t>(0, ledger_->Level(link, now)), now);
}

std::vector<Candidate> ServiceState::Explain(TimePoint now) {
  LedgerLinkBudget links(this);
  return selector_.Explain(links, now);
}

}  // namespace rwf
