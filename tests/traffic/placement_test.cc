#include "traffic/placement.h"

#include <doctest/doctest.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "base/hash.h"
#include "traffic/notices.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kObjective = std::chrono::milliseconds(600);
constexpr Duration kCold = std::chrono::milliseconds(880);
constexpr Duration kWarm = std::chrono::milliseconds(264);
constexpr Duration kTimeout = std::chrono::milliseconds(2500);
constexpr Duration kExchangePeriod = std::chrono::milliseconds(200);

InstanceInfo Instance(int n, const std::string& region, int64_t slots = 6) {
  InstanceInfo out;
  out.id = "i" + std::to_string(n);
  out.service = "s";
  out.address = "10.0.0.1";
  out.port = static_cast<uint16_t>(1000 + n);
  out.zone = region + "-a";
  out.region = region;
  out.slots = slots;
  return out;
}

PlacementRequest Request(uint64_t object) {
  PlacementRequest out;
  out.service = "s";
  out.route = "r";
  out.object = object;
  out.objective = kObjective;
  out.time_left = kTimeout;
  out.priority = 2;
  return out;
}

// Simulates a region of instances with slots, a queue and a cache of objects.
// Several VMs use it and only exchange their loads.
class RegionSim {
 public:
  struct Outcome {
    int requested = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;  // no response before the timeout
    int served() const { return in_time + late; }
  };
  // Chooses an instance or returns null.
  using Policy = std::function<InstanceState*(
      size_t vm, const PlacementRequest&, TimePoint now, PlacementChoice*)>;

  RegionSim(size_t vms, int instances, size_t cache_size)
      : cache_size_(cache_size), random_(11) {
    for (size_t n = 0; n < vms; ++n) {
      registries_.push_back(std::make_unique<InstanceRegistry>());
      for (int i = 0; i < instances; ++i)
        registries_.back()->Put(Instance(i, "home"), kStart);
      placements_.push_back(std::make_unique<Placement>(
          PlacementSettings{"home"}, registries_.back().get()));
    }
    for (int i = 0; i < instances; ++i) servers_["i" + std::to_string(i)] = {};
  }

  // Adds requests without an object, on a route of their own, to each run.
  void AddRequestsWithoutObject(double fraction, Duration run) {
    fraction_without_object_ = fraction;
    run_without_object_ = run;
  }
  const Outcome& without_object() const { return without_object_; }

  Outcome Run(Duration time, double per_second, int objects, bool naive) {
    Outcome out;
    without_object_ = {};
    std::bernoulli_distribution lacks_object(fraction_without_object_);
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<int> object(1, objects);
    const TimePoint end = now_ + time;
    TimePoint next = now_ + FromSeconds(gap(random_));
    while (next < end) {
      Finish(next, &out);
      now_ = next;
      ExchangeLoads();
      next += FromSeconds(gap(random_));
      const bool has_object =
          fraction_without_object_ == 0 || !lacks_object(random_);
      Outcome& it = has_object ? out : without_object_;
      ++it.requested;
      Arrive(has_object ? Hash64(std::to_string(object(random_))) | 1 : 0,
             naive, &it);
    }
    Finish(end, &out);
    now_ = end;
    return out;
  }

 private:
  struct Job {
    size_t vm = 0;
    uint64_t attempt = 0;
    uint64_t object = 0;
    TimePoint arrived{};
    bool is_warm = false;
    Duration waiting{};
  };
  struct Server {
    int running = 0;
    std::deque<Job> queue;
    std::list<uint64_t> warm;  // most recent first
  };
  struct Completion {
    TimePoint at{};
    std::string instance;
    Job job;
    bool operator<(const Completion& other) const { return at > other.at; }
  };

  static constexpr const char* kRouteWithoutObjects = "plain";

  // Every VM reports its requests in flight to its peers a few times per
  // second.
  void ExchangeLoads() {
    if (now_ - exchanged_at_ < kExchangePeriod) return;
    exchanged_at_ = now_;
    for (size_t vm = 0; vm < placements_.size(); ++vm) {
      RegionLoads others;
      for (size_t peer = 0; peer < placements_.size(); ++peer) {
        if (peer == vm) continue;
        for (const auto& [key, n] : placements_[peer]->OwnLoads())
          others[key] += n;
      }
      placements_[vm]->SetPeerLoads(others, now_);
    }
  }

