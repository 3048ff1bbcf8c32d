#include "steering/upstream_selector.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <tuple>
#include <unordered_map>

#include "steering/drain_check.h"

namespace rwf {
namespace {

constexpr size_t kNone = SIZE_MAX;
// Weight of a new sample in the smoothed latency.
constexpr double kLatencyGain = 0.2;

Duration Smooth(Duration old, Duration sample) {
  if (old == Duration::zero()) return sample;
  return old +
         std::chrono::duration_cast<Duration>((sample - old) * kLatencyGain);
}

}  // namespace

const char* CandidateStateName(CandidateState state) {
  static constexpr std::array<const char*, 7> kNames = {
      "ready",   "warming-up", "failing",     "shedding",
      "ejected", "draining",   "no-link-room"};
  return kNames[static_cast<size_t>(state)];
}

UpstreamSelector::UpstreamSelector(const Config& config, size_t service,
                                   const std::string& own_zone)
    : own_zone_(own_zone) {
  BuildGroups(config, service);
}

void UpstreamSelector::BuildGroups(const Config& config, size_t service) {
  topology_ = Topology(config);
  instances_.clear();
  groups_.clear();
  const size_t own = topology_.FindZone(own_zone_);
  std::vector<std::vector<size_t>> instances_by_zone(topology_.zone_count());
  for (const Upstream& upstream : config.services[service].upstreams) {
    Instance instance;
    instance.id = upstream.id;
    instance.zone = topology_.FindZone(upstream.zone);
    instance.slots = upstream.slots;
    instance.draining = IsUpstreamDrained(config, upstream);
    if (instance.zone != Topology::kNone && !instance.draining) {
      instances_by_zone[instance.zone].push_back(instances_.size());
    }
    instances_.push_back(std::move(instance));
  }
  if (own == Topology::kNone) return;
  for (const size_t zone : topology_.ZonesByDistance(own)) {
    const Tier tier = topology_.TierOf(own, zone);
    const size_t region = topology_.region_of(zone);
    if (groups_.empty() || groups_.back().tier != tier ||
        groups_.back().region != region) {
      const Duration round_trip = 2 * topology_.OneWayLatency(own, zone);
      groups_.push_back(
          {region, tier, std::min(round_trip, kMaxSpillWait), {}});
    }
    std::vector<size_t>& all = groups_.back().instances;
    all.insert(all.end(), instances_by_zone[zone].begin(),
               instances_by_zone[zone].end());
  }
}

std::vector<size_t> UpstreamSelector::Reconfigure(const Config& config,
                                                  size_t service,
                                                  TimePoint now) {
  const std::vector<Instance> old = std::move(instances_);
  BuildGroups(config, service);
  std::unordered_map<std::string, size_t> by_id;
  for (size_t i = 0; i < instances_.size(); ++i) {
    by_id.emplace(instances_[i].id, i);
    instances_[i].slow_start_end = now + kSlowStartTime;
  }
  std::vector<size_t> new_index(old.size(), kNone);
  for (size_t i = 0; i < old.size(); ++i) {
    const auto it = by_id.find(old[i].id);
    if (it == by_id.end()) continue;
    new_index[i] = it->second;
    const Instance configured = instances_[it->second];
    instances_[it->second] = old[i];
    instances_[it->second].zone = configured.zone;
    instances_[it->second].slots = configured.slots;
    instances_[it->second].draining = configured.draining;
  }
  return new_index;
}

bool UpstreamSelector::HasFreshReport(const Instance& instance,
                                      TimePoint now) const {
  return instance.has_report && now - instance.report.at <= kMaxReportAge;
}

double UpstreamSelector::SlowStartFactor(const Instance& instance,
                                         TimePoint now) const {
  if (now >= instance.slow_start_end) return 1;
  const double left =
      ToSeconds(instance.slow_start_end - now) / ToSeconds(kSlowStartTime);
  return std::max(1 - left, kMinSlowStartFactor);
}

CandidateState UpstreamSelector::StateOf(const Instance& instance,
                                         TimePoint now) const {
  if (instance.draining) return CandidateState::kDraining;
  if (now < instance.backoff_until) {
    return instance.ejected ? CandidateState::kEjected
                            : CandidateState::kFailing;
  }
  if (now < instance.shed_until) return CandidateState::kShedding;
  if (now < instance.slow_start_end) return CandidateState::kWarmingUp;
  return CandidateState::kReady;
}

bool UpstreamSelector::IsLastResort(const Instance& instance,
                                    TimePoint now) const {
  const CandidateState state = StateOf(instance, now);
  return state == CandidateState::kFailing ||
         state == CandidateState::kShedding;
}

// True if slow start allows no further request.
bool UpstreamSelector::IsLimitedBySlowStart(const Instance& instance,
                                            TimePoint now) const {
  if (now >= instance.slow_start_end) return false;
  const double allowed = std::max(1.0, static_cast<double>(instance.slots) *
                                           SlowStartFactor(instance, now));
  double in_flight = static_cast<double>(instance.in_flight);
  if (HasFreshReport(instance, now)) in_flight += instance.other_vms_in_flight;
  return in_flight + 1 > allowed;
}

double UpstreamSelector::Score(const Instance& instance, TimePoint now) const {
  const auto slots = static_cast<double>(std::max<int64_t>(instance.slots, 1));
  double capacity = slots * kAssumedCapacityFraction;
  double others = slots * kAssumedBusyFraction;
  if (HasFreshReport(instance, now)) {
    // A report can lower the capacity but never raise it above the configured
    // one.
    capacity = std::clamp(instance.report.capacity, 1.0, slots);
    others = instance.other_vms_in_flight;
  }
  const double in_flight = std::max(
      static_cast<double>(instance.in_flight),
      std::min(static_cast<double>(instance.in_flight) + others, slots));
  return (in_flight + 1) / (capacity * SlowStartFactor(instance, now));
}

bool UpstreamSelector::IsBetter(size_t a, size_t b, TimePoint now) const {
  const double score_a = Score(instances_[a], now);
  const double score_b = Score(instances_[b], now);
  if (score_a != score_b) return score_a < score_b;
  return instances_[a].latency < instances_[b].latency;
}

bool UpstreamSelector::IsPreferable(size_t instance,
                                    std::optional<size_t> avoid,
                                    TimePoint now) const {
  if (avoid == instance) return false;
  const CandidateState state = StateOf(instances_[instance], now);
  if (state == CandidateState::kReady) return true;
  return state == CandidateState::kWarmingUp &&
         !IsLimitedBySlowStart(instances_[instance], now);
}

size_t UpstreamSelector::PickFromGroup(const Group& group, SlotSource& slots,
                                       std::optional<size_t> avoid, pcg32& rng,
                                       TimePoint now, ScanResult* scan) const {
  const std::vector<size_t>& all = group.instances;
  const auto n = static_cast<uint32_t>(all.size());
  if (n == 0) return kNone;
  for (int pair = 0; pair < kRandomPairs && n > 1; ++pair) {
    const uint32_t i = rng(n);
    const uint32_t j = (i + 1 + rng(n - 1)) % n;
    size_t first = all[i];
    size_t second = all[j];
    const bool use_first = IsPreferable(first, avoid, now);
    const bool use_second = IsPreferable(second, avoid, now);
    if (use_first && use_second && IsBetter(second, first, now)) {
      std::swap(first, second);
    }
    if (IsPreferable(first, avoid, now) && slots.TryAcquire(first, now)) {
      return first;
    }
    if (IsPreferable(second, avoid, now) && slots.TryAcquire(second, now)) {
      return second;
    }
  }
  // All pairs were busy; take any instance with a free slot.
  const auto limit = std::min<uint32_t>(n, kMaxScan);
  const uint32_t start = rng(n);
  for (uint32_t k = 0; k < limit; ++k) {
    const size_t instance = all[(start + k) % n];
    if (instance == avoid) continue;
    const CandidateState state = StateOf(instances_[instance], now);
    if (state != CandidateState::kReady &&
        state != CandidateState::kWarmingUp) {
      if (IsLastResort(instances_[instance], now)) scan->has_last_resort = true;
      continue;
    }
    scan->has_candidate = true;
    if (!IsPreferable(instance, avoid, now)) continue;
    if (slots.TryAcquire(instance, now)) return instance;
  }
  return kNone;
}

size_t UpstreamSelector::PickLastResort(const Group& group, SlotSource& slots,
                                        std::optional<size_t> avoid, pcg32& rng,
                                        TimePoint now) const {
  const std::vector<size_t>& all = group.instances;
  const auto n = static_cast<uint32_t>(all.size());
  const auto limit = std::min<uint32_t>(n, kMaxScan);
  const uint32_t start = rng(n);
  for (uint32_t k = 0; k < limit; ++k) {
    const size_t instance = all[(start + k) % n];
    if (instance == avoid || !IsLastResort(instances_[instance], now)) continue;
    if (slots.TryAcquire(instance, now)) return instance;
  }
  return kNone;
}

std::optional<UpstreamSelector::Selection> UpstreamSelector::Select(
    SlotSource& slots, LinkBudget& links, std::optional<size_t> avoid,
    pcg32& rng, TimePoint now, Duration waited) {
  const auto is_reachable = [&](const Group& group) {
    return group.tier != Tier::kOtherRegion ||
           links.HasCapacity(group.region, now);
  };
  const auto take = [&](size_t instance, const Group& group) {
    ++instances_[instance].in_flight;
    return Selection{instance, group.tier};
  };
  ScanResult scan;
  for (const Group& group : groups_) {
    if (scan.has_candidate && waited < group.spill_wait) return std::nullopt;
    if (group.instances.empty() || !is_reachable(group)) continue;
    const size_t instance = PickFromGroup(group, slots, avoid, rng, now, &scan);
    if (instance != kNone) return take(instance, group);
  }
  if (!scan.has_last_resort) return std::nullopt;
  if (scan.has_candidate && waited < kLastResortWait) return std::nullopt;
  for (const Group& group : groups_) {
    if (group.instances.empty() || !is_reachable(group)) continue;
    const size_t instance = PickLastResort(group, slots, avoid, rng, now);
    if (instance != kNone) return take(instance, group);
  }
  return std::nullopt;
}

Duration UpstreamSelector::MinSpillWait() const {
  Duration shortest = kLastResortWait;
  for (const Group& group : groups_) {
    if (group.tier != Tier::kOtherRegion || group.instances.empty()) continue;
    shortest = std::min(shortest, group.spill_wait);
  }
  return shortest;
}

void UpstreamSelector::EndRequest(Instance* instance) {
  assert(instance->in_flight > 0);
  --instance->in_flight;
}

void UpstreamSelector::OnSuccess(size_t instance, Duration latency,
                                 TimePoint now) {
  Instance& it = instances_[instance];
  EndRequest(&it);
  it.latency = Smooth(it.latency, latency);
  if (now < it.backoff_until) return;  // sent before the ejection
  it.failures = 0;
  // The backoff is reset only after a complete slow start, so that an instance
  // that works only briefly keeps its long backoff.
  if (now >= it.slow_start_end) it.backoff = Duration::zero();
  if (now >= it.shed_until) it.shed_backoff = Duration::zero();
}

void UpstreamSelector::OnShed(size_t instance, TimePoint now) {
  Instance& it = instances_[instance];
  EndRequest(&it);
  if (now < it.shed_until) return;  // sent before the backoff
  it.shed_backoff =
      std::clamp(it.shed_backoff * 2, kMinShedBackoff, kMaxShedBackoff);
  it.shed_until = now + it.shed_backoff;
}

void UpstreamSelector::OnFailure(size_t instance, TimePoint now) {
  Instance& it = instances_[instance];
  EndRequest(&it);
  if (now < it.backoff_until && it.ejected) return;  // sent before the ejection
  if (++it.failures < kFailuresToEject) return;
  it.ejected = CanEject(it.zone, now);
  it.backoff = std::clamp(it.backoff * 2, kMinEjection, kMaxEjection);
  it.backoff_until = now + it.backoff;
  // An instance that stays in service because of the cap keeps its full
  // capacity.
  if (it.ejected) it.slow_start_end = it.backoff_until + kSlowStartTime;
  // After the backoff, one failure is enough for the next, longer ejection.
  it.failures = kFailuresToEject - 1;
}

void UpstreamSelector::OnCancelled(size_t instance) {
  EndRequest(&instances_[instance]);
}

bool UpstreamSelector::CanEject(size_t zone, TimePoint now) const {
  int64_t total = 0;
  int64_t ejected = 0;
  for (const Instance& instance : instances_) {
    if (instance.zone != zone || instance.draining) continue;
    ++total;
    if (instance.ejected && now < instance.backoff_until) ++ejected;
  }
  return static_cast<double>(ejected + 1) <=
         kMaxEjectedFraction * static_cast<double>(total) + 1e-9;
}

void UpstreamSelector::OnReport(size_t instance, const LoadReport& report) {
  Instance& it = instances_[instance];
  if (!std::isfinite(report.in_flight) || !std::isfinite(report.capacity) ||
      report.in_flight < 0) {
    return;
  }
  if (it.has_report && report.at < it.report.at) return;
  it.report = report;
  it.has_report = true;
  it.other_vms_in_flight =
      std::clamp(report.in_flight - static_cast<double>(it.in_flight), 0.0,
                 static_cast<double>(it.slots));
}

void UpstreamSelector::OnColdStart(size_t instance, TimePoint now) {
  instances_[instance].slow_start_end = now + kSlowStartTime;
}

void UpstreamSelector::OnZoneColdStart(const std::string& zone, TimePoint now) {
  const size_t index = topology_.FindZone(zone);
  for (Instance& instance : instances_) {
    if (instance.zone == index) instance.slow_start_end = now + kSlowStartTime;
  }
}

std::vector<Candidate> UpstreamSelector::Explain(LinkBudget& links,
                                                 TimePoint now) const {
  std::vector<Candidate> out;
  const auto describe = [&](size_t i, Tier tier) {
    const Instance& instance = instances_[i];
    Candidate candidate;
    candidate.instance = i;
    candidate.id = instance.id;
    candidate.tier = tier;
    candidate.state = StateOf(instance, now);
    candidate.report_is_fresh = HasFreshReport(instance, now);
    candidate.in_flight = instance.in_flight;
    candidate.score = Score(instance, now);
    candidate.latency = instance.latency;
    const TimePoint until =
        std::max(instance.backoff_until, instance.shed_until);
    if (until > now) candidate.retry_after = until - now;
    return candidate;
  };
  for (const Group& group : groups_) {
    const bool has_capacity = group.tier != Tier::kOtherRegion ||
                              links.HasCapacity(group.region, now);
    const auto first = static_cast<std::ptrdiff_t>(out.size());
    for (const size_t i : group.instances) {
      out.push_back(describe(i, group.tier));
      if (!has_capacity) out.back().state = CandidateState::kNoLinkCapacity;
    }
    std::sort(out.begin() + first, out.end(),
              [](const Candidate& a, const Candidate& b) {
                const auto rank = [](const Candidate& c) {
                  const auto state =
                      std::max(c.state, CandidateState::kWarmingUp);
                  return std::make_tuple(state, c.score, c.latency, c.instance);
                };
                return rank(a) < rank(b);
              });
  }
  const size_t own = topology_.FindZone(own_zone_);
  for (size_t i = 0; i < instances_.size(); ++i) {
    const Instance& instance = instances_[i];
    if (!instance.draining || instance.zone == Topology::kNone) continue;
    if (own == Topology::kNone) continue;
    out.push_back(describe(i, topology_.TierOf(own, instance.zone)));
  }
  return out;
}

int64_t UpstreamSelector::in_flight(size_t instance) const {
  return instances_[instance].in_flight;
}

bool UpstreamSelector::IsEjected(size_t instance, TimePoint now) const {
  return StateOf(instances_[instance], now) == CandidateState::kEjected;
}

}  // namespace rwf
