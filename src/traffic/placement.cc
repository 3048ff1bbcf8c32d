#include "traffic/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

#include "base/hash.h"

namespace rwf {
namespace {

// Bounds of the time after which a refused caller should retry.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1200);
// A response must be expected this long before the request times out.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(60);

// Ratio of a run on a cold instance to a cold run on other instances.
constexpr double kColdInstanceFactor = 2;
// Weight of one response in the mean size of a route's responses.
constexpr double kResponseSizeGain = 0.02;
// Cost of an instance beyond the preferred ranks, as a fraction of a cold run's
// cost. It keeps objects from spreading over all instances.
constexpr double kHighRankCost = 0.2;
// Cost of a full instance over an empty one, in seconds.
constexpr double kLoadCost = 0.01;

// Weight of one run in the mean run time of a service.
constexpr double kMeanRunGain = 0.02;
// Lowest weight of an instance in the order of an object.
constexpr double kMinWeight = 0.01;

// Weighted rendezvous hashing: an instance is the first of the order for a
// fraction of the objects that is proportional to its weight.
double ScoreOf(uint64_t object, const std::string& instance, double weight) {
  const double point =
      (static_cast<double>(Hash64(instance, object) >> 11) + 0.5) /
      static_cast<double>(1ULL << 53);
  return -weight / std::log(point);
}

}  // namespace

Placement::Placement(PlacementSettings settings, InstanceRegistry* registry,
                     InstanceNotices* notices)
    : settings_(std::move(settings)),
      registry_(registry),
      notices_(notices),
      costs_(settings_.pacing_seed),
      pacer_(settings_.pacing_seed),
      split_(settings_.max_shift) {}

bool Placement::IsUsable(const InstanceState& it,
                         const PlacementRequest& request, TimePoint) const {
  const InstanceInfo& info = it.info();
  if (info.is_draining || it.is_replaced() || registry_->IsEvacuated(info.zone))
    return false;
  if (!request.regions.Allows(info.region)) return false;
  return std::find(request.tried.begin(), request.tried.end(), info.id) ==
         request.tried.end();
}

std::vector<Placement::Candidate> Placement::RankCandidates(
    const PlacementRequest& request, bool is_local, TimePoint now) const {
  std::vector<Candidate> out;
  for (InstanceState* it : registry_->OfService(request.service)) {
    if ((it->info().region == settings_.region) != is_local) continue;
    if (!IsUsable(*it, request, now)) continue;
    // The weight depends on nothing that VMs may see differently, except for
    // the time in which they hear of a limit.
    const auto slots =
        static_cast<double>(std::max<int64_t>(1, it->info().slots));
    const double weight = std::max(
        kMinWeight, UsableSlots(it->info(), request.objective / 2) / slots);
    out.push_back({it, ScoreOf(request.object, it->info().id, weight)});
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return a.score > b.score;
  });
  return out;
}

double Placement::UsableSlots(const InstanceInfo& info, Duration run) const {
  const auto slots = static_cast<double>(info.slots);
  if (notices_ == nullptr) return slots;
  const std::optional<double> limit = notices_->RateLimit(info);
  return limit ? std::min(slots, *limit * ToSeconds(run)) : slots;
}

bool Placement::MayBeWarm(const PlacementRequest& request,
                          const PlacementChoice& choice) {
  // Other VMs also send the object to the first instance of its order.
  return request.object != 0 && (choice.is_warm || choice.rank == 0);
}

RunClass Placement::ClassOf(const PlacementRequest& request, bool is_warm) {
  using RunKind = CostEstimator::RunKind;
  const RunKind kind = request.object == 0 ? RunKind::kNoObject
                       : is_warm           ? RunKind::kWarm
                                           : RunKind::kCold;
  return {request.service, request.route, kind};
}

bool Placement::IsTooLate(const Search& search, PlacementChoice* choice) {
  const PlacementRequest& request = *search.request;
  const Duration limit = request.time_left - kDeadlineMargin;
  if (choice->expected_total <= limit) return false;
  const RunEvidence::Verdict verdict =
      MayBeWarm(request, *choice) ? search.warm_verdict : search.cold_verdict;
  if (verdict == RunEvidence::Verdict::kUnmeasured) return false;
  // A wait that is too long by itself follows from what the instance reports,
  // which needs no trial.
  choice->is_trial = verdict == RunEvidence::Verdict::kTrialDue &&
                     choice->expected_total - choice->expected <= limit;
  return !choice->is_trial;
}