  void Arrive(uint64_t object, bool naive, Outcome* out) {
    const size_t vm = next_attempt_ % registries_.size();
    PlacementRequest request = Request(object);
    if (object == 0) request.route = kRouteWithoutObjects;
    Job job{vm, next_attempt_++, object, now_, false, {}};
    InstanceState* it = nullptr;
    if (naive) {
      // Least loaded instance, regardless of its cached objects.
      for (InstanceState* s : registries_[vm]->OfService("s")) {
        if (it == nullptr || s->LoadAt(now_) < it->LoadAt(now_)) it = s;
      }
      it->OnSent(job.attempt, object, kCold, now_);
    } else {
      const PlacementChoice choice =
          placements_[vm]->Choose(request, 0, registries_.size(), now_);
      if (choice.instance == nullptr) {
        ++out->refused;
        return;
      }
      placements_[vm]->OnSent(request, choice, 0, registries_.size(), now_);
      it = choice.instance;
      job.is_warm = choice.is_warm;
      job.waiting = choice.expected_total - choice.expected;
      it->OnSent(job.attempt, object, choice.healthy_latency, now_);
    }
    servers_[it->info().id].queue.push_back(job);
    Start(it->info().id);
  }

  void Start(const std::string& id) {
    Server& server = servers_[id];
    while (server.running < 6 && !server.queue.empty()) {
      const Job job = server.queue.front();
      server.queue.pop_front();
      ++server.running;
      const auto warm =
          std::find(server.warm.begin(), server.warm.end(), job.object);
      if (job.object == 0) {
        completions_.push({now_ + run_without_object_, id, job});
        continue;
      }
      const bool is_warm = warm != server.warm.end();
      if (is_warm) server.warm.erase(warm);
      server.warm.push_front(job.object);
      if (server.warm.size() > cache_size_) server.warm.pop_back();
      completions_.push({now_ + (is_warm ? kWarm : kCold), id, job});
    }
  }

  ServiceTimeModel::Warmth WarmthOf(const Job& job) const {
    if (job.object == 0) return ServiceTimeModel::Warmth::kNoObject;
    return job.is_warm ? ServiceTimeModel::Warmth::kWarm
                       : ServiceTimeModel::Warmth::kUncertain;
  }

  void Finish(TimePoint until, Outcome* with_object) {
    while (!completions_.empty() && completions_.top().at <= until) {
      const Completion end = completions_.top();
      Outcome* out = end.job.object == 0 ? &without_object_ : with_object;
      completions_.pop();
      now_ = end.at;
      Server& server = servers_[end.instance];
      --server.running;
      Start(end.instance);
      const Duration took = now_ - end.job.arrived;
      InstanceState* state = registries_[end.job.vm]->Find(end.instance);
      state->OnEnded(end.job.attempt, AttemptOutcome::kSucceeded, now_);
      state->OnReport(server.running, static_cast<int64_t>(server.queue.size()),
                      now_);
      placements_[end.job.vm]->service_times()->OnResponse(
          end.job.object == 0 ? kRouteWithoutObjects : "r", kObjective,
          WarmthOf(end.job), took - end.job.waiting);
      if (took <= kObjective) {
        ++out->in_time;
      } else if (took <= kTimeout) {
        ++out->late;
      } else {
        ++out->failed;
      }
    }
  }

  size_t cache_size_;
  double fraction_without_object_ = 0;
  Duration run_without_object_{};
  Outcome without_object_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  TimePoint exchanged_at_ = kStart;
  uint64_t next_attempt_ = 1;
  std::vector<std::unique_ptr<InstanceRegistry>> registries_;
  std::vector<std::unique_ptr<Placement>> placements_;
  std::map<std::string, Server> servers_;
  std::priority_queue<Completion> completions_;
};

// Load pattern: a region at 70% of its capacity for warm runs, but above its
// capacity for cold runs.
TEST_CASE("Placement, load above the cold capacity, responds in time") {
  RegionSim sim(3, 10, 24);
  sim.Run(std::chrono::seconds(6), 100, 66, false);
  const RegionSim::Outcome out =
      sim.Run(std::chrono::seconds(20), 150, 66, false);
  CHECK(out.in_time >= out.requested * 0.85);
  CHECK(out.failed == 0);
  RegionSim naive(3, 10, 24);
  naive.Run(std::chrono::seconds(6), 100, 66, true);
  const RegionSim::Outcome other =
      naive.Run(std::chrono::seconds(20), 150, 66, true);
  CHECK(out.in_time > other.in_time * 1.5);
}

