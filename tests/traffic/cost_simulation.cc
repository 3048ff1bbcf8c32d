#include "traffic/cost_simulation.h"

#include <algorithm>
#include <deque>
#include <list>
#include <numeric>
#include <queue>

#include "base/hash.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTimeout = std::chrono::seconds(4);
constexpr double kStep = 0.01;  // seconds in which a machine keeps its speed
constexpr size_t kQueueLimit = 27;
constexpr size_t kCacheSize = 24;

struct Run {
  size_t vm = 0;
  size_t kind = 0;
  uint64_t id = 0;
  uint64_t object = 0;
  double seconds = 0;  // with a warm object
  TimePoint arrived{};
  bool is_counted = false;
  PlacementRequest request;
  PlacementChoice choice;
};

struct Server {
  std::vector<double> free_at;  // by slot, in seconds
  std::deque<Run> queue;
  std::list<uint64_t> cache;
  size_t running = 0;
};

struct Vm {
  InstanceRegistry registry;
  std::unique_ptr<Placement> placement;
  CostEvaluation costs{0};  // of the policies without a Placement
};

struct Completion {
  double at = 0;
  size_t server = 0;
  size_t slot = 0;
  Run run;
  bool operator<(const Completion& other) const { return at > other.at; }
};

class Simulation {
 public:
  Simulation(const LoadPattern& pattern, TestPolicy policy, unsigned seed)
      : pattern_(pattern), policy_(policy), random_(seed) {
    servers_.resize(pattern.instances);
    for (Server& it : servers_) it.free_at.resize(pattern.slots);
    for (size_t n = 0; n < pattern.vms; ++n) {
      vms_.push_back(std::make_unique<Vm>());
      for (size_t i = 0; i < pattern.instances; ++i)
        vms_[n]->registry.Put(Info(i), kStart);
      vms_[n]->placement = std::make_unique<Placement>(
          PlacementSettings{.region = "home",
                            .pacing_seed = Hash64(std::to_string(n)),
                            .is_cost_aware = policy != TestPolicy::kToday},
          &vms_[n]->registry);
    }
  }

  LoadResult Play(double seconds) {
    std::vector<double> weights;
    double mean = 0;
    for (const auto& it : pattern_.kinds) weights.push_back(it.weight);
    const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (const auto& it : pattern_.kinds) mean += it.seconds * it.weight / all;
    mean *= 1 + pattern_.long_fraction * (LoadPattern::kLongRatio - 1);
    const auto slots = static_cast<double>(pattern_.instances * pattern_.slots);
    std::exponential_distribution<double> gap(pattern_.load * slots / mean);
    std::discrete_distribution<size_t> kind(weights.begin(), weights.end());
    std::bernoulli_distribution is_long(pattern_.long_fraction);
    double exchanged_at = 0;
    for (double t = gap(random_); t < seconds; t += gap(random_)) {
      FinishUntil(t);
      now_ = t;
      if (t - exchanged_at >= pattern_.peer_period) {
        ExchangeLoads();
        exchanged_at = t;
      }
      Run run;
      run.kind = kind(random_);
      const LoadPattern::Kind& it = pattern_.kinds[run.kind];
      run.vm = random_() % vms_.size();
      run.id = ++last_id_;
      if (it.objects > 0) {
        run.object = Hash64(it.route + std::to_string(random_() % it.objects));
      }
      run.seconds =
          it.seconds * (is_long(random_) ? LoadPattern::kLongRatio : 1);
      run.arrived = Now();
      run.is_counted = t > seconds / 4;
      Arrive(std::move(run));
    }
    const Vm& first = *vms_.front();
    result_.share_within = first.placement->costs().ShareWithinUpper(
        "s", pattern_.kinds.front().route);
    FinishUntil(seconds + ToSeconds(kTimeout));
    return result_;
  }

