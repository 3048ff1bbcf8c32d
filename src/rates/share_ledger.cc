#include "rates/share_ledger.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "base/hash.h"

namespace rwf {
namespace {

// Maximum number of peers a VM links to: 8 of its zone, 4 of other zones and
// the ring successor.
constexpr size_t kMaxNeighbours = 13;

// Retry-After when no earlier time can be announced.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

// Callers and timers round an announced Retry-After up by less than this.
constexpr Duration kRetryAfterMargin = std::chrono::milliseconds(250);

// Seconds of the budget of a link that may be sent at once. This covers the
// largest response (8 MB) on the slowest link even when two or three VMs share
// it.
constexpr int64_t kLinkBurstSeconds = 1;

// A slot whose loan ends sooner is not given to a new request: a lender that
// needs the slot does not renew the loan, and a request in flight is cancelled
// when the loan ends. With a renewal every 500 ms, a loan in use has at least
// 900 ms left.
constexpr Duration kMinSlotLoanTime = std::chrono::milliseconds(800);

Slice ScaledForDrift(int64_t rate, int64_t capacity) {
  return {FloorShare(rate, kDriftNumerator, kDriftDenominator), capacity};
}

}  // namespace

std::string LinkResourceName(std::string_view from, std::string_view to) {
  std::string name(from);
  name += "->";
  name += to;
  return name;
}

ShareLedger::ShareLedger(std::string vm_id, uint64_t incarnation,
                         TimePoint start)
    : vm_id_(std::move(vm_id)),
      incarnation_(incarnation),
      own_active_from_(start + kQuarantine),
      assignment_(vm_id_),
      lender_(incarnation),
      borrower_(incarnation) {}

Resource* ShareLedger::Get(ResourceHandle handle) {
  assert(handle.index < resources_.size());
  return &resources_[handle.index];
}

const Resource* ShareLedger::Get(ResourceHandle handle) const {
  assert(handle.index < resources_.size());
  return &resources_[handle.index];
}

Resource* ShareLedger::FindResource(wire::ResourceKind kind,
                                    const std::string& name) {
  const auto it = index_.find(Key(kind, name));
  return it == index_.end() ? nullptr : &resources_[it->second];
}

ResourceHandle ShareLedger::Find(wire::ResourceKind kind,
                                 std::string_view name) const {
  const auto it = index_.find(Key(kind, std::string(name)));
  return it == index_.end() ? ResourceHandle{} : ResourceHandle{it->second};
}

Resource* ShareLedger::AddResource(wire::ResourceKind kind,
                                   const std::string& name, TimePoint now) {
  if (Resource* resource = FindResource(kind, name)) return resource;
  index_.emplace(Key(kind, name), static_cast<uint32_t>(resources_.size()));
  return &resources_.emplace_back(kind, name, now, own_active_from_);
}

void ShareLedger::ApplyConfig(const Config& config, TimePoint now,
                              uint64_t entry_vms_since) {
  if (config.generation <= generation_) return;
  generation_ = config.generation;
  assignment_.AddConfig(config, entry_vms_since, now);
  for (Resource& resource : resources_) resource.fleet_total = {};
  for (const Workspace& workspace : config.workspaces) {
    Resource* resource =
        AddResource(wire::ResourceKind::kWorkspaceRate, workspace.name, now);
    resource->fleet_total =
        ScaledForDrift(static_cast<int64_t>(workspace.rate * kUnitsPerRequest),
                       workspace.burst * kUnitsPerRequest);
  }
  for (const Service& service : config.services) {
    for (const Upstream& upstream : service.upstreams) {
      AddResource(wire::ResourceKind::kUpstreamSlots, upstream.id, now)
          ->fleet_total = {0, upstream.slots};
    }
  }
  for (const Link& link : config.links) {
    Resource* resource = AddResource(wire::ResourceKind::kLinkBytes,
                                     LinkResourceName(link.from, link.to), now);
    resource->fleet_total = ScaledForDrift(
        link.bytes_per_second, link.bytes_per_second * kLinkBurstSeconds);
    resource->region = link.from;
  }
  assignment_.DropObsoleteMemberships(refusals_, now);
  RefreshShares(now);
  RefreshCandidates();
}

Slice ShareLedger::ShareOf(const std::string& vm,
                           const Resource& resource) const {
  const Slice& fleet_total = resource.fleet_total;
  switch (resource.kind) {
    case wire::ResourceKind::kWorkspaceRate:
      return {assignment_.RateShare(vm, fleet_total.rate),
              assignment_.RateShare(vm, fleet_total.capacity)};
    case wire::ResourceKind::kLinkBytes:
      return {assignment_.LinkShare(vm, resource.region, fleet_total.rate),
              assignment_.LinkShare(vm, resource.region, fleet_total.capacity)};
    case wire::ResourceKind::kUpstreamSlots:
      return {0, assignment_.SlotShare(vm, resource.name,
                                       resource.fleet_total.capacity)};
  }
  return {};
}

void ShareLedger::RefreshShares(TimePoint now) {
  for (Resource& resource : resources_) {
    resource.account.SetOwn(ShareOf(vm_id_, resource), now);
  }
  for (const auto& [vm, active] : inheriting_) {
    for (Resource& resource : resources_) {
      // With `now` as the end, this only resizes shares that are already
      // inherited.
      resource.account.Inherit(
          vm, own_share_allowed_ ? ShareOf(vm, resource) : Slice{}, now, now);
    }
  }
}

void ShareLedger::RefreshInheritance(TimePoint now) {
  if (!own_share_allowed_) return;
  const std::map<std::string, TimePoint> inheritable =
      assignment_.Inheritable(refusals_, now);
  for (auto& [vm, active] : inheriting_) active = inheritable.contains(vm);
  for (const auto& [vm, until] : inheritable) {
    if (inheriting_.try_emplace(vm, true).second) ++counters_.inherited;
    for (Resource& resource : resources_) {
      resource.account.Inherit(vm, ShareOf(vm, resource), until, now);
    }
  }
}

void ShareLedger::RefreshCandidates() {
  std::vector<std::string> peers = neighbours_;
  const std::vector<EntryVm>& ring = assignment_.ring();
  if (peers.empty()) {
    std::string own_zone;
    for (const EntryVm& vm : ring) {
      if (vm.id == vm_id_) own_zone = vm.zone;
    }
    std::vector<std::tuple<bool, uint64_t, std::string>> ranked;
    for (const EntryVm& vm : ring) {
      if (vm.id == vm_id_) continue;
      ranked.emplace_back(vm.zone != own_zone,
                          UINT64_MAX - RendezvousScore(vm_id_, vm.id), vm.id);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked.size() > kMaxNeighbours) ranked.resize(kMaxNeighbours);
    for (const auto& [other_zone, rank, id] : ranked) peers.push_back(id);
  }
  std::map<std::string, std::string> region_of;
  for (const EntryVm& vm : ring)
    region_of[vm.id] = assignment_.RegionOf(vm.zone);
  for (Resource& resource : resources_) {
    std::set<std::string> owners;
    if (resource.IsSlots()) {
      const std::vector<std::string> list =
          assignment_.SlotHolders(resource.name);
      owners.insert(list.begin(), list.end());
    }
    const bool any_owner = !owners.empty();
    resource.candidates.clear();
    for (const std::string& peer : peers) {
      const auto it = region_of.find(peer);
      if (it == region_of.end()) continue;
      if (any_owner && !owners.contains(peer)) continue;
      if (!resource.region.empty() && it->second != resource.region) continue;
      resource.candidates.push_back(peer);
    }
  }
}

void ShareLedger::SetNeighbours(std::vector<std::string> peers) {
  neighbours_ = std::move(peers);
  RefreshCandidates();
}

void ShareLedger::SetConfirmed(const std::string& vm, uint64_t generation,
                               TimePoint now) {
  assignment_.Confirm(vm, generation);
  RefreshMemberships(now);
}

bool ShareLedger::MayChangeEntryVms(const std::vector<std::string>& retiring,
                                    TimePoint now) const {
  return assignment_.IsConverged(retiring, now);
}

void ShareLedger::RefreshMemberships(TimePoint now) {
  if (assignment_.DropObsoleteMemberships(refusals_, now)) RefreshShares(now);
}

uint64_t ShareLedger::ConfirmedGeneration(TimePoint now) {
  if (confirmed_ == generation_) return confirmed_;
  RefreshInheritance(now);
  for (Resource& resource : resources_) {
    resource.account.Advance(now);
    if (!resource.account.Conforms()) return confirmed_;
    for (const BorrowedQuota& quota : resource.account.borrowed()) {
      // By the new membership another VM may inherit this share.
      if (quota.IsInherited() && !inheriting_[quota.lender]) return confirmed_;
    }
  }
  confirmed_ = generation_;
  return confirmed_;
}

void ShareLedger::SetOwnShareAllowed(bool allowed, TimePoint now) {
  if (allowed == own_share_allowed_) return;
  own_share_allowed_ = allowed;
  own_active_from_ = allowed ? now + kQuarantine : TimePoint::max();
  for (Resource& resource : resources_) {
    resource.account.SetOwnActiveFrom(own_active_from_, now);
  }
  RefreshShares(now);
}

bool ShareLedger::TakeTokens(ResourceHandle handle, int64_t amount,
                             TimePoint now, bool retry) {
  Resource* resource = Get(handle);
  if (!retry) resource->demand.Record(amount, now);
  if (!resource->account.Take(amount, now)) {
    ++counters_.refused;
    return false;
  }
  ++counters_.admitted;
  return true;
}

bool ShareLedger::TryAdmit(ResourceHandle handle, TimePoint now, bool retry) {
  return TakeTokens(handle, kUnitsPerRequest, now, retry);
}

bool ShareLedger::TryTake(ResourceHandle handle, int64_t bytes, TimePoint now,
                          bool retry) {
  assert(bytes >= 0);
  return TakeTokens(handle, bytes, now, retry);
}

std::optional<SlotToken> ShareLedger::TryAcquireSlot(ResourceHandle handle,
                                                     TimePoint now) {
  Resource* resource = Get(handle);
  ResourceAccount& account = resource->account;
  const uint64_t id = ++last_slot_id_;
  if (!account.Acquire(id, now)) {
    resource->demand.RecordLevel(account.HeldSlots() + 1, now);
    ++counters_.refused;
    return std::nullopt;
  }
  resource->demand.RecordLevel(account.HeldSlots(), now);
  ++counters_.admitted;
  const TimePoint until = account.HeldUntil(id);
  if (until - kMinSlotLoanTime <= now) {
    account.Release(id, now);
    return std::nullopt;
  }
  return SlotToken{handle, id, account.Find(id)->loan_id, until};
}

void ShareLedger::ReleaseSlot(const SlotToken& token, TimePoint now) {
  Resource* resource = Get(token.handle);
  if (resource->account.Release(token.id, now)) {
    resource->demand.RecordLevel(resource->account.HeldSlots(), now);
  }
}

TimePoint ShareLedger::SlotDeadline(const SlotToken& token) const {
  return Get(token.handle)->account.HeldUntil(token.id);
}

std::vector<SlotToken> ShareLedger::TakeExpiredSlots(TimePoint now) {
  std::vector<SlotToken> out;
  for (uint32_t i = 0; i < resources_.size(); ++i) {
    if (!resources_[i].IsSlots()) continue;
    resources_[i].account.Advance(now);
    for (const uint64_t id : resources_[i].account.TakeExpired()) {
      out.push_back(SlotToken{ResourceHandle{i}, id, 0, now});
    }
  }
  return out;
}

int64_t ShareLedger::FreeSlots(ResourceHandle handle, TimePoint now) {
  Get(handle)->account.Advance(now);
  return Get(handle)->account.FreeSlots();
}

Slice ShareLedger::Usable(ResourceHandle handle, TimePoint now) {
  Get(handle)->account.Advance(now);
  return Get(handle)->account.usable();
}

void ShareLedger::SetWaiting(ResourceHandle handle, int64_t n) {
  Resource* resource = Get(handle);
  if (n > resource->waiting) needs_tick_ = true;
  resource->waiting = n;
}

Duration ShareLedger::RetryAfter(ResourceHandle handle, TimePoint now) {
  Resource* resource = Get(handle);
  ResourceAccount& account = resource->account;
  account.Advance(now);
  const auto time = account.TimeToReach(resource->Unit());
  if (!time.has_value() || *time > kMaxRetryAfter) return kMaxRetryAfter;
  resource->keep_loans_until =
      std::max(resource->keep_loans_until, now + *time + kRetryAfterMargin);
  return *time;
}

int64_t ShareLedger::Level(ResourceHandle handle, TimePoint now) {
  Get(handle)->account.Advance(now);
  return Get(handle)->account.level();
}

std::vector<LoanMessages> ShareLedger::Tick(TimePoint now) {
  needs_tick_ = false;
  RefreshMemberships(now);
  RefreshInheritance(now);
  return borrower_.Tick(&resources_, now);
}

wire::LoanGrantT ShareLedger::OnLoanRequest(const std::string& peer,
                                            const wire::LoanRequestT& request,
                                            TimePoint now) {
  for (const auto& ask : request.asks) {
    Resource* resource = FindResource(ask->kind, ask->name);
    if (resource == nullptr || ask->loan_id != 0) continue;
    borrower_.OnRecall(peer, {ask->rate, ask->capacity}, resource, now);
  }
  ++counters_.grants_sent;
  return lender_.HandleRequest(
      peer, request,
      [this](wire::ResourceKind kind, const std::string& name) {
        return FindResource(kind, name);
      },
      now);
}

void ShareLedger::OnLoanGrant(const std::string& peer,
                              const wire::LoanGrantT& grant, TimePoint now) {
  borrower_.OnGrant(
      peer, grant,
      [this](wire::ResourceKind kind, const std::string& name) {
        return FindResource(kind, name);
      },
      now);
}

void ShareLedger::OnLoanReturn(const std::string& peer,
                               const wire::LoanReturnT& loan_return,
                               TimePoint now) {
  if (loan_return.lender_incarnation != incarnation_) return;
  for (const uint64_t loan_id : loan_return.loan_ids) {
    for (Resource& resource : resources_) {
      if (resource.account.EndLoan(peer, loan_id, now)) break;
    }
  }
}

std::vector<std::string> ShareLedger::VmsToProbe(TimePoint now) {
  std::vector<std::string> out;
  for (std::string& vm : assignment_.ProbeTargets(refusals_, now)) {
    const auto [it, inserted] = probed_at_.try_emplace(vm, now);
    if (!inserted && now - it->second < kProbeInterval) continue;
    it->second = now;
    out.push_back(std::move(vm));
  }
  return out;
}

void ShareLedger::OnPeerRefused(const std::string& vm, TimePoint attempted_at,
                                TimePoint now) {
  refusals_.OnRefused(vm, attempted_at, now);
  RefreshMemberships(now);
  RefreshInheritance(now);
}

void ShareLedger::OnPeerAccepted(const std::string& vm, TimePoint now) {
  refusals_.OnAccepted(vm);
  RefreshInheritance(now);
}

std::vector<std::string> ShareLedger::InheritedVms(TimePoint now) {
  RefreshInheritance(now);
  std::vector<std::string> out;
  for (const auto& [vm, active] : inheriting_) {
    if (active) out.push_back(vm);
  }
  return out;
}

LedgerCounters ShareLedger::counters() const {
  LedgerCounters out = counters_;
  out.items_lent = lender_.items_lent();
  out.requests_sent = borrower_.requests_sent();
  out.items_borrowed = borrower_.items_borrowed();
  out.items_renewed = borrower_.items_renewed();
  out.items_returned = borrower_.items_returned();
  out.grants_ignored = borrower_.grants_ignored();
  return out;
}

}  // namespace rwf
