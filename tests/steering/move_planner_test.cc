#include "steering/move_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <pcg_random.hpp>

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLookupTtl = seconds(5);

Move MakeMove(int64_t step = 2) {
  Move move;
  move.id = "m1";
  move.percent = 50;
  move.step_percent = 10;
  move.cap_percent = 70;
  move.step = step;
  move.state = MoveState::kRunning;
  return move;
}

TEST_CASE("PlanMove, table of metrics, gives the expected action") {
  const TimePoint now(seconds(100));
  const MoveMetrics healthy{now, 30, 100, 200, 0};  // one step adds 20
  struct Case {
    const char* name;
    MoveAction action;
    void (*change)(Move*, std::optional<MoveMetrics>*, TimePoint*);
  };
  const Case cases[] = {
      {"healthy", MoveAction::kNextStep, [](auto*, auto*, auto*) {}},
      {"no metrics", MoveAction::kPause,
       [](auto*, auto* e, auto*) { e->reset(); }},
      {"metrics 3 s old", MoveAction::kNextStep,
       [](auto*, auto* e, auto*) { (*e)->at -= seconds(3); }},
      {"metrics over 3 s old", MoveAction::kPause,
       [](auto*, auto* e, auto*) { (*e)->at -= milliseconds(3001); }},
      {"metrics not a number", MoveAction::kPause,
       [](auto*, auto* e, auto*) { (*e)->target_busy = NAN; }},
      {"over the cap", MoveAction::kStepBack,
       [](auto*, auto* e, auto*) { (*e)->target_busy = 71; }},
      {"over the cap at step 0", MoveAction::kNone,
       [](Move* m, auto* e, auto*) {
         m->step = 0;
         (*e)->target_busy = 71;
       }},
      {"target has no slots left", MoveAction::kStepBack,
       [](auto*, auto* e, auto*) { (*e)->target_slots = 0; }},
      {"target fails requests", MoveAction::kStepBack,
       [](auto*, auto* e, auto*) { (*e)->failure_ratio = 0.05; }},
      {"next step would exceed the cap", MoveAction::kNone,
       [](auto*, auto* e, auto*) { (*e)->target_busy = 51; }},
      {"lookup responses still cached", MoveAction::kNone,
       [](auto*, auto*, TimePoint* last) { *last += milliseconds(92'001); }},
      {"metrics from before the step reached all VMs", MoveAction::kNone,
       [](auto*, auto* e, TimePoint* last) {
         *last += seconds(92);
         (*e)->at -= seconds(1);
       }},
      {"configured interval not passed", MoveAction::kNone,
       [](Move* m, auto*, auto*) { m->step_interval = seconds(101); }},
      {"last step", MoveAction::kNone,
       [](Move* m, auto*, auto*) { m->step = 5; }},
      {"paused by the operator", MoveAction::kNone,
       [](Move* m, auto*, auto*) { m->state = MoveState::kPaused; }},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    Move move = MakeMove();
    std::optional<MoveMetrics> metrics = healthy;
    TimePoint last{};
    c.change(&move, &metrics, &last);
    const MoveDecision decision =
        PlanMove(move, metrics, last, kLookupTtl, now);
    CHECK(decision.action == c.action);
    const int64_t delta = c.action == MoveAction::kNextStep   ? 1
                          : c.action == MoveAction::kStepBack ? -1
                                                              : 0;
    CHECK(decision.step == move.step + delta);
  }
}

TEST_CASE("MovedPercent, steps beyond the final one, stays at the limit") {
  const Move move = MakeMove();
  CHECK(MovedPercent(move, 3) == 30);
  CHECK(MovedPercent(move, 99) == 50);
  CHECK(FinalStep(move) == 5);
}

// VMs adopt a step up to 3 s late, clients cache a lookup response for its TTL,
// and any VM may propose. Guards against a step that is based on metrics from
// before the previous step took effect.
TEST_CASE("PlanMove, lagging VMs and cached lookups, never exceeds the cap") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    pcg32 rng(seed);
    constexpr int kVms = 7;
    constexpr int kClients = 700;
    Move committed = MakeMove(0);
    committed.percent = 100;
    const double source_load = 20 + rng(180);
    const double base_busy = rng(60);
    int64_t steps[kVms] = {};
    int64_t target_steps[kVms] = {};
    TimePoint adopt_at[kVms] = {};
    TimePoint adopted[kVms] = {};
    struct Client {
      int64_t step = 0;
      TimePoint until{};
    };
    std::vector<Client> clients(kClients);
    std::deque<MoveMetrics> history;
    double max_busy = 0;
    for (TimePoint now{}; now < TimePoint(seconds(300));
         now += milliseconds(200)) {
      for (int vm = 0; vm < kVms; ++vm) {
        if (steps[vm] == target_steps[vm] || now < adopt_at[vm]) continue;
        steps[vm] = target_steps[vm];
        adopted[vm] = now;
      }
      double shifted = 0;
      for (size_t i = 0; i < clients.size(); ++i) {
        if (now >= clients[i].until) {
          clients[i] = {steps[rng(kVms)], now + kLookupTtl};
        }
        const double hash = 100.0 * static_cast<double>(i) / kClients;
        if (hash < MovedPercent(committed, clients[i].step)) shifted += 1;
      }
      const double busy = base_busy + shifted / kClients * source_load;
      max_busy = std::max(max_busy, busy);
      REQUIRE(busy <= 70 + 1e-6);
      history.push_back({now, busy, 100, source_load, 0});
      if (history.size() > 12) history.pop_front();
      const int vm = static_cast<int>(rng(kVms));
      Move local = committed;
      local.step = steps[vm];
      const auto& metrics = history[rng(history.size())];
      const MoveDecision decision =
          PlanMove(local, metrics, adopted[vm], kLookupTtl, now);
      REQUIRE(decision.action != MoveAction::kStepBack);
      // Compare-and-swap: a proposal based on an older step fails.
      if (decision.action != MoveAction::kNextStep ||
          local.step != committed.step) {
        continue;
      }
      committed.step = decision.step;
      for (int other = 0; other < kVms; ++other) {
        target_steps[other] = committed.step;
        adopt_at[other] = now + milliseconds(rng(3000));
      }
    }
    CHECK((max_busy > base_busy) == (base_busy + source_load / 10 <= 70));
  }
}

}  // namespace
}  // namespace rwf
