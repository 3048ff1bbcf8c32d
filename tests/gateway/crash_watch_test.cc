#include "gateway/crash_watch.h"

#include <doctest/doctest.h>

#include <list>
#include <memory>
#include <random>

namespace rwf {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// Several VMs that exchange their suspicions.
class CrashWatchFixture {
 protected:
  CrashWatchFixture() {
    for (int n = 0; n < 3; ++n) watches.emplace_back();
    for (CrashWatch& it : watches) {
      it.signal_suspicion.connect(
          [this, &it](const wire::CrashSuspicionT& suspicion) {
            for (CrashWatch& other : watches) {
              if (&other != &it) other.OnMessage(suspicion, now);
            }
          });
    }
  }
  CrashWatch& Vm(size_t n) { return *std::next(watches.begin(), ptrdiff_t(n)); }
  // Runs a request whose connection breaks. The instance ends too if
  // `instance_ends`.
  void BreakRun(size_t vm, const std::string& instance,
                const Digest& fingerprint, bool instance_ends) {
    Vm(vm).OnSent(instance, fingerprint);
    now += 20 * kMillisecond;
    Vm(vm).OnRunEnded(instance, fingerprint, false, true, now);
    now += 20 * kMillisecond;
    if (instance_ends) Vm(vm).OnInstanceEnded(instance, now);
  }
  void Succeed(size_t vm, const std::string& instance,
               const Digest& fingerprint) {
    Vm(vm).OnSent(instance, fingerprint);
    Vm(vm).OnRunEnded(instance, fingerprint, true, false, now);
  }
  bool IsBlocked() { return Vm(2).IsBlocked(poison, now); }

  std::list<CrashWatch> watches;
  TimePoint now{std::chrono::hours(2)};
  const Digest poison = CrashFingerprint("w", "GET", "/a/1", "");
};

// Guards against a request that its caller repeats and that crashes one
// instance after another, through any VM.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, crashes instances on several VMs, is blocked") {
  BreakRun(0, "i1", poison, true);
  CHECK_FALSE(IsBlocked());
  now += std::chrono::seconds(2);
  BreakRun(1, "i2", poison, true);
  now += std::chrono::seconds(2);
  BreakRun(2, "i3", poison, true);
  for (size_t vm = 0; vm < 3; ++vm) CHECK(Vm(vm).IsBlocked(poison, now));
  CHECK_FALSE(Vm(0).IsBlocked(CrashFingerprint("w", "GET", "/a/2", ""), now));
}

// Guards against taking the ends of a request's own making for a common cause:
// two copies at one VM end four instances within half a second
// (docs/incidents/budget-of-crashing-requests.md).
TEST_CASE_FIXTURE(
    CrashWatchFixture,
    "Request, copies crash four instances within half a second, is blocked") {
  for (int n = 0; n < 4; ++n) Vm(0).OnSent("i" + std::to_string(n), poison);
  for (int n = 0; n < 4; ++n) {
    now += 40 * kMillisecond;
    Vm(0).OnRunEnded("i" + std::to_string(n), poison, false, true, now);
  }
  now += 50 * kMillisecond;
  for (int n = 0; n < 4; ++n)
    Vm(0).OnInstanceEnded("i" + std::to_string(n), now);
  for (int n = 0; n < 20; ++n) {
    now += 100 * kMillisecond;
    for (CrashWatch& it : watches) it.Tick(now);
  }
  for (size_t vm = 0; vm < 3; ++vm) CHECK(Vm(vm).IsBlocked(poison, now));
}

// Guards against blaming requests for lost responses, or for instances that end
// later for other reasons.
TEST_CASE_FIXTURE(
    CrashWatchFixture,
    "Request, responses lost while instances live, is not blocked") {
  for (int n = 0; n < 20; ++n) {
    BreakRun(static_cast<size_t>(n % 3), "i" + std::to_string(n), poison,
             false);
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(IsBlocked());
  now += CrashWatch::kCrashConfirmWindow;
  for (CrashWatch& it : watches) it.Tick(now);
  for (int n = 0; n < 20; ++n)
    Vm(static_cast<size_t>(n % 3))
        .OnInstanceEnded("i" + std::to_string(n), now);
  CHECK_FALSE(IsBlocked());
}

// Guards against blocking the requests that were running in a zone when its
// power failed.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, many instances end at once, is not blocked") {
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 6; ++n) {
      const std::string id = std::to_string(round * 10 + n);
      Vm(0).OnSent(id, poison);
      Vm(0).OnRunEnded(id, poison, false, true, now + n * kMillisecond);
    }
    now += 50 * kMillisecond;
    for (int n = 0; n < 6; ++n)
      Vm(0).OnInstanceEnded(std::to_string(round * 10 + n), now);
    now += std::chrono::seconds(5);
    for (CrashWatch& it : watches) it.Tick(now);
  }
  CHECK_FALSE(IsBlocked());
}

// Guards against blocking a frequent request because flapping instances were
// running it: it succeeds elsewhere in between.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, succeeds in between, is not blocked") {
  std::mt19937_64 rng(8);
  for (int n = 0; n < 100; ++n) {
    const size_t vm = rng() % 3;
    BreakRun(vm, "i" + std::to_string(rng() % 8), poison, true);
    now += std::chrono::seconds(1);
    Succeed(rng() % 3, "good", poison);
    CHECK_FALSE(IsBlocked());
    now += CrashGuard::kClearedRetention;
    for (CrashWatch& it : watches) it.Tick(now);
  }
}

}  // namespace
}  // namespace rwf