// Load pattern: twice the load that all slots carry with warm runs. Guards
// against congestion collapse, in which every response is late.
TEST_CASE("Placement, twice the warm capacity, keeps most slots useful") {
  RegionSim sim(3, 10, 24);
  sim.Run(std::chrono::seconds(8), 130, 66, false);
  const double capacity = 60 / ToSeconds(kWarm);
  const RegionSim::Outcome out =
      sim.Run(std::chrono::seconds(20), 2 * capacity, 66, false);
  CHECK(out.in_time >= 0.6 * capacity * 20);
  CHECK(out.failed <= out.requested / 100);
}

// Load pattern: a region over its capacity for warm runs, in which a tenth of
// the requests name no object and belong to a route of their own. Guards
// against refusing all of them for an estimate of their run time
// (docs/incidents/config-added-routes.md).
TEST_CASE(
    "Placement, requests without object in a full region, get their share") {
  for (const Duration run : {kWarm / 5, kWarm, kCold}) {
    CAPTURE(ToMillis(run));
    RegionSim sim(3, 10, 24);
    sim.Run(std::chrono::seconds(6), 200, 66, false);
    sim.AddRequestsWithoutObject(0.1, run);
    const RegionSim::Outcome out =
        sim.Run(std::chrono::seconds(20), 320, 66, false);
    const RegionSim::Outcome& other = sim.without_object();
    REQUIRE(out.refused > 0);
    // At least half as often as the requests with an object.
    CHECK(2 * other.served() * out.requested >= out.served() * other.requested);
    CHECK(out.failed <= out.requested / 100);
  }
}

class PlacementFixture {
 protected:
  PlacementFixture() {
    for (int n = 0; n < 8; ++n)
      registry.Put(Instance(n, n < 4 ? "home" : "far"), kStart);
  }
  PlacementChoice Choose(const PlacementRequest& request) {
    return placement.Choose(request, 2, 2, kStart);
  }

  InstanceRegistry registry;
  Placement placement{PlacementSettings{"home"}, &registry};
};

TEST_CASE_FIXTURE(
    PlacementFixture,
    "Placement, same object at two VMs, chooses the same instance") {
  Placement other(PlacementSettings{"home"}, &registry);
  for (uint64_t object = 1; object < 50; ++object) {
    const PlacementChoice a = Choose(Request(object));
    const PlacementChoice b = other.Choose(Request(object), 2, 2, kStart);
    REQUIRE(a.instance != nullptr);
    CHECK(a.instance == b.instance);
  }
}

// Guards against sending to an instance whose limit is used up, against holding
// a request until a token is due, and against a limit that counts as a failure
// (docs/incidents/limit-of-instances.md).
TEST_CASE_FIXTURE(PlacementFixture,
                  "Limit, used up at one instance, sends requests elsewhere") {
  InstanceNotices notices;
  Placement limited(PlacementSettings{"home"}, &registry, &notices);
  PlacementRequest request = Request(7);
  InstanceState* first = limited.Choose(request, 2, 2, kStart).instance;
  REQUIRE(first != nullptr);
  notices.OnResponse(first->info(), RateLimit(2), kStart);
  const PlacementChoice choice = limited.Choose(request, 2, 2, kStart);
  REQUIRE(choice.instance != nullptr);
  CHECK(choice.instance != first);
  CHECK(choice.rank == 0);
  CHECK_FALSE(first->IsEjected(kStart));
  CHECK(first->failure_ratio() == 0);
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "Limit, used up at all instances, is refused until the first token") {
  InstanceNotices notices;
  Placement limited(PlacementSettings{"home"}, &registry, &notices);
  for (const auto& [id, it] : registry.all())
    notices.OnResponse(it->info(), RateLimit(id == "i2" ? 4 : 2), kStart);
  const PlacementRequest request = Request(7);
  const PlacementChoice choice = limited.Choose(request, 2, 2, kStart);
  REQUIRE(choice.instance == nullptr);
  CHECK(choice.details.MainCause() == RejectionCause::kLimited);
  CHECK(choice.retry_after == std::chrono::milliseconds(250));
  const TimePoint later = kStart + choice.retry_after;
  const PlacementChoice next = limited.Choose(request, 2, 2, later);
  REQUIRE(next.instance != nullptr);
  CHECK(next.instance->info().id == "i2");
  limited.OnSent(request, next, 2, 2, later);
  CHECK(limited.Choose(request, 2, 2, later).instance == nullptr);
}

