#include "traffic/fleet_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace rwf {
namespace {

constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
constexpr Duration kLongestReturn = std::chrono::seconds(2);
// Change of the demand that is reported although nothing was admitted.
constexpr double kDemandNews = 0.5;

}  // namespace

void FleetLimiter::SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                             TimePoint now) {
  std::set<std::string> limited;
  for (const TrafficWorkspace& it : workspaces) {
    if (it.rate <= 0) continue;
    limited.insert(it.name);
    const auto [found, is_new] = buckets_.try_emplace(it.name);
    Bucket& bucket = found->second;
    if (is_new) bucket.refilled_at = now;
    Refill(&bucket, now);
    bucket.rate = it.rate * kUsedPart;
    bucket.burst = std::max(1.0, it.burst);
    if (is_new) {
      bucket.level =
          kFirstPart *
          (tolerance_.requests +
           tolerance_.ratio *
               (bucket.rate * ToSeconds(tolerance_.window) + bucket.burst));
      bucket.first_level = bucket.level;
      bucket.first_known = now;
      bucket.share_tokens = bucket.level;
    }
    bucket.level = std::min(bucket.level, bucket.burst);
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
  fleet_part_at_ = {};
}

size_t FleetLimiter::HeardPeers(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [&](const auto& it) { return IsHeard(it.second, now); }));
}

// The part of the fleet that this VM knows the spending of.
double FleetLimiter::FleetPart(TimePoint now) {
  if (now - fleet_part_at_ >= ShareAge()) {
    fleet_part_at_ = now;
    fleet_part_ = static_cast<double>(1 + HeardPeers(now)) /
                  static_cast<double>(1 + peers_.size());
  }
  return fleet_part_;
}

void FleetLimiter::Refill(Bucket* bucket, TimePoint now) {
  const double seconds = std::max(0.0, ToSeconds(now - bucket->refilled_at));
  bucket->refilled_at = now;
  const double part = FleetPart(now);
  double most = bucket->burst * part;
  if (now - bucket->first_known < kStart)
    most = std::max(most, bucket->first_level);
  bucket->level = std::min(most, bucket->level + bucket->rate * part * seconds);
  if (now - bucket->shared_at >= ShareAge()) {
    bucket->share = ShareOf(*bucket, now);
    bucket->shared_at = now;
  }
  const double share = bucket->share;
  double depth = bucket->rate * kShareDepthSeconds;
  // Where nothing is taken freely, the burst is handed out by shares, too.
  if (HasRareReports()) depth = std::max(depth, bucket->level);
  depth = std::max(1.0, depth * share);
  bucket->share_tokens = std::min(
      depth, bucket->share_tokens + bucket->rate * part * share * seconds);
  bucket->demand *= std::exp(-seconds / ToSeconds(DemandWindow()));
}

double FleetLimiter::ShareOf(const Bucket& bucket, TimePoint now) const {
  // Shares of VMs that hear of each other rarely add up only if all of them are
  // taken from the same reports.
  const double own = HasRareReports() ? bucket.reported_demand : bucket.demand;
  double all = own;
  size_t heard = 0;
  for (const auto& [name, usage] : bucket.peers) {
    const auto peer = peers_.find(name);
    if (peer == peers_.end() || !IsHeard(peer->second, now)) continue;
    ++heard;
    // Demand that no report confirms any more is taken to fade.
    const Duration unconfirmed =
        std::max(Duration::zero(), now - usage.heard_at - report_period_);
    all += usage.demand *
           std::exp(-ToSeconds(unconfirmed) / ToSeconds(DemandWindow()));
  }
  const double even = 1.0 / static_cast<double>(1 + heard);
  if (all <= 0) return even;
  return std::clamp(own / all, even * kLeastShare, 1.0);
}

bool FleetLimiter::TryAdmit(const std::string& workspace, TimePoint now) {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  if (bucket.is_first) {
    // What all VMs start with together is one part of the tolerance.
    bucket.is_first = false;
    bucket.share_tokens *=
        std::min(1.0, kFirstShare / static_cast<double>(1 + peers_.size()));
  }
  Refill(&bucket, now);
  bucket.demand += 1 / ToSeconds(DemandWindow());
  if (bucket.level < 1) return false;
  const bool is_free =
      !HasRareReports() && bucket.level - 1 >= bucket.burst * kFreeLevel;
  if (!is_free && bucket.share_tokens < 1) return false;
  bucket.level -= 1;
  bucket.share_tokens = std::max(0.0, bucket.share_tokens - 1);
  ++bucket.admitted;
  return true;
}

void FleetLimiter::Refund(const std::string& workspace) {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end() || it->second.admitted == 0) return;
  Bucket& bucket = it->second;
  bucket.level = std::min(bucket.burst, bucket.level + 1);
  --bucket.admitted;
}

Duration FleetLimiter::RetryAfter(const std::string& workspace,
                                  TimePoint now) const {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end()) return kShortestReturn;
  const Bucket& bucket = it->second;
  const double share = std::max(1e-3, ShareOf(bucket, now));
  // Everybody refused meanwhile comes back too: the wait grows with the excess.
  const double missing = std::max(1.0, 1 - bucket.level);
  const double excess =
      std::max(1.0, bucket.demand / std::max(0.1, bucket.rate * share));
  return std::clamp(
      FromSeconds(missing / std::max(0.1, bucket.rate * share) * excess),
      kShortestReturn, kLongestReturn);
}

std::vector<WorkspaceUsage> FleetLimiter::Report(bool everything,
                                                 TimePoint now) {
  std::vector<WorkspaceUsage> out;
  for (auto& [name, bucket] : buckets_) {
    Refill(&bucket, now);
    const bool is_news =
        bucket.admitted != bucket.reported ||
        std::abs(bucket.demand - bucket.reported_demand) >
            kDemandNews * std::max(1.0, bucket.reported_demand);
    if (!everything && !is_news) continue;
    bucket.reported = bucket.admitted;
    bucket.reported_demand = bucket.demand;
    out.push_back({name, bucket.admitted, bucket.demand, bucket.level});
  }
  return out;
}

void FleetLimiter::OnReport(const std::string& peer, uint64_t incarnation,
                            const std::vector<WorkspaceUsage>& usage,
                            TimePoint now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  Peer& state = found->second;
  const bool is_new = state.incarnation != incarnation;
  // What a VM spent while it was not heard was covered by its even part.
  const bool was_silent = !IsHeard(state, now);
  state.incarnation = incarnation;
  state.heard_at = now;
  state.is_heard = true;
  if (is_new) {
    for (auto& [name, bucket] : buckets_) bucket.peers.erase(peer);
  }
  for (const WorkspaceUsage& it : usage) {
    const auto own = buckets_.find(it.workspace);
    if (own == buckets_.end()) continue;
    Bucket& bucket = own->second;
    Refill(&bucket, now);
    PeerUsage& known = bucket.peers[peer];
    if (known.is_known && !was_silent) {
      bucket.level -= static_cast<double>(it.admitted) -
                      static_cast<double>(known.admitted);
      // Refunds of a peer never lift the level above the burst, and one that
      // overspent is not held against the rate for more than a second.
      bucket.level = std::clamp(bucket.level, -bucket.rate, bucket.burst);
    }
    // A VM that has just started takes over what the others have left.
    if (!bucket.has_peer_level) {
      bucket.level = std::max(bucket.level, it.level);
      bucket.has_peer_level = true;
    }
    known.admitted = it.admitted;
    known.demand = it.demand;
    known.heard_at = now;
    known.is_known = true;
  }
}

}  // namespace rwf
