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
// Weight of the newest latency in the smoothed one.
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
  Build(config, service);
}

void UpstreamSelector::Build(const Config& config, size_t service) {
  topology_ = Topology(config);
  instances_.clear();
  groups_.clear();
  const size_t own = topology_.FindZone(own_zone_);
  std::vector<std::vector<size_t>> by_zone(topology_.zone_count());
  for (const Upstream& upstream : config.services[service].upstreams) {
    Instance instance;
    instance.id = upstream.id;
    instance.zone = topology_.FindZone(upstream.zone);
    instance.slots = upstream.slots;
    instance.draining = IsUpstreamDrained(config, upstream);
    if (instance.zone != Topology::kNone && !instance.draining) {
      by_zone[instance.zone].push_back(instances_.size());
    }
    instances_.push_back(std::move(instance));
  }
  if (own == Topology::kNone) return;
  for (const size_t zone : topology_.Nearest(own)) {
    const Tier tier = topology_.TierOf(own, zone);
    const size_t region = topology_.region_of(zone);
    if (groups_.empty() || groups_.back().tier != tier ||
        groups_.back().region != region) {
      const Duration round_trip = 2 * topology_.OneWay(own, zone);
      groups_.push_back(
          {region, tier, std::min(round_trip, kMaxSpillWait), {}});
    }
    std::vector<size_t>& all = groups_.back().instances;
    all.insert(all.end(), by_zone[zone].begin(), by_zone[zone].end());
  }
}

std::vector<size_t> UpstreamSelector::Reconfigure(const Config& config,
                                                  size_t service,
                                                  TimePoint now) {
  const std::vector<Instance> old = std::move(instances_);
  Build(config, service);
  std::unordered_map<std::string, size_t> by_id;
  for (size_t i = 0; i < instances_.size(); ++i) {
    by_id.emplace(instances_[i].id, i);
    instances_[i].warm_at = now + kSlowStart;
  }
  std::vector<size_t> new_index(old.size(), kNone);
  for (size_t i = 0; i < old.size(); ++i) {
    const auto it = by_id.find(old[i].id);
    if (it == by_id.end()) continue;
    new_index[i] = it->second;
    const Instance fresh = instances_[it->second];
    instances_[it->second] = old[i];
    instances_[it->second].zone = fresh.zone;
    instances_[it->second].slots = fresh.slots;
    instances_[it->second].draining = fresh.draining;
  }
  return new_index;
}

bool UpstreamSelector::HasFreshReport(const Instance& instance,
                                      TimePoint now) const {
  return instance.has_report && now - instance.report.at <= kReportLimit;
}

double UpstreamSelector::SlowStartFactor(const Instance& instance,
                                         TimePoint now) const {
  if (now >= instance.warm_at) return 1;
  const double left = ToSeconds(instance.warm_at - now) / ToSeconds(kSlowStart);
  return std::max(1 - left, kSlowStartFloor);
}

CandidateState UpstreamSelector::StateOf(const Instance& instance,
                                         TimePoint now) const {
  if (instance.draining) return CandidateState::kDraining;
  if (now < instance.out_until) {
    return instance.ejected ? CandidateState::kEjected
                            : CandidateState::kFailing;
  }
  if (now < instance.shed_until) return CandidateState::kShedding;
  if (now < instance.warm_at) return CandidateState::kWarmingUp;
  return CandidateState::kReady;
}

bool UpstreamSelector::IsLastResort(const Instance& instance,
                                    TimePoint now) const {
  const CandidateState state = StateOf(instance, now);
  return state == CandidateState::kFailing ||
         state == CandidateState::kShedding;
}

// True if slow start keeps a further request away.
bool UpstreamSelector::IsLimited(const Instance& instance,
                                 TimePoint now) const {
  if (now >= instance.warm_at) return false;
  const double allowed = std::max(1.0, static_cast<double>(instance.slots) *
                                           SlowStartFactor(instance, now));
  double in_flight = static_cast<double>(instance.in_flight);
  if (HasFreshReport(instance, now)) in_flight += instance.others_in_flight;
  return in_flight + 1 > allowed;
}