PlacementChoice Placement::Evaluate(const Search& search,
                                    const Candidate& candidate,
                                    size_t rank) const {
  InstanceState* it = candidate.state;
  const PlacementRequest& request = *search.request;
  const ServiceTimeModel::Times& times = search.times;
  const TimePoint now = search.now;
  PlacementChoice out;
  out.instance = it;
  out.rank = rank;
  out.is_remote = !search.is_local;
  out.is_warm = request.object != 0 && it->IsWarmFor(request.object, now);
  const bool may_be_warm = MayBeWarm(request, out);
  const Duration network =
      search.is_local ? Duration::zero() : settings_.cross_region_rtt;
  out.cost = search.costs->CostOf(may_be_warm);
  if (settings_.is_cost_aware && CostEvaluation::Applies(*search.costs, *it)) {
    CostEvaluation::Evaluate(search.costs, may_be_warm, kColdInstanceFactor,
                             network, now, &out);
    return out;
  }
  const double slowness = it->SlownessAt(now);
  double run = ToSeconds(may_be_warm ? times.warm : times.cold) * slowness;
  double healthy_run = ToSeconds(out.is_warm ? times.warm : times.cold);
  if (it->IsCold(now)) {
    run = ToSeconds(times.cold) * kColdInstanceFactor;
    healthy_run = run;
  }
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, it->info().slots));
  const double waiting = std::max(0.0, it->LoadAt(now) + 1 - slots) / slots;
  // Two thirds of the queued runs are assumed to be warm.
  const double mean_run =
      (ToSeconds(times.warm) * 2 + ToSeconds(times.cold)) / 3 * slowness;
  out.expected = FromSeconds(run);
  out.estimate = {
      out.expected, request.object == 0 ? times.cold : times.warm,
      times.is_learned ? EstimateOrigin::kMean : EstimateOrigin::kObjective,
      static_cast<double>(times.measured_runs)};
  out.expected_total = FromSeconds(run + waiting * mean_run) + network;
  out.healthy_latency =
      FromSeconds(healthy_run + waiting * mean_run / slowness) + network;
  return out;
}

Duration Placement::AcceptedLatency(const Search& search,
                                    const PlacementChoice& choice) {
  const PlacementRequest& request = *search.request;
  // The first run on an instance is expected to exceed the limit.
  if (!choice.instance->has_succeeded()) return choice.expected_total;
  // A full region queues only requests that can still be in time: a late
  // response would delay all requests behind it as well. Of the run itself only
  // so much counts as a shorter queue can make up for, or requests that take
  // longer than their objective on every instance would never be served.
  const size_t n =
      std::clamp<size_t>(static_cast<size_t>(std::max(0, request.priority)), 0,
                         std::size(kQueueLimits) - 1);
  double limit = kQueueLimits[n];
  if (request.is_retry) limit = std::max(limit, kRetryQueueLimit);
  const double objective = ToSeconds(request.objective);
  const double run = ToSeconds(choice.estimate.usual_run);
  const double excess = std::max(0.0, run - objective * kMaxCountedRunRatio);
  return FromSeconds(objective * limit + excess);
}

std::optional<RejectionCause> Placement::RejectionOf(
    const Search& search, const PlacementChoice& choice,
    Duration* latest) const {
  const InstanceState& it = *choice.instance;
  const auto slots = static_cast<double>(std::max<int64_t>(1, it.info().slots));
  const double load = it.LoadAt(search.now);
  if (it.IsFull(search.now) && load >= slots) return RejectionCause::kFull;
  if (load + 1 > slots * kMaxLoad) return RejectionCause::kFull;
  if (search.region_load < kUnrestrictedLoad) return std::nullopt;
  const bool may_be_warm =
      choice.is_warm || search.request->object == 0 || choice.rank == 0;
  if (!may_be_warm) {
    // A cold run takes as long as several warm ones. It is worthwhile only on
    // an instance that will receive the object again, and in a free slot.
    if (choice.rank < search.warm_ranks && load + 1 <= slots * kFreeSlotLoad)
      return std::nullopt;
    return RejectionCause::kColdRun;
  }
  const Duration accepted = AcceptedLatency(search, choice);
  if (choice.expected_total <= accepted) return std::nullopt;
  *latest = accepted;
  return RejectionCause::kLate;
}

