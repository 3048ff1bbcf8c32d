#include "gateway/registration.h"

#include <doctest/doctest.h>

#include <string>

#include "gateway/memory_store.h"
#include "gateway/store_watch.h"

namespace rwf {
namespace {

constexpr const char* kKey = "vm/a";
constexpr const char* kOwn = "process 2";
constexpr const char* kFormer = "process 1";

class RegistrationFixture {
 protected:
  RegistrationFixture() {
    watch.signal_change.connect(
        [this](const StoreItem& it) { registration.OnChange(it); });
    watch.signal_loaded.connect([this] { registration.OnLoaded(); });
  }
  void Start() {
    watch.Start();
    registration.Start();
  }
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const TimePoint end = EventLoop::Now() + std::chrono::seconds(5);
    while (!condition() && EventLoop::Now() < end) {
      const auto timer =
          loop.After(std::chrono::milliseconds(5), [this] { loop.Stop(); });
      loop.Run();
    }
    return condition();
  }
  bool IsConfirmed() const {
    return registration.IsConfirmed(EventLoop::Now());
  }

  EventLoop loop;
  MemoryStore store{&loop};
  StoreWatch watch{&loop, &store, &EventLoop::Now};
  Registration registration{&loop, &store, kKey, kOwn};
};

TEST_CASE_FIXTURE(RegistrationFixture,
                  "Registration, entry of a former process, is replaced") {
  store.Put(kKey, kFormer);
  Start();
  CHECK_FALSE(IsConfirmed());
  REQUIRE(RunUntil([&] { return IsConfirmed(); }));
  CHECK(store.Get(kKey) == kOwn);
  const TimePoint now = EventLoop::Now();
  CHECK_FALSE(registration.IsKnownToAll(now));
  CHECK(registration.IsKnownToAll(now + Registration::kVisibleDelay));
  // Nothing was renewed until then.
  CHECK_FALSE(registration.IsConfirmed(now + Registration::kFenceTime));
  CHECK(registration.losses() == 0);
}

// A write of the former process is executed seconds late. Guards against a
// running VM that stays unknown to the others for good.
TEST_CASE_FIXTURE(RegistrationFixture,
                  "Registration, late write of a former process, is replaced "
                  "at once") {
  Start();
  REQUIRE(RunUntil([&] { return IsConfirmed(); }));
  store.Put(kKey, kFormer);
  REQUIRE(RunUntil([&] { return registration.losses() == 1; }));
  CHECK_FALSE(IsConfirmed());
  const TimePoint from = EventLoop::Now();
  REQUIRE(RunUntil([&] { return store.Get(kKey) == kOwn; }));
  CHECK(EventLoop::Now() - from < std::chrono::milliseconds(500));
  CHECK(RunUntil([&] { return IsConfirmed(); }));
}

// The entry ends with the lease of a former process.
TEST_CASE_FIXTURE(RegistrationFixture,
                  "Registration, entry removed, is written again at once") {
  Start();
  REQUIRE(RunUntil([&] { return IsConfirmed(); }));
  store.Delete(kKey);
  REQUIRE(RunUntil([&] { return registration.losses() == 1; }));
  CHECK(RunUntil([&] { return store.Get(kKey) == kOwn && IsConfirmed(); }));
}

// Guards against a late write of this process that replaces the entry of the
// process after it.
TEST_CASE_FIXTURE(RegistrationFixture,
                  "Registration, entry changed since it was read, is not "
                  "overwritten blindly") {
  Start();
  REQUIRE(RunUntil([&] { return IsConfirmed(); }));
  uint64_t revision = 0;
  store.Write(
      {kKey, kFormer, 0, true, {0, 1}},
      [&](const Result<StoreRevision>& it) { revision = it ? it->number : 1; });
  REQUIRE(RunUntil([&] { return revision != 0; }));
  CHECK(store.Get(kKey) == kOwn);
}

TEST_CASE_FIXTURE(RegistrationFixture,
                  "Registration, planned stop, stays removed") {
  Start();
  REQUIRE(RunUntil([&] { return IsConfirmed(); }));
  registration.Stop();
  store.Delete(kKey);
  RunUntil([] { return false; });
  CHECK(store.Get(kKey).empty());
  CHECK_FALSE(IsConfirmed());
}

}  // namespace
}  // namespace rwf
