#include <doctest/doctest.h>

#include "../../bench/once_sim.h"

namespace rwf {
namespace {

using std::chrono::seconds;

// Each model stresses one condition. All models except the first combine
// message loss, duplication, reordering, crashes and pauses.
TEST_CASE("At most once, model with faults, holds for every seed") {
  struct Model {
    const char* name;
    void (*change)(OnceSimOptions*);
  };
  const Model models[] = {
      {"calm",
       [](OnceSimOptions* o) {
         o->loss = o->duplication = o->long_delay = 0;
         o->mean_crash_s = o->mean_pause_s = 1e6;
       }},
      {"faulty network", [](OnceSimOptions*) {}},
      {"many crashes", [](OnceSimOptions* o) { o->mean_crash_s = 5; }},
      {"false death reports",
       [](OnceSimOptions* o) {
         o->false_death = 1;
         o->mean_crash_s = 10;
       }},
      {"long pauses", [](OnceSimOptions* o) { o->mean_pause_s = 5; }},
      {"resends near the expiry of keys",
       [](OnceSimOptions* o) {
         o->retry_window = seconds(700);
         o->length = seconds(1500);
       }},
      {"little memory",
       [](OnceSimOptions* o) {
         o->max_claims = 3;
         o->retry_window = seconds(100);
       }},
  };
  for (const Model& model : models) {
    OnceSimResult sum;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(std::string(model.name));
      CAPTURE(seed);
      OnceSimOptions options;
      model.change(&options);
      options.seed = seed;
      const OnceSimResult result = OnceSim(options).Run();
      REQUIRE(result.duplicate_runs == 0);
      REQUIRE(result.false_not_run == 0);
      REQUIRE(result.overlapping_grants == 0);
      REQUIRE(result.wrong_replays == 0);
      sum.runs += result.runs;
      sum.replays += result.replays;
      sum.not_run += result.not_run;
      sum.unknown += result.unknown;
    }
    CAPTURE(std::string(model.name));
    // Guards against a model that passes because no request runs.
    CHECK(sum.runs > 500);
    CHECK(sum.replays > 100);
    CHECK(sum.not_run > 100);
    CHECK(sum.unknown > 100);
    MESSAGE(std::string(model.name), ": seeds 1 to 40, runs ", sum.runs,
            ", replays ", sum.replays, ", not run ", sum.not_run, ", unknown ",
            sum.unknown);
  }
}

}  // namespace
}  // namespace rwf