bool Placement::IsPanic(const std::vector<Candidate>& ranked, TimePoint now) {
  const auto n =
      std::count_if(ranked.begin(), ranked.end(), [&](const Candidate& it) {
        return it.state->IsEjected(now) && !it.state->IsUnreachable(now);
      });
  return static_cast<double>(n) >
         kPanicFraction * static_cast<double>(ranked.size());
}

std::optional<RejectionCause> Placement::ClosedCause(const InstanceInfo& info,
                                                     TimePoint now) const {
  if (notices_ == nullptr) return std::nullopt;
  switch (notices_->AvailabilityOf(info, now)) {
    case InstanceAvailability::kOpen:
      break;
    case InstanceAvailability::kLeaving:
      return RejectionCause::kLeaving;
    case InstanceAvailability::kWaiting:
      return RejectionCause::kWaiting;
    case InstanceAvailability::kLimited:
      return RejectionCause::kLimited;
  }
  return std::nullopt;
}

ColdPacer::Pace Placement::PaceOf(const InstanceState& it, double cold_rate,
                                  size_t local_vms) const {
  // Any VM of the fleet may send to an instance outside its region, in addition
  // to the VMs of its own region.
  const bool is_local = it.info().region == settings_.region;
  return {it.cold_until(), cold_rate,
          is_local ? local_vms
                   : std::max(local_vms, total_vms_) * kRemoteColdFactor};
}

std::optional<PlacementChoice> Placement::FindBest(Search search) {
  const PlacementRequest& request = *search.request;
  const TimePoint now = search.now;
  const std::vector<Candidate> ranked =
      RankCandidates(request, search.is_local, now);
  const ServiceTimeModel::Times& times = search.times;
  const double cold_penalty =
      ToSeconds(times.cold - times.warm) * kColdCostRatio;
  search.warm_ranks = WarmRanks(request.service, ranked.size());
  const bool is_panic = IsPanic(ranked, now);
  std::optional<PlacementChoice> best;
  double best_cost = std::numeric_limits<double>::max();
  // Ejected instances are used only if there are no others.
  for (const bool allow_ejected : {false, true}) {
    size_t rank = 0;
    for (const Candidate& candidate : ranked) {
      InstanceState* it = candidate.state;
      const bool is_excluded =
          is_panic ? it->IsUnreachable(now) : it->IsEjected(now);
      if (is_excluded != allow_ejected) continue;
      if (it->IsCold(now) &&
          !pacer_.CanAcquire(it->info().id,
                             PaceOf(*it, search.cold_rate, search.local_vms),
                             now)) {
        search.details->Count(RejectionCause::kColdRate);
        continue;
      }
      // An instance that takes no request now has no rank, so that the object
      // gets a second instance where it stays warm.
      if (const auto cause = ClosedCause(it->info(), now)) {
        search.details->Count(*cause);
        if (rank == 0) notices_->OnDeclined(it->info(), now);
        continue;
      }
      PlacementChoice choice = Evaluate(search, candidate, rank++);
      if (IsTooLate(search, &choice)) {
        search.details->CountTooLate(
            RejectionCause::kDeadline, choice.expected_total,
            request.time_left - kDeadlineMargin, choice.estimate);
        continue;
      }
      Duration latest{};
      if (const auto cause = RejectionOf(search, choice, &latest)) {
        if (*cause == RejectionCause::kLate) {
          search.details->CountTooLate(*cause, choice.expected_total, latest,
                                       choice.estimate);
        } else {
          search.details->Count(*cause);
        }
        continue;
      }
      double cost = ToSeconds(choice.expected_total);
      // Without an object all instances are equally cold.
      if (request.object != 0) {
        if (!choice.is_warm && choice.rank > 0) cost += cold_penalty;
        if (choice.rank >= search.warm_ranks)
          cost += cold_penalty * kHighRankCost;
      }
      // Among equal instances, prefer the one with more free slots.
      cost += kLoadCost * it->LoadAt(now) /
              static_cast<double>(std::max<int64_t>(1, it->info().slots));
      cost += choice.harm;
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = choice;
    }
    if (best) return best;
  }
  return best;
}

