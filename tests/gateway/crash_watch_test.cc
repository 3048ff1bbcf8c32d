#include "gateway/crash_watch.h"

#include <doctest/doctest.h>

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

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
    const TimePoint sent_at = now;
    now += 20 * kMillisecond;
    Vm(vm).OnRunEnded(instance, fingerprint, sent_at, false, true, now);
    now += 20 * kMillisecond;
    if (instance_ends) Vm(vm).OnInstanceEnded(instance, now);
  }
  void Succeed(size_t vm, const std::string& instance,
               const Digest& fingerprint) {
    Vm(vm).OnRunEnded(instance, fingerprint, now, true, false, now);
  }
  bool IsBlocked() { return Vm(2).IsBlocked(poison, now); }

  std::list<CrashWatch> watches;
  TimePoint now{std::chrono::hours(2)};
  const Digest poison = CrashFingerprint("w", "GET", "/a/1", {});
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
  CHECK_FALSE(Vm(0).IsBlocked(CrashFingerprint("w", "GET", "/a/2", {}), now));
}

// Guards against taking the ends of a request's own making for a common cause:
// two copies at one VM end four instances within half a second
// (docs/incidents/budget-of-crashing-requests.md).
TEST_CASE_FIXTURE(
    CrashWatchFixture,
    "Request, copies crash four instances within half a second, is blocked") {
  const TimePoint started_at = now;
  for (int n = 0; n < 4; ++n) {
    now += 40 * kMillisecond;
    Vm(0).OnRunEnded("i" + std::to_string(n), poison, started_at, false, true,
                     now);
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

// Guards against letting a request crash two more instances through each VM
// that has been restarted or cut off.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, blocked before a VM starts, is blocked there") {
  BreakRun(0, "i1", poison, true);
  BreakRun(1, "i2", poison, true);
  now += std::chrono::minutes(5);
  for (CrashWatch& it : watches) it.Tick(now);
  CrashWatch started;
  for (const wire::CrashSuspicionT& it : Vm(0).MessagesForNewLink(now))
    started.OnMessage(it, now);
  CHECK(started.IsBlocked(poison, now));
  // It does not last longer there.
  now += std::chrono::minutes(5);
  CHECK_FALSE(started.IsBlocked(poison, now));
}

// Guards against blocking a request again, because a VM was cut off when it
// succeeded, and against keeping it blocked there.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, succeeds while a VM is cut off, is cleared there") {
  BreakRun(0, "i1", poison, true);
  BreakRun(1, "i2", poison, true);
  REQUIRE(IsBlocked());
  now += std::chrono::seconds(10);
  CrashWatch cut_off;
  std::vector<wire::CrashSuspicionT> replies;
  cut_off.signal_suspicion.connect(
      [&](const wire::CrashSuspicionT& it) { replies.push_back(it); });
  for (const wire::CrashSuspicionT& it : Vm(0).MessagesForNewLink(now))
    cut_off.OnMessage(it, now);
  cut_off.OnRunEnded("i3", poison, now, true, false, now);
  REQUIRE(replies.size() == 1);
  replies.clear();
  now += std::chrono::seconds(60);
  for (const wire::CrashSuspicionT& it : Vm(0).MessagesForNewLink(now))
    cut_off.OnMessage(it, now);
  CHECK_FALSE(cut_off.IsBlocked(poison, now));
  REQUIRE(!replies.empty());
  Vm(0).OnMessage(replies[0], now);
  CHECK_FALSE(Vm(0).IsBlocked(poison, now));
  // A crash after the success counts.
  BreakRun(0, "i4", poison, true);
  BreakRun(0, "i5", poison, true);
  CHECK(Vm(0).IsBlocked(poison, now));
  for (const wire::CrashSuspicionT& it : replies) Vm(0).OnMessage(it, now);
  CHECK(Vm(0).IsBlocked(poison, now));
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

// The instances of a zone end at once, again and again.
class ZoneLossFixture : public CrashWatchFixture {
 protected:
  static constexpr int kInstances = 6;

  // Each instance runs the requests that `requests` returns for it.
  void EndZone(const std::function<std::vector<Digest>(int instance)>& requests,
               bool is_silent) {
    std::vector<std::string> ids;
    for (int n = 0; n < kInstances; ++n) {
      ids.push_back("i" + std::to_string(next_id++));
      for (const Digest& it : requests(n)) {
        all.push_back(it);
        Vm(0).OnRunEnded(ids.back(), it, now - 200 * kMillisecond, false,
                         /*connection_lost=*/!is_silent,
                         now + n * kMillisecond);
      }
    }
    now += 50 * kMillisecond;
    for (const std::string& it : ids) Vm(0).OnInstanceEnded(it, now);
    for (int n = 0; n < 50; ++n) {
      now += 100 * kMillisecond;
      for (CrashWatch& it : watches) it.Tick(now);
    }
  }
  Digest Unique() {
    return CrashFingerprint("w", "GET", std::to_string(next_id++), {});
  }
  void CheckNoneBlocked() {
    for (const Digest& it : all) {
      for (size_t vm = 0; vm < 3; ++vm) CHECK_FALSE(Vm(vm).IsBlocked(it, now));
    }
  }

  std::vector<Digest> all;
  int next_id = 0;
};

// Guards against blocking the requests that were running in a zone when its
// power failed: its hosts are silent.
TEST_CASE_FIXTURE(ZoneLossFixture,
                  "Request, many hosts are silent at once, is not blocked") {
  for (int round = 0; round < 3; ++round)
    EndZone([&](int) { return std::vector<Digest>{poison}; }, true);
  CheckNoneBlocked();
}

// Guards against blocking the requests that were running when the processes of
// a zone were killed, even one that half of them ran.
TEST_CASE_FIXTURE(ZoneLossFixture,
                  "Requests, many instances end at once, are not blocked") {
  for (int round = 0; round < 3; ++round) {
    const Digest shared = Unique();
    EndZone(
        [&](int instance) {
          std::vector<Digest> out = {Unique(), Unique()};
          if (instance % 2 == 0) out.push_back(shared);
          return out;
        },
        false);
  }
  CheckNoneBlocked();
}

// Guards against blocking a frequent request that all of the instances ran.
TEST_CASE_FIXTURE(
    ZoneLossFixture,
    "Request, succeeds before many instances end at once, is not blocked") {
  for (int round = 0; round < 3; ++round) {
    Succeed(0, "good", poison);
    now += 1000 * kMillisecond;
    EndZone([&](int) { return std::vector<Digest>{poison}; }, false);
  }
  CheckNoneBlocked();
}

// Guards against letting two crashing requests excuse each other, and against
// blaming those that shared an instance with one.
TEST_CASE_FIXTURE(ZoneLossFixture,
                  "Requests, two crash instances at once, are blocked alone") {
  const Digest other = CrashFingerprint("w", "GET", "/a/2", {});
  EndZone(
      [&](int instance) {
        return std::vector<Digest>{instance % 2 == 0 ? poison : other,
                                   Unique()};
      },
      false);
  for (const Digest& it : all) {
    const bool is_cause = it == poison || it == other;
    for (size_t vm = 0; vm < 3; ++vm)
      CHECK(Vm(vm).IsBlocked(it, now) == is_cause);
  }
}

// Guards against excusing a crashing request whose run and retry end instances
// just when others are killed.
TEST_CASE_FIXTURE(ZoneLossFixture,
                  "Request, crashes two in turn among many, is blocked") {
  std::vector<std::string> ids = {"x", "y"};
  for (int n = 0; n < kInstances; ++n) {
    ids.push_back("i" + std::to_string(n));
    all.push_back(Unique());
    Vm(0).OnRunEnded(ids.back(), all.back(), now - 200 * kMillisecond, false,
                     true, now);
  }
  Vm(0).OnRunEnded("x", poison, now - 10 * kMillisecond, false, true, now);
  Vm(0).OnRunEnded("y", poison, now + kMillisecond, false, true,
                   now + 40 * kMillisecond);
  now += 90 * kMillisecond;
  for (const std::string& it : ids) Vm(0).OnInstanceEnded(it, now);
  now += 1000 * kMillisecond;
  Vm(0).Tick(now);
  CheckNoneBlocked();
  CHECK(IsBlocked());
}

// Guards against blocking a request that succeeds at another VM, because this
// one had none of its successes.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "Request, succeeded at another VM lately, is not blocked") {
  Succeed(1, "good", poison);
  BreakRun(0, "i1", poison, true);
  BreakRun(0, "i2", poison, true);
  for (size_t vm = 0; vm < 3; ++vm) CHECK_FALSE(Vm(vm).IsBlocked(poison, now));
}

// Guards against blaming a request of an instance that goes on and ends later.
TEST_CASE_FIXTURE(
    CrashWatchFixture,
    "Request, instance responds after the break, is not blocked") {
  for (int n = 0; n < 4; ++n) {
    const std::string id = "i" + std::to_string(n);
    BreakRun(0, id, poison, false);
    Vm(0).OnInstanceResponded(id, now - 30 * kMillisecond, now);
    const TimePoint sent_at = now;
    now += 100 * kMillisecond;
    // An earlier response proves nothing, a later one does.
    if (n > 0) Vm(0).OnInstanceResponded(id, sent_at, now);
    now += 1000 * kMillisecond;
    Vm(0).OnInstanceEnded(id, now);
  }
  CHECK_FALSE(IsBlocked());
  BreakRun(0, "i4", poison, true);
  CHECK(IsBlocked());
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
