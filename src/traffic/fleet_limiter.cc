#include "traffic/fleet_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace rwf {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
// Relative change of the demand that is reported even if nothing was admitted.
constexpr double kDemandChangeRatio = 0.5;
// Lower bound of a refill rate, in tokens per second, for estimates of a delay.
constexpr double kMinRate = 1e-3;

}  // namespace

void FleetLimiter::SetLimit(const std::string& name, double rate, double burst,
                            TimePoint now) {
  const auto [found, is_new] = buckets_.try_emplace(name);
  Bucket& bucket = found->second;
  if (is_new) bucket.refilled_at = now;
  Refill(&bucket, now);
  bucket.rate = rate * kUsableRateFraction;
  bucket.burst = std::max(1.0, burst);
  if (is_new) {
    bucket.level =
        kInitialToleranceFraction *
        (tolerance_.requests +
         tolerance_.ratio *
             (bucket.rate * ToSeconds(tolerance_.window) + bucket.burst));
    bucket.initial_level = bucket.level;
    bucket.created_at = now;
    bucket.share_tokens = bucket.level;
  }
  bucket.level = std::min(bucket.level, bucket.burst);
}

void FleetLimiter::SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                             TimePoint now) {
  std::set<std::string> limited;
  for (const TrafficWorkspace& it : workspaces) {
    if (it.rate <= 0) continue;
    limited.insert(it.name);
    SetLimit(it.name, it.rate, it.burst, now);
  }
  std::erase_if(buckets_,
                [&](const auto& it) { return !limited.contains(it.first); });
}

void FleetLimiter::SetPeers(const std::vector<std::string>& peers,
                            TimePoint now) {
  for (auto& [name, bucket] : buckets_) Refill(&bucket, now);
  std::map<std::string, Peer> next;
  for (const std::string& it : peers) {
    const auto old = peers_.find(it);
    next[it] = old == peers_.end() ? Peer{} : old->second;
  }
  peers_ = std::move(next);
  reporting_fraction_at_ = {};
}

size_t FleetLimiter::ReportingPeers(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& it) { return IsReporting(it.second, now); }));
}

// Returns the fraction of the fleet whose spending is known to this VM.
double FleetLimiter::ReportingFraction(TimePoint now) {
  if (now - reporting_fraction_at_ >= ShareRefreshInterval()) {
    reporting_fraction_at_ = now;
    reporting_fraction_ = static_cast<double>(1 + ReportingPeers(now)) /
                          static_cast<double>(1 + peers_.size());
  }
  return reporting_fraction_;
}

void FleetLimiter::Refill(Bucket* bucket, TimePoint now) {
  const double seconds = std::max(0.0, ToSeconds(now - bucket->refilled_at));
  bucket->refilled_at = now;
  const double fraction = ReportingFraction(now);
  // One token may always be saved up, however few VMs report: otherwise a VM
  // that is cut off could never spend its part of a small burst.
  double max_level = std::max(1.0, bucket->burst * fraction);
  if (now - bucket->created_at < kStartupPeriod)
    max_level = std::max(max_level, bucket->initial_level);
  bucket->level =
      std::min(max_level, bucket->level + bucket->rate * fraction * seconds);
  if (now - bucket->share_updated_at >= ShareRefreshInterval()) {
    bucket->share = ComputeShare(*bucket, now);
    bucket->share_updated_at = now;
  }
  const double share = bucket->share;
  double depth = bucket->rate * kShareDepthSeconds;
  // Without free admission, the burst is distributed by shares as well.
  if (IsSharesOnly()) depth = std::max(depth, bucket->level);
  depth = std::max(1.0, depth * share);
  bucket->share_tokens = std::min(
      depth, bucket->share_tokens + bucket->rate * fraction * share * seconds);
  bucket->demand *= std::exp(-seconds / ToSeconds(DemandWindow()));
}

double FleetLimiter::ComputeShare(const Bucket& bucket, TimePoint now) const {
  // With infrequent reports, the shares of all VMs add up only if they are
  // computed from the same reports.
  const double own = IsSharesOnly() ? bucket.reported_demand : bucket.demand;
  double total = own;
  size_t reporting = 0;
  for (const auto& [name, usage] : bucket.peers) {
    const auto peer = peers_.find(name);
    if (peer == peers_.end() || !IsReporting(peer->second, now)) continue;
    ++reporting;
    // Demand that is no longer confirmed by reports is assumed to decay.
    const Duration unconfirmed =
        std::max(Duration::zero(), now - usage.last_report_at - report_period_);
    total += usage.demand *
             std::exp(-ToSeconds(unconfirmed) / ToSeconds(DemandWindow()));
  }
  const double even_share = 1.0 / static_cast<double>(1 + reporting);
  if (total <= 0) return even_share;
  return std::clamp(own / total, even_share * kMinShareRatio, 1.0);
}

