#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/crash_watch.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct CrashFleetOptions {
  uint64_t seed = 1;
  int vms = 7;
  double requests_per_s = 20;  // of each VM
  int copies = 2;              // of the crashing requests in each burst
  int crashing_requests = 2;
  bool kills_instances = false;  // a third at a time
  bool restarts_vms = false;
  double lost_fraction = 0.01;  // of the responses, at instances that go on
};

struct CrashFleetResult {
  int max_crashes = 0;    // of one crashing request
  int max_late_runs = 0;  // later than 3 s after its third crash
  int harmless = 0;
  int refused_harmless = 0;
};

// A fleet of VMs whose instances run harmless requests, popular and single
// ones, and requests that crash them and are sent again in bursts.
class CrashFleet {
 public:
  explicit CrashFleet(const CrashFleetOptions& options)
      : options_(options), rng_(options.seed), instances_(options.vms * 5) {
    for (int n = 0; n < options.vms; ++n) watches_.push_back(NewWatch(n));
    for (int n = 0; n < options.crashing_requests; ++n)
      crashing_.push_back({Sha256("crash " + std::to_string(n))});
  }

  CrashFleetResult Run() {
    for (int vm = 0; vm < options_.vms; ++vm) SendHarmlessLater(vm);
    for (size_t n = 0; n < crashing_.size(); ++n)
      At(milliseconds(4000 + rng_(9000)), [this, n] { SendBurst(n); });
    if (options_.kills_instances)
      At(milliseconds(3000 + rng_(3000)), [this] { KillInstances(); });
    if (options_.restarts_vms)
      At(milliseconds(6000 + rng_(3000)), [this] { RestartVm(); });
    At(kTickInterval, [this] { Tick(); });
    while (!events_.empty() && events_.top().at < TimePoint(kLength)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    for (const Crashing& it : crashing_) {
      result_.max_crashes =
          std::max(result_.max_crashes, static_cast<int>(it.crashes.size()));
      result_.max_late_runs = std::max(result_.max_late_runs, it.late_runs);
    }
    return result_;
  }

 private:
  static constexpr Duration kLength = seconds(40);
  static constexpr Duration kTickInterval = milliseconds(150);
  static constexpr Duration kProbeDelay = milliseconds(50);
  static constexpr int kPopular = 30;
  static constexpr size_t kMaxRuns = 6;  // of one instance

  struct RunState {
    uint64_t id;
    int vm;
    Digest fingerprint;
    TimePoint sent_at;
  };
  struct Instance {
    int process = 0;
    bool is_up = true;
    std::vector<RunState> runs;
  };
  struct Crashing {
    Digest fingerprint;
    std::vector<TimePoint> crashes = {};
    int late_runs = 0;
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, order_++, std::move(run)});
  }
  Duration NetworkDelay() { return std::chrono::microseconds(rng_(20'000)); }
  std::string Name(size_t instance) const {
    return ProcessName("i" + std::to_string(instance),
                       instances_[instance].process);
  }

  std::unique_ptr<CrashWatch> NewWatch(int vm) {
    auto out = std::make_unique<CrashWatch>();
    out->signal_suspicion.connect([this, vm](const wire::CrashSuspicionT& it) {
      for (int peer = 0; peer < options_.vms; ++peer) {
        if (peer == vm) continue;
        At(NetworkDelay(),
           [this, peer, it] { watches_[peer]->OnMessage(it, now_); });
      }
    });
    return out;
  }

  void Tick() {
    for (const auto& it : watches_) it->Tick(now_);
    At(kTickInterval, [this] { Tick(); });
  }

  // Returns the number of instances if none is free.
  size_t Choose() {
    const size_t start = rng_(static_cast<uint32_t>(instances_.size()));
    for (size_t n = 0; n < instances_.size(); ++n) {
      const size_t instance = (start + n) % instances_.size();
      const Instance& it = instances_[instance];
      if (it.is_up && it.runs.size() < kMaxRuns) return instance;
    }
    return instances_.size();
  }

  void SendHarmlessLater(int vm) {
    const double wait_s =
        -std::log(1 - rng_(1'000'000) / 1e6) / options_.requests_per_s;
    At(std::chrono::microseconds(static_cast<int64_t>(wait_s * 1e6)),
       [this, vm] {
         SendHarmless(vm);
         SendHarmlessLater(vm);
       });
  }
  void SendHarmless(int vm) {
    const bool is_popular = rng_(10) < 3;
    // The square makes some of them far more popular than others.
    const uint32_t n = rng_(kPopular);
    const std::string name = is_popular ? std::to_string(n * n / kPopular)
                                        : "single" + std::to_string(order_);
    const Digest fingerprint = Sha256(name);
    ++result_.harmless;
    if (watches_[vm]->IsBlocked(fingerprint, now_)) {
      ++result_.refused_harmless;
      return;
    }
    const size_t instance = Choose();
    if (instance == instances_.size()) return;
    const uint64_t id = order_;
    instances_[instance].runs.push_back({id, vm, fingerprint, now_});
    At(milliseconds(100 + rng_(900)),
       [this, instance, id] { Finish(instance, id); });
  }
  void Finish(size_t instance, uint64_t id) {
    std::vector<RunState>& runs = instances_[instance].runs;
    const auto it = std::find_if(runs.begin(), runs.end(),
                                 [&](const RunState& a) { return a.id == id; });
    if (it == runs.end()) return;  // the instance has ended
    const RunState run = *it;
    runs.erase(it);
    CrashWatch& watch = *watches_[run.vm];
    const bool is_lost = rng_(10'000) < options_.lost_fraction * 10'000;
    if (!is_lost) watch.OnInstanceResponded(Name(instance), run.sent_at, now_);
    watch.OnRunEnded(Name(instance), run.fingerprint, run.sent_at, !is_lost,
                     is_lost, now_);
  }

  void SendBurst(size_t request) {
    const uint32_t vm = rng_(static_cast<uint32_t>(options_.vms));
    const bool at_one_vm = rng_(2) == 0;
    for (int n = 0; n < options_.copies; ++n) {
      const uint32_t to =
          at_one_vm ? vm : rng_(static_cast<uint32_t>(options_.vms));
      At(milliseconds(rng_(300)), [this, request, to] {
        RunCrashing(request, static_cast<int>(to), 2);
      });
    }
    At(milliseconds(1000 + rng_(3000)),
       [this, request] { SendBurst(request); });
  }
  void RunCrashing(size_t request, int vm, int attempts) {
    Crashing& crashing = crashing_[request];
    if (watches_[vm]->IsBlocked(crashing.fingerprint, now_)) return;
    const size_t instance = Choose();
    if (instance == instances_.size()) return;
    const std::vector<TimePoint>& crashes = crashing.crashes;
    if (crashes.size() >= 3 && now_ > crashes[2] + seconds(3))
      ++crashing.late_runs;
    instances_[instance].runs.push_back(
        {order_, vm, crashing.fingerprint, now_});
    At(milliseconds(20 + rng_(60)), [this, request, vm, attempts, instance,
                                     process = instances_[instance].process] {
      Instance& it = instances_[instance];
      if (it.is_up && it.process == process) {
        crashing_[request].crashes.push_back(now_);
        End(instance);
      }
      if (attempts > 1) {
        At(milliseconds(25), [this, request, vm, attempts] {
          RunCrashing(request, vm, attempts - 1);
        });
      }
    });
  }

  // Ends the instance; all its connections close.
  void End(size_t instance) {
    Instance& it = instances_[instance];
    const std::string name = Name(instance);
    it.is_up = false;
    std::set<int> vms;
    for (const RunState& run : std::exchange(it.runs, {})) {
      vms.insert(run.vm);
      At(NetworkDelay(), [this, run, name] {
        watches_[run.vm]->OnRunEnded(name, run.fingerprint, run.sent_at, false,
                                     true, now_);
      });
    }
    for (const int vm : vms) {
      At(kProbeDelay + NetworkDelay() * 2,
         [this, vm, name] { watches_[vm]->OnInstanceEnded(name, now_); });
    }
    At(milliseconds(2000 + rng_(2000)), [this, instance] {
      ++instances_[instance].process;
      instances_[instance].is_up = true;
    });
  }
  void KillInstances() {
    for (size_t n = 0; n < instances_.size(); ++n) {
      if (instances_[n].is_up && rng_(3) == 0) End(n);
    }
    At(milliseconds(4000 + rng_(6000)), [this] { KillInstances(); });
  }
  void RestartVm() {
    const int vm = static_cast<int>(rng_(static_cast<uint32_t>(options_.vms)));
    watches_[vm] = NewWatch(vm);
    for (int peer = 0; peer < options_.vms; ++peer) {
      if (peer == vm) continue;
      for (const wire::CrashSuspicionT& it :
           watches_[peer]->MessagesForNewLink(now_))
        watches_[vm]->OnMessage(it, now_);
    }
    At(milliseconds(3000 + rng_(3000)), [this] { RestartVm(); });
  }

  const CrashFleetOptions options_;
  pcg32 rng_;
  std::vector<std::unique_ptr<CrashWatch>> watches_;
  std::vector<Instance> instances_;
  std::vector<Crashing> crashing_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_{};
  CrashFleetResult result_;
};

// Guards against requests that crash instances without end, and against
// refusing others for the crashes, at each size of the fleet, with instances
// and VMs that end for other reasons
// (docs/incidents/budget-of-crashing-requests.md).
TEST_CASE("Fleet, crashing requests among others, are stopped alone") {
  // More seeds for runs by hand.
  const char* extra = std::getenv("RWF_CRASH_FLEET_SEEDS");
  const uint64_t seeds =
      extra == nullptr ? 10 : std::strtoull(extra, nullptr, 10);
  struct Row {
    int vms;
    uint64_t seeds;
  };
  for (const Row& row :
       {Row{3, seeds}, Row{7, seeds}, Row{28, 3}, Row{118, 1}}) {
    for (uint64_t seed = 1; seed <= row.seeds; ++seed) {
      for (const int copies : {1, 2, 8}) {
        for (const bool has_trouble : {false, true}) {
          CAPTURE(row.vms);
          CAPTURE(seed);
          CAPTURE(copies);
          CAPTURE(has_trouble);
          CrashFleetOptions options;
          options.seed = seed;
          options.vms = row.vms;
          options.copies = copies;
          options.kills_instances = options.restarts_vms = has_trouble;
          const CrashFleetResult result = CrashFleet(options).Run();
          CHECK(result.max_late_runs <= 3);
          CHECK(result.refused_harmless * 1000 <= result.harmless);
        }
      }
    }
  }
}

}  // namespace
}  // namespace rwf