// Guards against parking requests, and against refusing them as if the
// instances were busy.
TEST_CASE_FIXTURE(
    PlacementFixture,
    "Notices, all instances leaving or waiting, refuse with the true time") {
  InstanceNotices notices;
  Placement told(PlacementSettings{"home"}, &registry, &notices);
  InstanceNotice leaving;
  leaving.is_leaving = true;
  for (int n = 0; n < 6; ++n) {
    notices.OnResponse(registry.Find("i" + std::to_string(n))->info(), leaving,
                       kStart);
  }
  for (int n = 6; n < 8; ++n) {
    InstanceNotice waiting;
    waiting.wait = std::chrono::seconds(n);
    notices.OnResponse(registry.Find("i" + std::to_string(n))->info(), waiting,
                       kStart);
  }
  const PlacementChoice choice = told.Choose(Request(7), 2, 2, kStart);
  REQUIRE(choice.instance == nullptr);
  CHECK(choice.retry_after == std::chrono::seconds(6));
  const TimePoint later = kStart + std::chrono::seconds(6);
  const PlacementChoice next = told.Choose(Request(7), 2, 2, later);
  REQUIRE(next.instance != nullptr);
  CHECK(next.instance->info().id == "i6");
  // All leaving: nothing is known of the time.
  for (int n = 6; n < 8; ++n) {
    notices.OnResponse(registry.Find("i" + std::to_string(n))->info(), leaving,
                       later);
  }
  const PlacementChoice last =
      told.Choose(Request(7), 2, 2, later + std::chrono::seconds(10));
  CHECK(last.instance == nullptr);
  CHECK(last.reason == PlacementRefusal::kNoInstance);
  CHECK(last.retry_after > Duration::zero());
  CHECK(last.retry_after <= std::chrono::seconds(2));
}

// Load pattern: some instances of a service take few requests. Guards against
// keeping more objects warm there than their limit can serve, and against
// moving objects of the others.
TEST_CASE_FIXTURE(PlacementFixture,
                  "Limit, named by an instance, moves only its objects") {
  InstanceNotices notices;
  Placement limited(PlacementSettings{"home"}, &registry, &notices);
  // 6 slots carry 20 runs per second of half the objective.
  notices.OnResponse(registry.Find("i1")->info(), RateLimit(4), kStart);
  const TimePoint now = kStart + std::chrono::seconds(1);
  int before = 0;
  int after = 0;
  for (uint64_t object = 1; object <= 2000; ++object) {
    const std::string old_id =
        placement.Choose(Request(object), 2, 2, now).instance->info().id;
    const std::string new_id =
        limited.Choose(Request(object), 2, 2, now).instance->info().id;
    before += old_id == "i1" ? 1 : 0;
    after += new_id == "i1" ? 1 : 0;
    if (old_id != "i1") CHECK(new_id == old_id);
  }
  CHECK(after < before / 3);
  CHECK(after > before / 10);
}

// Guards against refusals whose logs do not tell a full queue from an estimate.
TEST_CASE_FIXTURE(PlacementFixture,
                  "Refusal, region full, counts the instances by cause") {
  uint64_t attempt = 1;
  const auto fill = [&](const std::string& id, int requests) {
    for (int n = 0; n < requests; ++n)
      registry.Find(id)->OnSent(attempt++, 0, kCold, kStart);
  };
  for (int n = 0; n < 8; ++n) fill("i" + std::to_string(n), n < 2 ? 18 : 12);
  PlacementRequest request = Request(0);
  // One response per instance, so that none is exempt as its first run.
  for (int n = 0; n < 8; ++n) {
    InstanceState* it = registry.Find("i" + std::to_string(n));
    it->OnSent(attempt, 0, kCold, kStart);
    it->OnEnded(attempt++, AttemptOutcome::kSucceeded, kStart);
  }
  const PlacementChoice choice = Choose(request);
  REQUIRE(choice.instance == nullptr);
  const RefusalDetails& details = choice.details;
  CHECK(details.rejected[static_cast<size_t>(RejectionCause::kFull)] == 2);
  CHECK(details.rejected[static_cast<size_t>(RejectionCause::kLate)] == 6);
  CHECK(details.MainCause() == RejectionCause::kLate);
  CHECK(details.expected > details.allowed);
  // An unmeasured run counts as half of the objective.
  CHECK(details.allowed == FromSeconds(ToSeconds(kObjective) * (0.85 + 0.9)));
  CHECK_FALSE(details.is_time_measured);
}

