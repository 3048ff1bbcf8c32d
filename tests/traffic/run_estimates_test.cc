#include <doctest/doctest.h>

#include <string>

#include "traffic/placement.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kObjective = seconds(1);
constexpr Duration kTimeLeft = milliseconds(840);
constexpr Duration kShortRun = milliseconds(57);
constexpr Duration kLongRun = seconds(5);

// Where the run times of a route are taken from.
enum class Evaluation : uint8_t { kMean, kDistribution };

// One VM and one instance whose slots are free unless a test says otherwise.
class RunEstimatesFixture {
 protected:
  RunEstimatesFixture() {
    InstanceInfo info;
    info.id = "i";
    info.service = "s";
    info.region = "home";
    info.slots = 16;
    instance_ = registry_.Put(info, kStart);
    request_.service = "s";
    request_.route = "added";
    request_.objective = kObjective;
    request_.time_left = kTimeLeft;
  }

  void Use(Evaluation evaluation) {
    if (evaluation == Evaluation::kDistribution)
      instance_->machine()->OnReport(1, now_);
  }
  bool IsPlaced() {
    return placement_.Choose(request_, 0, 1, now_).instance != nullptr;
  }
  // Sends a request if it is placed. It succeeds if `run` fits in its time.
  bool Send(Duration run) {
    const PlacementChoice choice = placement_.Choose(request_, 0, 1, now_);
    if (choice.instance == nullptr) return false;
    placement_.OnSent(request_, choice, 0, 1, now_);
    if (run > request_.time_left) return true;
    if (choice.is_trial) placement_.OnTrialSucceeded(request_);
    End(run);
    return true;
  }
  // A run of a request that had enough time left.
  void Measure(Duration run, int n = 1) {
    request_.time_left = seconds(20);
    for (int i = 0; i < n; ++i) {
      const PlacementChoice choice = placement_.Choose(request_, 0, 1, now_);
      REQUIRE(choice.instance != nullptr);
      placement_.OnSent(request_, choice, 0, 1, now_);
      End(run);
    }
    request_.time_left = kTimeLeft;
  }
  void End(Duration run) {
    placement_.OnRunEnded(request_, instance_,
                          request_.object == 0
                              ? ServiceTimeModel::Warmth::kNoObject
                              : ServiceTimeModel::Warmth::kUncertain,
                          now_, run, now_);
  }

  TimePoint now_ = kStart;
  InstanceRegistry registry_;
  Placement placement_{{.region = "home"}, &registry_};
  InstanceState* instance_ = nullptr;
  PlacementRequest request_;
};

// Guards against a route that is refused by the prior of one estimate because
// another one counts as measured: its first, short run is then its last.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Route, first run was short, is served on") {
  for (const uint64_t object : {0, 7}) {
    request_.object = object;
    request_.route = "added" + std::to_string(object);
    Use(Evaluation::kDistribution);
    CAPTURE(object);
    for (int n = 0; n < 20; ++n) {
      CAPTURE(n);
      CHECK(Send(kShortRun));
      now_ += milliseconds(300);
    }
  }
}

// Guards against a route that stays refused for good after its run times were
// long for a while: what would correct the estimate is what it refuses.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Route, runs were long and are short, is served again") {
  for (const Evaluation evaluation :
       {Evaluation::kMean, Evaluation::kDistribution}) {
    for (const int long_runs : {1, 3, 30, 300}) {
      CAPTURE(static_cast<int>(evaluation));
      CAPTURE(long_runs);
      request_.route = "r" + std::to_string(long_runs) +
                       std::to_string(static_cast<int>(evaluation));
      Use(evaluation);
      Measure(kLongRun, long_runs);
      const TimePoint end = now_ + seconds(10);
      int served = 0;
      int recent = 0;
      for (; now_ < end; now_ += milliseconds(50)) {
        const bool is_served = Send(kShortRun);
        served += is_served ? 1 : 0;
        if (end - now_ <= seconds(3)) recent += is_served ? 1 : 0;
      }
      CHECK(served > 100);
      CHECK(recent == 60);
    }
  }
}