size_t Placement::WarmRanks(const std::string& service,
                            size_t instances) const {
  const auto it = objects_.find(service);
  if (it == objects_.end() || it->second.empty()) return kMaxRanks;
  const double ranks = kObjectsPerInstance * static_cast<double>(instances) /
                       static_cast<double>(it->second.size());
  return std::clamp(static_cast<size_t>(ranks), size_t{1}, kMaxRanks);
}

PlacementChoice Placement::Choose(const PlacementRequest& request,
                                  double cold_rate, size_t local_vms,
                                  TimePoint now) {
  const Loads loads = LoadsOf(request.service, now);
  if (!split_.IsInitialized(request.service)) {
    split_.Initialize(request.service, loads.local_slots,
                      loads.local_slots + loads.remote_slots, loads.regions,
                      now);
  }
  if (request.object != 0) objects_[request.service][request.object] = now;
  const double local_load = loads.LocalLoad();
  const double remote_load = loads.RemoteLoad();
  const bool prefers_remote = PrefersRemote(request);
  const ServiceTimeModel::Times times = service_times_.Expected(
      request.route, request.objective, request.object != 0);
  CostEvaluation::Inputs costs = costs_.InputsOf(request, now);
  RefusalDetails details;
  Search search{
      .request = &request,
      .is_local = !prefers_remote,
      .cold_rate = cold_rate,
      .local_vms = local_vms,
      .region_load = prefers_remote ? remote_load : local_load,
      .now = now,
      .times = times,
      .warm_verdict = evidence_.VerdictOn(ClassOf(request, true), now),
      .cold_verdict = evidence_.VerdictOn(ClassOf(request, false), now),
      .details = &details,
      .costs = &costs};
  const RunEvidence::Verdict usual_verdict =
      request.object == 0 ? search.cold_verdict : search.warm_verdict;
  details.is_time_measured = usual_verdict != RunEvidence::Verdict::kUnmeasured;
  std::optional<PlacementChoice> first = FindBest(search);
  // The preferred region meets the objective, so no other is considered.
  if (first && first->expected_total <= request.objective) return *first;
  std::optional<PlacementChoice> second;
  if (prefers_remote || MaySpill(now) || loads.local_slots <= 0) {
    search.is_local = prefers_remote;
    search.region_load = prefers_remote ? local_load : remote_load;
    second = FindBest(search);
  }
  if (second && (!first || (first->is_trial && !second->is_trial) ||
                 second->expected_total * 3 / 2 < first->expected_total))
    first = second;
  if (first) return *first;
  PlacementChoice out;
  out.local_load = local_load;
  out.remote_load = remote_load;
  out.details = details;
  out.reason = loads.local_slots + loads.remote_slots > 0
                   ? PlacementRefusal::kNoCapacity
                   : PlacementRefusal::kNoInstance;
  out.retry_after = RetryAfter(request, out, times.warm, now);
  return out;
}

Duration Placement::RetryAfter(const PlacementRequest& request,
                               const PlacementChoice& refusal,
                               Duration warm_run, TimePoint now) const {
  const auto& rejected = refusal.details.rejected;
  const auto count = [&](RejectionCause cause) -> size_t {
    return rejected[static_cast<size_t>(cause)];
  };
  const size_t closed =
      count(RejectionCause::kWaiting) + count(RejectionCause::kLimited);
  const size_t all =
      std::accumulate(rejected.begin(), rejected.end(), size_t{0}) -
      count(RejectionCause::kLeaving);
  // Capacity becomes free as runs end, so the delay grows with the load.
  const double fullness = std::clamp(refusal.local_load, 0.5, 3.0);
  Duration out = std::clamp(FromSeconds(ToSeconds(warm_run) * fullness),
                            kMinRetryAfter, kMaxRetryAfter);
  if (closed == 0) return out;
  Duration opens_in = Duration::max();
  for (const InstanceState* it : registry_->OfService(request.service)) {
    if (IsUsable(*it, request, now))
      opens_in = std::min(opens_in, notices_->TimeUntilOpen(it->info(), now));
  }
  opens_in = std::max(opens_in, kMinRetryAfter);
  return closed == all ? opens_in : std::min(out, opens_in);
}

