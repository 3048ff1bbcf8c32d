#include <doctest/doctest.h>

#include "replica/random_history.h"

namespace rwf {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kHistories = 500;
#else
constexpr uint64_t kHistories = 10'000;
#endif

// Guards against combinations of faults after which a VM reverts to an older
// generation, two VMs have different configurations of one generation, or the
// audit chain misses or repeats a change.
TEST_CASE("Replica, random faults and changes, invariants hold") {
  int accepted = 0;
  int rejected = 0;
  int unknown = 0;
  int failed = 0;
  for (uint64_t seed = 1; seed <= kHistories; ++seed) {
    RandomHistory history(seed);
    history.Run();
    accepted += history.accepted;
    rejected += history.rejected;
    unknown += history.unknown;
    if (history.problems.empty() || ++failed > 5) continue;
    for (const auto& problem : history.problems) {
      MESSAGE("seed " << seed << ": " << problem);
    }
  }
  MESSAGE("histories " << kHistories << ", changes accepted " << accepted
                       << ", rejected " << rejected << ", unknown " << unknown);
  CHECK(failed == 0);
  CHECK(accepted > 0);
  CHECK(unknown > 0);
}

}  // namespace
}  // namespace rwf