double UpstreamSelector::Score(const Instance& instance, TimePoint now) const {
  const auto slots = static_cast<double>(std::max<int64_t>(instance.slots, 1));
  double capacity = slots * kAssumedCapacity;
  double others = slots * kAssumedBusy;
  if (HasFreshReport(instance, now)) {
    // A report can lower the capacity, never raise it over the configured one.
    capacity = std::clamp(instance.report.capacity, 1.0, slots);
    others = instance.others_in_flight;
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
         !IsLimited(instances_[instance], now);
}

size_t UpstreamSelector::PickIn(const Group& group, SlotSource& slots,
                                std::optional<size_t> avoid, pcg32& rng,
                                TimePoint now, Seen* seen) const {
  const std::vector<size_t>& all = group.instances;
  const auto n = static_cast<uint32_t>(all.size());
  if (n == 0) return kNone;
  for (int pair = 0; pair < kPairs && n > 1; ++pair) {
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
  // All pairs were busy: take any that has a slot.
  const auto limit = std::min<uint32_t>(n, kMaxScan);
  const uint32_t start = rng(n);
  for (uint32_t k = 0; k < limit; ++k) {
    const size_t instance = all[(start + k) % n];
    if (instance == avoid) continue;
    const CandidateState state = StateOf(instances_[instance], now);
    if (state != CandidateState::kReady &&
        state != CandidateState::kWarmingUp) {
      if (IsLastResort(instances_[instance], now)) seen->last_resort = true;
      continue;
    }
    seen->candidate = true;
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
  const auto is_open = [&](const Group& group) {
    return group.tier != Tier::kOtherRegion || links.HasRoom(group.region, now);
  };
  const auto take = [&](size_t instance, const Group& group) {
    ++instances_[instance].in_flight;
    return Selection{instance, group.tier};
  };
  Seen seen;
  for (const Group& group : groups_) {
    if (seen.candidate && waited < group.spill_wait) return std::nullopt;
    if (group.instances.empty() || !is_open(group)) continue;
    const size_t instance = PickIn(group, slots, avoid, rng, now, &seen);
    if (instance != kNone) return take(instance, group);
  }
  if (!seen.last_resort) return std::nullopt;
  if (seen.candidate && waited < kLastResortWait) return std::nullopt;
  for (const Group& group : groups_) {
    if (group.instances.empty() || !is_open(group)) continue;
    const size_t instance = PickLastResort(group, slots, avoid, rng, now);
    if (instance != kNone) return take(instance, group);
  }
  return std::nullopt;
}

Duration UpstreamSelector::SpillWait() const {
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
  if (now < it.out_until) return;  // sent before the ejection
  it.failures = 0;
  // The next ejection starts short again only after a whole slow start, so that
  // an instance that works for a moment keeps its long backoff.
  if (now >= it.warm_at) it.out_length = Duration::zero();
  if (now >= it.shed_until) it.shed_pause = Duration::zero();
}

void UpstreamSelector::OnShed(size_t instance, TimePoint now) {
  Instance& it = instances_[instance];
  EndRequest(&it);
  if (now < it.shed_until) return;  // sent before the pause
  it.shed_pause = std::clamp(it.shed_pause * 2, kMinShedPause, kMaxShedPause);
  it.shed_until = now + it.shed_pause;
}

void UpstreamSelector::OnFailure(size_t instance, TimePoint now) {
  Instance& it = instances_[instance];
  EndRequest(&it);
  if (now < it.out_until && it.ejected) return;  // sent before the ejection
  if (++it.failures < kFailuresToEject) return;
  it.ejected = MayEject(it.zone, now);
  it.out_length = std::clamp(it.out_length * 2, kMinEjection, kMaxEjection);
  it.out_until = now + it.out_length;
  // What the cap keeps in service keeps its capacity too.
  if (it.ejected) it.warm_at = it.out_until + kSlowStart;
  // One failure after the return is enough for the next, longer ejection.
  it.failures = kFailuresToEject - 1;
}

void UpstreamSelector::OnCancelled(size_t instance) {
  EndRequest(&instances_[instance]);
}

bool UpstreamSelector::MayEject(size_t zone, TimePoint now) const {
  int64_t total = 0;
  int64_t ejected = 0;
  for (const Instance& instance : instances_) {
    if (instance.zone != zone || instance.draining) continue;
    ++total;
    if (instance.ejected && now < instance.out_until) ++ejected;
  }
  return static_cast<double>(ejected + 1) <=
         kMaxEjectedShare * static_cast<double>(total) + 1e-9;
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
  it.others_in_flight =
      std::clamp(report.in_flight - static_cast<double>(it.in_flight), 0.0,
                 static_cast<double>(it.slots));
}

void UpstreamSelector::OnColdStart(size_t instance, TimePoint now) {
  instances_[instance].warm_at = now + kSlowStart;
}

void UpstreamSelector::OnZoneCold(const std::string& zone, TimePoint now) {
  const size_t index = topology_.FindZone(zone);
  for (Instance& instance : instances_) {
    if (instance.zone == index) instance.warm_at = now + kSlowStart;
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
    const TimePoint until = std::max(instance.out_until, instance.shed_until);
    if (until > now) candidate.retry_after = until - now;
    return candidate;
  };
  for (const Group& group : groups_) {
    const bool has_room =
        group.tier != Tier::kOtherRegion || links.HasRoom(group.region, now);
    const auto first = static_cast<std::ptrdiff_t>(out.size());
    for (const size_t i : group.instances) {
      out.push_back(describe(i, group.tier));
      if (!has_room) out.back().state = CandidateState::kNoLinkRoom;
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