void Placement::OnSent(const PlacementRequest& request,
                       const PlacementChoice& choice, double cold_rate,
                       size_t local_vms, TimePoint now) {
  if (choice.instance->IsCold(now)) {
    pacer_.TryAcquire(choice.instance->info().id,
                      PaceOf(*choice.instance, cold_rate, local_vms), now);
  }
  if (now - window_start_ >= kSpillWindow) {
    const bool is_recent = now - window_start_ < 2 * kSpillWindow;
    requests_[1] = is_recent ? requests_[0] : 0;
    spilled_[1] = is_recent ? spilled_[0] : 0;
    requests_[0] = spilled_[0] = 0;
    window_start_ = now;
  }
  if (notices_ != nullptr) notices_->OnSent(choice.instance->info(), now);
  if (choice.is_trial)
    evidence_.OnTrialSent(ClassOf(request, MayBeWarm(request, choice)), now);
  choice.instance->PlanRun({choice.cost,
                            choice.expected_total - choice.expected,
                            choice.instance->machine()->At(now)});
  ++requests_[0];
  split_.OnRequest(request.service, HasLargeResponse(request));
  const bool was_remote = PrefersRemote(request);
  if (was_remote != choice.is_remote) ++spilled_[0];
}

bool Placement::MaySpill(TimePoint) const {
  const double requests = requests_[0] + requests_[1];
  const double limit = settings_.max_shift * kSpillFraction;
  return spilled_[0] < limit * std::max(requests / 2, requests_[0]) + 1;
}

bool Placement::HasLargeResponse(const PlacementRequest& request) const {
  if (request.has_large_responses) return true;
  const auto it = response_bytes_.find(request.route);
  return it != response_bytes_.end() &&
         it->second > RegionSplit::kLargeResponseBytes;
}

bool Placement::PrefersRemote(const PlacementRequest& request) const {
  return split_.IsRemote(request.service, request.object,
                         HasLargeResponse(request));
}

void Placement::OnResponse(const std::string& service, const std::string& route,
                           size_t bytes, Duration run) {
  Duration& mean_run =
      mean_runs_.try_emplace(service, kInitialMeanRun).first->second;
  mean_run += FromSeconds(kMeanRunGain * ToSeconds(run - mean_run));
  double& mean = response_bytes_[route];
  mean += kResponseSizeGain * (static_cast<double>(bytes) - mean);
}

RunReport Placement::OnRunEnded(const PlacementRequest& request,
                                InstanceState* instance,
                                ServiceTimeModel::Warmth warmth,
                                TimePoint started_at, Duration run,
                                TimePoint now) {
  const RunReport out =
      costs_.OnRunEnded(request, instance, warmth, started_at, run, now);
  service_times_.OnResponse(request.route, request.objective, warmth,
                            out.usual);
  evidence_.OnRun({request.service, request.route, out.kind}, now);
  return out;
}

void Placement::OnTrialSucceeded(const PlacementRequest& request) {
  costs_.Forget(request);
  service_times_.Forget(request.route, request.object != 0);
  for (const bool is_warm : {true, false})
    evidence_.Forget(ClassOf(request, is_warm));
}

void Placement::UpdateRegionSplit(
    const std::vector<std::string>& services,
    const std::map<std::string, std::vector<double>>& peer_shares,
    TimePoint now) {
  static const std::vector<double> kNone;
  for (const std::string& service : services) {
    if (!split_.IsInitialized(service)) continue;
    const Loads loads = LoadsOf(service, now);
    const auto peers = peer_shares.find(service);
    split_.OnLoad(service, loads.LocalLoad(), loads.RemoteLoad(),
                  peers == peer_shares.end() ? kNone : peers->second, now);
  }
  evidence_.RemoveExpired(now);
  for (auto& [service, seen] : objects_) {
    std::erase_if(seen, [&](const auto& it) {
      return now - it.second > kObjectRetention;
    });
  }
}

}  // namespace rwf