// Guards against an object that stays refused for good after its runs were long
// for a while, although those of its route are short.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Object, runs were long and are short, is served again") {
  Use(Evaluation::kDistribution);
  const auto run_once = [&](uint64_t object, Duration run) {
    request_.object = object;
    now_ += milliseconds(20);
    request_.time_left = seconds(20);
    const PlacementChoice choice = placement_.Choose(request_, 0, 1, now_);
    REQUIRE(choice.instance != nullptr);
    placement_.OnSent(request_, choice, 0, 1, now_);
    placement_.OnRunEnded(request_, instance_, ServiceTimeModel::Warmth::kWarm,
                          now_, run, now_);
  };
  // Run times that differ by object, one in ten long.
  for (int n = 0; n < 1000; ++n) {
    const bool is_long = n % 10 == 0;
    run_once(is_long ? 9 : 1 + n % 8, is_long ? seconds(4) : milliseconds(200));
  }
  request_.object = 9;
  request_.time_left = seconds(2);
  REQUIRE_FALSE(IsPlaced());
  // The other objects go on for a minute.
  for (int n = 0; n < 3000; ++n) run_once(1 + n % 8, milliseconds(200));
  request_.object = 9;
  request_.time_left = seconds(2);
  CHECK(IsPlaced());
}

// Guards against an estimate that one request a minute never corrects.
TEST_CASE_FIXTURE(
    RunEstimatesFixture,
    "Route, one request a minute, is not refused by an estimate") {
  for (const Evaluation evaluation :
       {Evaluation::kMean, Evaluation::kDistribution}) {
    CAPTURE(static_cast<int>(evaluation));
    request_.route = "r" + std::to_string(static_cast<int>(evaluation));
    Use(evaluation);
    Measure(kLongRun, 30);
    for (int n = 0; n < 10; ++n) {
      now_ += seconds(60);
      CAPTURE(n);
      CHECK(Send(kShortRun));
    }
  }
}

// Guards against an estimate that refuses for good where the run alone would be
// in time, and only its sum with the network is not.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Route, only other regions serve it, is served again") {
  registry_.Remove("i");
  InstanceInfo info;
  info.id = "j";
  info.service = "s";
  info.region = "away";
  info.slots = 16;
  instance_ = registry_.Put(info, now_);
  Measure(milliseconds(770), 30);
  int served = 0;
  for (int n = 0; n < 100; ++n, now_ += milliseconds(100))
    served += Send(kShortRun) ? 1 : 0;
  CHECK(served > 80);
}

// Guards against requests that wait for their deadline although it is known
// that they cannot be served.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Route, runs are measured as too long, is refused at once") {
  for (const Evaluation evaluation :
       {Evaluation::kMean, Evaluation::kDistribution}) {
    CAPTURE(static_cast<int>(evaluation));
    request_.route = "r" + std::to_string(static_cast<int>(evaluation));
    Use(evaluation);
    Measure(kLongRun, 30);
    int sent = 0;
    for (int n = 0; n < 600; ++n, now_ += milliseconds(100))
      sent += Send(kLongRun) ? 1 : 0;
    CHECK(sent <= 20);
  }
}

// Guards against a full region that refuses a route by the prior of its run
// times, which counts as waiting.
TEST_CASE_FIXTURE(RunEstimatesFixture,
                  "Route, full region and a short first run, is served on") {
  request_.time_left = seconds(10);
  request_.priority = 2;
  Use(Evaluation::kDistribution);
  REQUIRE(Send(kShortRun));
  // The region counts as full, with one free slot.
  now_ += milliseconds(100);
  instance_->OnReport(15, 0, now_);
  CHECK(IsPlaced());
}

}  // namespace
}  // namespace rwf
