#include "traffic/placement.h"

#include <algorithm>
#include <limits>
#include <set>

#include "base/hash.h"

namespace rwf {
namespace {

// Bounds of the time after which a refused caller may find room.
constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
constexpr Duration kLongestReturn = std::chrono::milliseconds(1200);
// An answer must be expected this long before the caller gives up.
constexpr Duration kMargin = std::chrono::milliseconds(60);

// An instance that has just started takes this much longer than a cold run.
constexpr double kColdInstanceFactor = 2;
// Cost of an instance behind the preferred ones, as a part of a cold run's
// cost: objects should not wander over all instances.
constexpr double kLateRankCost = 0.2;
// Seconds by which a full instance looks worse than an empty one.
constexpr double kLoadCost = 0.01;

uint64_t ScoreOf(uint64_t object, const std::string& instance) {
  return Hash64(instance, object);
}

double LoadLimit(int priority) {
  const size_t n =
      std::clamp<size_t>(static_cast<size_t>(std::max(0, priority)), 0,
                         std::size(Placement::kLoadLimits) - 1);
  return Placement::kLoadLimits[n];
}

}  // namespace

Placement::Placement(PlacementSettings settings, InstanceBoard* board)
    : settings_(std::move(settings)),
      board_(board),
      split_(settings_.max_shift) {}

bool Placement::IsUsable(const InstanceState& it,
                         const PlacementRequest& request, TimePoint) const {
  const InstanceInfo& info = it.info();
  if (info.is_draining || board_->IsEvacuated(info.zone)) return false;
  if (!request.regions.Allows(info.region)) return false;
  return std::find(request.tried.begin(), request.tried.end(), info.id) ==
         request.tried.end();
}

std::vector<Placement::Candidate> Placement::Ranked(
    const PlacementRequest& request, bool home, TimePoint now) const {
  std::vector<Candidate> out;
  for (InstanceState* it : board_->OfService(request.service)) {
    if ((it->info().region == settings_.region) != home) continue;
    if (!IsUsable(*it, request, now)) continue;
    out.push_back({it, ScoreOf(request.object, it->info().id)});
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return a.score > b.score;
  });
  return out;
}

PlacementChoice Placement::Rate(const PlacementRequest& request,
                                const Candidate& candidate, size_t rank,
                                bool home, TimePoint now) const {
  InstanceState* it = candidate.it;
  const WorkModel::Times times =
      work_.Expected(request.route, request.objective);
  PlacementChoice out;
  out.instance = it;
  out.rank = rank;
  out.is_away = !home;
  out.is_warm = request.object != 0 && it->IsWarmFor(request.object, now);
  // The first in an object's order is where other VMs send it, too.
  const bool may_be_warm = out.is_warm || (request.object != 0 && rank == 0);
  const double slowness = it->SlownessAt(now);
  double run = ToSeconds(may_be_warm ? times.warm : times.cold) * slowness;
  double longest = ToSeconds(out.is_warm ? times.warm : times.cold);
  if (it->IsCold(now)) {
    run = ToSeconds(times.cold) * kColdInstanceFactor;
    longest = run;
  }
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, it->info().slots));
  const double waiting = std::max(0.0, it->LoadAt(now) + 1 - slots) / slots;
  // Those ahead in its queue are mostly warm runs.
  const double turn =
      (ToSeconds(times.warm) * 2 + ToSeconds(times.cold)) / 3 * slowness;
  const Duration network = home ? Duration::zero() : settings_.cross_region_rtt;
  out.expected = FromSeconds(run);
  out.expected_total = FromSeconds(run + waiting * turn) + network;
  out.patience = FromSeconds(longest + waiting * turn / slowness) + network;
  return out;
}

std::optional<PlacementChoice> Placement::Best(const PlacementRequest& request,
                                               bool home, double cold_rate,
                                               size_t home_users,
                                               TimePoint now) const {
  const std::vector<Candidate> ranked = Ranked(request, home, now);
  const WorkModel::Times times =
      work_.Expected(request.route, request.objective);
  const double additional = ToSeconds(times.cold - times.warm) * kColdCost;
  std::optional<PlacementChoice> best;
  double best_cost = std::numeric_limits<double>::max();
  // Without an object all instances are alike; ejected ones are taken only
  // when there are no others.
  for (const bool takes_ejected : {false, true}) {
    for (size_t rank = 0; rank < ranked.size(); ++rank) {
      InstanceState* it = ranked[rank].it;
      if (it->IsEjected(now) != takes_ejected) continue;
      if (it->IsCold(now) &&
          !pacer_.CanTake(it->info().id, cold_rate, home_users, now))
        continue;
      PlacementChoice choice = Rate(request, ranked[rank], rank, home, now);
      const auto slots =
          static_cast<double>(std::max<int64_t>(1, it->info().slots));
      if (it->LoadAt(now) + 1 > slots * LoadLimit(request.priority)) continue;
      if (it->IsFull(now) && it->LoadAt(now) >= slots) continue;
      double cost = ToSeconds(choice.expected_total);
      if (!choice.is_warm && rank > 0) cost += additional;
      if (rank >= kPreferred) cost += additional * kLateRankCost;
      // Among equals the one with more free slots.
      cost += kLoadCost * it->LoadAt(now) / slots;
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = choice;
    }
    if (best) return best;
  }
  return best;
}