void FleetLimiter::Prepare(Bucket* bucket, TimePoint now) {
  if (bucket->is_unused) {
    // All VMs together start with kInitialToleranceFraction.
    bucket->is_unused = false;
    bucket->share_tokens *= std::min(
        1.0, kInitialShareFactor / static_cast<double>(1 + peers_.size()));
  }
  Refill(bucket, now);
}

bool FleetLimiter::IsOpen(const Bucket& bucket) const {
  if (bucket.level < 1) return false;
  const bool is_free =
      !IsSharesOnly() &&
      bucket.level - 1 >= bucket.burst * kFreeAdmissionFraction;
  return is_free || bucket.share_tokens >= 1;
}

void FleetLimiter::CountDemand(Bucket* bucket) const {
  bucket->demand += 1 / ToSeconds(DemandWindow());
}

bool FleetLimiter::TryAdmit(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  Prepare(&bucket, now);
  CountDemand(&bucket);
  if (!IsOpen(bucket)) return false;
  bucket.level -= 1;
  bucket.share_tokens = std::max(0.0, bucket.share_tokens - 1);
  ++bucket.admitted;
  return true;
}

bool FleetLimiter::HasToken(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return true;
  Prepare(&it->second, now);
  return IsOpen(it->second);
}

void FleetLimiter::OnDeclined(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return;
  Refill(&it->second, now);
  CountDemand(&it->second);
}

Duration FleetLimiter::TimeUntilToken(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return Duration::zero();
  Bucket& bucket = it->second;
  Prepare(&bucket, now);
  if (IsOpen(bucket)) return Duration::zero();
  const double rate = std::max(kMinRate, bucket.rate * ReportingFraction(now));
  const double share_rate = std::max(kMinRate, rate * bucket.share);
  return FromSeconds(std::max({0.0, (1 - bucket.level) / rate,
                               (1 - bucket.share_tokens) / share_rate}));
}

void FleetLimiter::Refund(const std::string& name) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end() || it->second.admitted == 0) return;
  Bucket& bucket = it->second;
  bucket.level = std::min(bucket.burst, bucket.level + 1);
  --bucket.admitted;
}

Duration FleetLimiter::RetryAfter(const std::string& name,
                                  TimePoint now) const {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return kMinRetryAfter;
  const Bucket& bucket = it->second;
  const double share = std::max(1e-3, ComputeShare(bucket, now));
  // Callers refused in the meantime also retry, so the delay grows with the
  // excess demand.
  const double missing = std::max(1.0, 1 - bucket.level);
  const double excess =
      std::max(1.0, bucket.demand / std::max(0.1, bucket.rate * share));
  return std::clamp(
      FromSeconds(missing / std::max(0.1, bucket.rate * share) * excess),
      kMinRetryAfter, kMaxRetryAfter);
}

std::vector<LimitUsage> FleetLimiter::Report(bool is_full, TimePoint now) {
  std::vector<LimitUsage> out;
  for (auto& [name, bucket] : buckets_) {
    Refill(&bucket, now);
    const bool is_changed =
        bucket.admitted != bucket.reported ||
        std::abs(bucket.demand - bucket.reported_demand) >
            kDemandChangeRatio *
                std::max(policy_.min_demand_change, bucket.reported_demand);
    if (!is_full && !is_changed) continue;
    if (policy_.omits_idle && !is_changed &&
        bucket.demand < policy_.min_demand_change)
      continue;
    bucket.reported = bucket.admitted;
    bucket.reported_demand = bucket.demand;
    out.push_back({name, bucket.admitted, bucket.demand, bucket.level});
  }
  return out;
}

void FleetLimiter::OnReport(const std::string& peer, uint64_t incarnation,
                            const std::vector<LimitUsage>& usage,
                            TimePoint now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  Peer& state = found->second;
  const bool is_new = state.incarnation != incarnation;
  // What the VM spent while its reports were missing was covered by its even
  // share.
  const bool had_timed_out = !IsReporting(state, now);
  state.incarnation = incarnation;
  state.last_report_at = now;
  state.has_reported = true;
  if (is_new) {
    for (auto& [name, bucket] : buckets_) bucket.peers.erase(peer);
  }
  for (const LimitUsage& it : usage) {
    const auto own = buckets_.find(it.name);
    if (own == buckets_.end()) continue;
    Bucket& bucket = own->second;
    Refill(&bucket, now);
    PeerUsage& previous = bucket.peers[peer];
    const bool is_counted = previous.is_known || policy_.counts_first_report;
    if (is_counted && !had_timed_out) {
      bucket.level -= static_cast<double>(it.admitted) -
                      static_cast<double>(previous.admitted);
      // Refunds of a peer never raise the level above the burst, and
      // overspending by a peer costs at most one second of refill.
      bucket.level = std::clamp(bucket.level, -bucket.rate, bucket.burst);
    }
    // A VM that has just started adopts the level that a peer reports.
    if (!bucket.has_peer_level) {
      bucket.level = std::max(bucket.level, it.level);
      bucket.has_peer_level = true;
    }
    previous.admitted = it.admitted;
    previous.demand = it.demand;
    previous.last_report_at = now;
    previous.is_known = true;
  }
}

}  // namespace rwf