 private:
  InstanceInfo Info(size_t n) const {
    InstanceInfo out;
    out.id = "i" + std::to_string(n);
    out.service = "s";
    out.address = "10.0.0.1";
    out.port = static_cast<uint16_t>(1000 + n);
    out.zone = "home-a";
    out.region = "home";
    out.slots = static_cast<int64_t>(pattern_.slots);
    return out;
  }
  TimePoint Now() const { return kStart + FromSeconds(now_); }
  double Cost(const Server& server, const Run& run) const {
    const bool is_cold =
        run.object != 0 && std::find(server.cache.begin(), server.cache.end(),
                                     run.object) == server.cache.end();
    return run.seconds * (is_cold ? LoadPattern::kColdRatio : 1);
  }
  double EndOf(size_t server, double at, double cost) const {
    if (!pattern_.factor) return at + cost;
    for (;; at += kStep) {
      const double factor = pattern_.factor(server, at);
      if (cost <= kStep / factor) return at + cost * factor;
      cost -= kStep / factor;
    }
  }

  void ExchangeLoads() {
    for (size_t n = 0; n < vms_.size(); ++n) {
      RegionLoads others;
      for (size_t peer = 0; peer < vms_.size(); ++peer) {
        if (peer == n) continue;
        for (const auto& [key, load] : vms_[peer]->placement->OwnLoads())
          others[key] += load;
      }
      vms_[n]->placement->SetPeerLoads(others, Now());
    }
  }

  size_t ServerOf(const InstanceState& it) const {
    return std::stoul(it.info().id.substr(1));
  }
  // Returns the server on which the run ends first.
  size_t ReferenceChoice(const Run& run) const {
    size_t best = 0;
    double best_end = 1e9;
    for (size_t n = 0; n < servers_.size(); ++n) {
      std::vector<double> free_at = servers_[n].free_at;
      for (double& it : free_at) it = std::max(it, now_);
      for (const Run& queued : servers_[n].queue) {
        const auto first = std::min_element(free_at.begin(), free_at.end());
        *first = EndOf(n, *first, Cost(servers_[n], queued));
      }
      const double end =
          EndOf(n, *std::min_element(free_at.begin(), free_at.end()),
                Cost(servers_[n], run));
      if (end >= best_end) continue;
      best_end = end;
      best = n;
    }
    return best;
  }
  // Evaluates the instance as the cost-aware placement does.
  PlacementChoice Evaluate(InstanceState* it, CostEvaluation::Inputs* inputs,
                           const Run& run) const {
    PlacementChoice out;
    out.instance = it;
    out.is_warm = run.object != 0 && it->IsWarmFor(run.object, Now());
    out.cost = inputs->CostOf(out.is_warm);
    CostEvaluation::Evaluate(inputs, out.is_warm, 1, Duration::zero(), Now(),
                             &out);
    return out;
  }
  PlacementChoice AlternativeChoice(Vm* vm, const Run& run) {
    CostEvaluation::Inputs inputs = vm->costs.InputsOf(run.request, Now());
    std::vector<InstanceState*> all = vm->registry.OfService("s");
    std::shuffle(all.begin(), all.end(), random_);
    if (policy_ == TestPolicy::kTwoChoices) all.resize(2);
    PlacementChoice best;
    double best_cost = 1e9;
    for (InstanceState* it : all) {
      const PlacementChoice choice = Evaluate(it, &inputs, run);
      double cost = ToSeconds(choice.expected_total);
      if (policy_ == TestPolicy::kLeastWork)
        cost = ToSeconds(choice.expected_total - choice.expected);
      if (policy_ == TestPolicy::kFewestRequests) cost = it->LoadAt(Now());
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = choice;
    }
    return best;
  }