PlacementChoice Placement::Choose(const PlacementRequest& request,
                                  double cold_rate, size_t home_users,
                                  TimePoint now) {
  if (!split_.HasBegun(request.service)) {
    const Loads loads = LoadsOf(request.service, now);
    split_.Begin(request.service, loads.home_slots,
                 loads.home_slots + loads.away_slots, loads.regions, now);
  }
  const bool prefers_away = split_.IsAway(request.service, request.object);
  std::optional<PlacementChoice> first =
      Best(request, !prefers_away, cold_rate, home_users, now);
  const Duration limit = request.time_left - kMargin;
  // In time where the object belongs: no reason to look elsewhere.
  if (first && first->expected_total <= std::min(limit, request.objective))
    return *first;
  std::optional<PlacementChoice> second;
  if (!first || prefers_away || MaySpill(now))
    second = Best(request, prefers_away, cold_rate, home_users, now);
  if (second &&
      (!first || second->expected_total * 3 / 2 < first->expected_total))
    first = second;
  const bool is_learned =
      work_.Expected(request.route, request.objective).is_learned;
  if (first && (first->expected_total <= limit || !is_learned)) return *first;
  PlacementChoice out;
  const Loads loads = LoadsOf(request.service, now);
  if (loads.home_slots > 0) out.home_load = loads.home_load / loads.home_slots;
  if (loads.away_slots > 0) out.away_load = loads.away_load / loads.away_slots;
  if (first) out.best_total = first->expected_total;
  out.reason = loads.home_slots + loads.away_slots > 0 ? NoPlace::kNoRoom
                                                       : NoPlace::kNoInstance;
  const WorkModel::Times times =
      work_.Expected(request.route, request.objective);
  out.retry_after = std::clamp(times.warm, kShortestReturn, kLongestReturn);
  return out;
}

void Placement::OnSent(const PlacementRequest& request,
                       const PlacementChoice& choice, double cold_rate,
                       size_t home_users, TimePoint now) {
  if (choice.instance->IsCold(now)) {
    pacer_.TryTake(choice.instance->info().id, cold_rate, home_users, now);
  }
  if (now - window_start_ >= kSpillWindow) {
    const bool is_recent = now - window_start_ < 2 * kSpillWindow;
    requests_[1] = is_recent ? requests_[0] : 0;
    spilled_[1] = is_recent ? spilled_[0] : 0;
    requests_[0] = spilled_[0] = 0;
    window_start_ = now;
  }
  ++requests_[0];
  const bool was_away = split_.IsAway(request.service, request.object);
  if (was_away != choice.is_away) ++spilled_[0];
}

bool Placement::MaySpill(TimePoint) const {
  const double requests = requests_[0] + requests_[1];
  const double limit = settings_.max_shift * kSpillPart;
  return spilled_[0] < limit * std::max(requests / 2, requests_[0]) + 1;
}

Placement::Loads Placement::LoadsOf(const std::string& service,
                                    TimePoint now) const {
  Loads out;
  std::set<std::string> regions;
  for (const InstanceState* it : board_->OfService(service)) {
    if (it->info().is_draining || board_->IsEvacuated(it->info().zone))
      continue;
    regions.insert(it->info().region);
    const bool is_home = it->info().region == settings_.region;
    (is_home ? out.home_load : out.away_load) += it->LoadAt(now);
    (is_home ? out.home_slots : out.away_slots) +=
        static_cast<double>(it->info().slots);
  }
  out.regions = regions.size();
  return out;
}

void Placement::Tick(const std::vector<std::string>& services, TimePoint now) {
  for (const std::string& service : services) {
    if (!split_.HasBegun(service)) continue;
    const Loads loads = LoadsOf(service, now);
    const double home =
        loads.home_slots > 0 ? loads.home_load / loads.home_slots : 10;
    const double away =
        loads.away_slots > 0 ? loads.away_load / loads.away_slots : 10;
    split_.OnLoad(service, home, away, now);
  }
}

}  // namespace rwf