// Load pattern: a few instances hold the popular objects, and only they report.
// Guards against also counting their requests in the mean of the other
// instances, which makes a half-empty region look full.
TEST_CASE_FIXTURE(
    PlacementFixture,
    "Load, instances with and without reports, sums to the reports of VMs") {
  // Peers have 20 requests in the local region, 18 of them at instances that
  // report to this VM.
  registry.Find("i0")->OnReport(9, 0, kStart);
  registry.Find("i1")->OnReport(9, 0, kStart);
  placement.SetPeerLoads({{{"s", "home"}, 20}}, kStart);
  double sum = 0;
  for (int n = 0; n < 4; ++n)
    sum += registry.Find("i" + std::to_string(n))->LoadAt(kStart);
  CHECK(sum == doctest::Approx(20));
  CHECK(registry.Find("i0")->LoadAt(kStart) == doctest::Approx(9));
  CHECK(registry.Find("i2")->LoadAt(kStart) == doctest::Approx(1));
  // As the reports age, all requests are assumed to be spread evenly.
  const TimePoint later = kStart + std::chrono::seconds(20);
  placement.SetPeerLoads({{{"s", "home"}, 20}}, later);
  CHECK(registry.Find("i0")->LoadAt(later) == doctest::Approx(5).epsilon(0.01));
}

// Guards against sending requests to draining, replaced, evacuated or already
// tried instances.
TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement, instance that may not be used, is not chosen") {
  InstanceInfo leaving = Instance(0, "home");
  leaving.is_draining = true;
  registry.Put(leaving, kStart);
  InstanceState* replaced = registry.Find("i1");
  replaced->OnSent(1, 0, kCold, kStart);
  replaced->OnEnded(1, AttemptOutcome::kMisdirected, kStart);
  registry.SetEvacuated("far-a", true);
  for (uint64_t object = 1; object < 100; ++object) {
    PlacementRequest request = Request(object);
    request.tried = {"i2"};
    const PlacementChoice choice = Choose(request);
    REQUIRE(choice.instance != nullptr);
    CHECK(choice.instance->info().id == "i3");
  }
}

// Load pattern: all instances of a service reject half of their requests.
// Guards against overloading the few instances that are not ejected at the
// moment, and against moving objects to instances where they are cold.
TEST_CASE_FIXTURE(
    PlacementFixture,
    "Placement, most instances ejected, keeps the order of an object") {
  const PlacementChoice before = Choose(Request(7));
  uint64_t attempt = 1;
  for (int n = 0; n < 4; ++n) {
    InstanceState* it = registry.Find("i" + std::to_string(n));
    if (it == before.instance || n > 0) {
      for (int k = 0; k < 3; ++k) {
        it->OnSent(attempt, 0, kCold, kStart);
        it->OnEnded(attempt++, AttemptOutcome::kShed, kStart);
      }
    }
  }
  REQUIRE(before.instance->IsEjected(kStart));
  const TimePoint later = kStart + InstanceState::kShedBackoff;
  CHECK(placement.Choose(Request(7), 2, 2, later).instance == before.instance);
  // An unreachable instance stays ejected.
  before.instance->OnSent(attempt, 0, kCold, kStart);
  before.instance->OnEnded(attempt, AttemptOutcome::kConnectFailed, kStart);
  CHECK(placement.Choose(Request(7), 2, 2, later).instance != before.instance);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement, region not allowed, is never chosen") {
  for (uint64_t object = 1; object < 100; ++object) {
    PlacementRequest request = Request(object);
    request.regions = {false, {"far"}};
    CHECK(Choose(request).instance->info().region == "far");
    request.regions = {false, {"nowhere"}};
    const PlacementChoice none = Choose(request);
    CHECK(none.instance == nullptr);
  }
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement, no instance at all, refuses with a retry delay") {
  PlacementRequest request = Request(1);
  request.service = "unknown";
  const PlacementChoice choice = Choose(request);
  CHECK(choice.instance == nullptr);
  CHECK(choice.reason == PlacementRefusal::kNoInstance);
  CHECK(choice.retry_after > Duration::zero());
}

// Guards against overloading instances that have just started: all VMs together
// stay within the rate that a cold instance sustains.
TEST_CASE("Cold pacer, several VMs, stay within the rate together") {
  for (const size_t vms : {1, 3, 7}) {
    CAPTURE(vms);
    std::vector<ColdPacer> pacers;
    for (size_t n = 0; n < vms; ++n) pacers.emplace_back(n);
    const ColdPacer::Pace pace = {kStart + std::chrono::seconds(4), 5.3, vms};
    int sent = 0;
    for (int ms = 0; ms < 4000; ++ms) {
      for (ColdPacer& it : pacers) {
        if (it.TryAcquire("i", pace, kStart + std::chrono::milliseconds(ms)))
          ++sent;
      }
    }
    CHECK(sent <= 5.3 * 4 + static_cast<double>(vms));
  }
}

}  // namespace
}  // namespace rwf