  void Arrive(Run run) {
    Vm* vm = vms_[run.vm].get();
    const LoadPattern::Kind& kind = pattern_.kinds[run.kind];
    run.request.service = "s";
    run.request.route = kind.route;
    run.request.object = run.object;
    run.request.objective = kind.objective;
    run.request.time_left = kTimeout;
    if (run.is_counted) ++result_.requested;
    size_t server = 0;
    if (policy_ == TestPolicy::kReference) {
      server = ReferenceChoice(run);
    } else {
      const bool has_placement =
          policy_ == TestPolicy::kToday || policy_ == TestPolicy::kCostAware;
      run.choice = has_placement ? vm->placement->Choose(run.request, 0,
                                                         vms_.size(), Now())
                                 : AlternativeChoice(vm, run);
      if (run.choice.instance == nullptr) {
        result_.refused += run.is_counted ? 1 : 0;
        return;
      }
      vm->placement->OnSent(run.request, run.choice, 0, vms_.size(), Now());
      run.choice.instance->OnSent(run.id, run.object,
                                  run.choice.healthy_latency, Now());
      server = ServerOf(*run.choice.instance);
      result_.choices = Hash64(run.choice.instance->info().id, result_.choices);
    }
    Server& it = servers_[server];
    if (it.queue.size() >= kQueueLimit) {
      if (run.choice.instance != nullptr)
        run.choice.instance->OnEnded(run.id, AttemptOutcome::kShed, Now());
      return;
    }
    it.queue.push_back(std::move(run));
    StartRuns(server);
  }

  void StartRuns(size_t server) {
    Server& it = servers_[server];
    while (!it.queue.empty() && it.running < pattern_.slots) {
      const size_t slot = static_cast<size_t>(
          std::min_element(it.free_at.begin(), it.free_at.end()) -
          it.free_at.begin());
      Run run = std::move(it.queue.front());
      it.queue.pop_front();
      const double end = EndOf(server, now_, Cost(it, run));
      it.free_at[slot] = end;
      ++it.running;
      if (run.object != 0) {
        it.cache.remove(run.object);
        it.cache.push_front(run.object);
        if (it.cache.size() > kCacheSize) it.cache.pop_back();
      }
      completions_.push({end, server, slot, std::move(run)});
    }
  }

  void FinishUntil(double t) {
    while (!completions_.empty() && completions_.top().at <= t) {
      const Completion done = completions_.top();
      completions_.pop();
      now_ = done.at;
      --servers_[done.server].running;
      Finish(done);
      StartRuns(done.server);
    }
  }

  void Finish(const Completion& done) {
    const Run& run = done.run;
    const Duration took = Now() - run.arrived;
    if (run.is_counted && took <= pattern_.kinds[run.kind].objective)
      ++result_.in_time;
    InstanceState* it = run.choice.instance;
    if (it == nullptr) return;
    const bool is_late = took > kTimeout;
    it->OnEnded(
        run.id,
        is_late ? AttemptOutcome::kTimedOut : AttemptOutcome::kSucceeded,
        Now());
    if (is_late) return;
    const Server& server = servers_[done.server];
    it->OnReport(static_cast<int64_t>(server.running),
                 static_cast<int64_t>(server.queue.size()), Now());
    if (pattern_.reported)
      it->machine()->OnReport(pattern_.reported(done.server, now_), Now());
    const Duration time =
        took - (run.choice.expected_total - run.choice.expected);
    const auto warmth = run.object == 0 ? ServiceTimeModel::Warmth::kNoObject
                        : run.choice.is_warm
                            ? ServiceTimeModel::Warmth::kWarm
                            : ServiceTimeModel::Warmth::kUncertain;
    Vm* vm = vms_[run.vm].get();
    vm->placement->OnResponse("s", run.request.route, 1000, time);
    vm->placement->OnRunEnded(run.request, it, warmth, run.arrived, time,
                              Now());
    vm->costs.OnRunEnded(run.request, it, warmth, run.arrived, time, Now());
  }

  const LoadPattern& pattern_;
  TestPolicy policy_;
  std::mt19937 random_;
  double now_ = 0;
  uint64_t last_id_ = 0;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<Server> servers_;
  std::priority_queue<Completion> completions_;
  LoadResult result_;
};

}  // namespace

LoadResult Play(const LoadPattern& pattern, TestPolicy policy, double seconds,
                unsigned seed) {
  return Simulation(pattern, policy, seed).Play(seconds);
}

}  // namespace rwf
