#include "once/crash_guard.h"

#include <doctest/doctest.h>

#include "../../bench/poison_sim.h"

namespace rwf {
namespace {

using std::chrono::seconds;

const Digest kPoison = Sha256("poison");
const Digest kHarmless = Sha256("innocent");

struct Fixture {
  void Crash(const std::string& upstream,
             const std::vector<Digest>& in_flight) {
    for (const Digest& fingerprint : in_flight) {
      guard.OnSent(upstream, fingerprint);
    }
    messages = guard.OnCrash(upstream, now);
  }
  CrashGuard guard;
  TimePoint now{seconds(100)};
  std::vector<wire::CrashSuspicionT> messages;
};

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, crashes of two instances, block for 600 s") {
  Crash("u1", {kPoison});
  CHECK(messages.size() == 1);
  Crash("u1", {kPoison});  // the same instance again
  CHECK(messages.empty());
  CHECK_FALSE(guard.IsBlocked(kPoison, now));
  Crash("u2", {kPoison});
  CHECK(guard.IsBlocked(kPoison, now));
  CHECK(guard.IsBlocked(kPoison, now + seconds(599)));
  CHECK_FALSE(guard.IsBlocked(kPoison, now + seconds(600)));
}

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, harmless request succeeds after the crash, is "
                  "cleared here and at peers") {
  Crash("u1", {kPoison, kHarmless});
  CrashGuard peer;
  for (const auto& message : messages) CHECK(peer.OnMessage(message, now));
  for (const auto& message : messages)
    CHECK_FALSE(peer.OnMessage(message, now));
  guard.OnSent("u2", kHarmless);
  const auto cleared = guard.OnFinished("u2", kHarmless, true, now);
  REQUIRE(cleared.size() == 1);
  CHECK(peer.OnMessage(cleared[0], now));
  // The flooded suspicion arrives late a second time.
  for (const auto& message : messages) peer.OnMessage(message, now);
  Crash("u3", {kPoison, kHarmless});
  for (const auto& message : messages) peer.OnMessage(message, now);
  CHECK(peer.IsBlocked(kPoison, now));
  CHECK_FALSE(peer.IsBlocked(kHarmless, now));
  CHECK_FALSE(guard.IsBlocked(kHarmless, now));
}

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, two fingerprints at the same two crashes, "
                  "blocks the one that crashes a third instance") {
  Crash("u1", {kPoison, kHarmless});
  Crash("u2", {kHarmless, kPoison});
  CHECK_FALSE(guard.IsBlocked(kPoison, now));
  CHECK_FALSE(guard.IsBlocked(kHarmless, now));
  Crash("u3", {kPoison});
  CHECK(guard.IsBlocked(kPoison, now));
  CHECK_FALSE(guard.IsBlocked(kHarmless, now));
}

// Guards against blocking a frequent request that shared instances with one
// that crashed them and others.
TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, crashes explained by another fingerprint, do "
                  "not block") {
  Crash("u1", {kPoison, kHarmless});
  Crash("u2", {kPoison, kHarmless});
  Crash("u3", {kPoison});
  Crash("u4", {kPoison, kHarmless});
  CHECK(guard.IsBlocked(kPoison, now));
  CHECK_FALSE(guard.IsBlocked(kHarmless, now));
  Crash("u5", {kHarmless});
  CHECK(guard.IsBlocked(kHarmless, now));
}

TEST_CASE(
    "CrashGuard, poison among harmless requests on 7 VMs, few crashes and no "
    "harmless request blocked") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    PoisonSimOptions options;
    options.seed = seed;
    const PoisonSimResult mixed = PoisonSim(options).Run();
    CHECK(mixed.crashed_instances <= 3);
    CHECK(mixed.benign_blocked == 0);
    options.benign_requests = 0;
    CHECK(PoisonSim(options).Run().crashed_instances == 2);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, two suspects, must not share an instance") {
  Crash("u1", {kPoison, kHarmless});
  guard.OnSent("u2", kPoison);
  CHECK_FALSE(guard.MaySend("u2", kHarmless, now));
  CHECK(guard.MaySend("u3", kHarmless, now));
  CHECK(guard.MaySend("u2", Sha256("third"), now));
  guard.OnFinished("u2", kPoison, false, now);
  CHECK(guard.MaySend("u2", kHarmless, now));
}

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, request finished before the crash, is not "
                  "suspect") {
  guard.OnSent("u1", kHarmless);
  guard.OnFinished("u1", kHarmless, false, now);
  Crash("u1", {kPoison});
  CHECK_FALSE(guard.IsSuspect(kHarmless, now));
}

TEST_CASE_FIXTURE(Fixture,
                  "CrashGuard, many suspicions, stays bounded and keeps the "
                  "blocked fingerprint") {
  Crash("u1", {kPoison});
  Crash("u2", {kPoison});
  for (size_t i = 0; i < CrashGuard::kMaxFingerprints + 20; ++i) {
    Crash("u1", {Sha256(std::to_string(i))});
  }
  CHECK(guard.size() <= CrashGuard::kMaxFingerprints);
  CHECK(guard.IsBlocked(kPoison, now));
  guard.OnTick(now + seconds(600));
  CHECK(guard.size() == 0);
}

}  // namespace
}  // namespace rwf
