#include "gateway/fleet.h"

#include <doctest/doctest.h>
#include <fcntl.h>

#include <memory>
#include <string>
#include <vector>

#include "traffic/cold_pacer.h"
#include "traffic/notices.h"

namespace rwf {
namespace {

constexpr uint16_t kFirstPeerPort = 18530;
constexpr const char* kSecret = "secret";

// Two VMs on loopback that exchange reports.
class FleetFixture {
 protected:
  struct Vm {
    FleetVm info;
    std::unique_ptr<WorkspaceLimiter> limiter;
    InstanceNotices notices;
    std::unique_ptr<Fleet> fleet;
    std::vector<SharedNotice> heard;
  };

  FleetFixture() {
    for (size_t n = 0; n < 2; ++n) {
      Vm& vm = vms[n];
      vm.info.vm = "v" + std::to_string(n);
      vm.info.zone = "z";
      vm.info.region = "r";
      vm.info.address = "127.0.0.1";
      vm.info.front_port = 1;
      vm.info.peer_port = static_cast<uint16_t>(kFirstPeerPort + n);
      vm.info.incarnation = n + 1;
    }
    for (Vm& vm : vms) Connect(&vm);
  }
  void Connect(Vm* vm) {
    vm->limiter =
        std::make_unique<WorkspaceLimiter>(vm->info.vm, EventLoop::Now());
    vm->fleet = std::make_unique<Fleet>(&loop, vm->info, vm->limiter.get(),
                                        &vm->notices, &log);
    vm->fleet->signal_instance_notice.connect(
        [vm](const std::string&, const SharedNotice& it) {
          vm->notices.OnShared(it, EventLoop::Now());
          vm->heard.push_back(it);
        });
  }
  void Start(Vm* vm) {
    for (const Vm& it : vms) vm->fleet->OnListed(it.info);
    REQUIRE(vm->fleet->Start(kSecret).has_value());
  }
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const TimePoint end = EventLoop::Now() + std::chrono::seconds(5);
    while (!condition() && EventLoop::Now() < end) {
      const auto timer =
          loop.After(std::chrono::milliseconds(20), [this] { loop.Stop(); });
      loop.Run();
    }
    return condition();
  }

  EventLoop loop;
  EventLog log{&loop, open("/dev/null", O_WRONLY), "v"};
  Vm vms[2];
  const InstanceInfo instance{.id = "i", .service = "s", .started_ms = 7};
};

// A late write of a former process brings its entry back. Guards against a
// linked VM that is left out as a keeper, and then forgotten, for that.
TEST_CASE_FIXTURE(FleetFixture,
                  "Fleet, entry of a former process returns, keeps the link") {
  for (Vm& it : vms) Start(&it);
  REQUIRE(RunUntil([&] { return vms[0].fleet->HasLinks(1); }));
  FleetVm former = vms[1].info;
  former.incarnation = 1;
  vms[0].fleet->OnListed(former);
  CHECK(vms[0].fleet->HasLinks(1));
  vms[0].fleet->OnUnlisted(former.vm);
  CHECK(vms[0].fleet->HasLinks(1));
  CHECK(vms[0].fleet->size() == 1);
}

// Guards against VMs that each send an instance as much as its limit allows all
// of them together.
TEST_CASE_FIXTURE(FleetFixture,
                  "Notice, heard by one VM, reaches its peers and ends there") {
  for (Vm& it : vms) Start(&it);
  REQUIRE(RunUntil([&] { return vms[0].fleet->HasLinks(1); }));
  vms[0].notices.OnResponse(instance, RateLimit(2), EventLoop::Now());
  REQUIRE(RunUntil([&] { return vms[1].notices.RateLimit(instance) == 2; }));
  vms[0].notices.OnResponse(instance, {}, EventLoop::Now());
  CHECK(RunUntil([&] { return !vms[1].notices.RateLimit(instance); }));
}

TEST_CASE_FIXTURE(FleetFixture,
                  "Notice, heard before a VM starts, reaches it on its link") {
  Start(&vms[0]);
  vms[0].notices.OnResponse(instance, RateLimit(2), EventLoop::Now());
  vms[0].fleet->SendReports();
  Start(&vms[1]);
  CHECK(RunUntil([&] { return vms[1].notices.RateLimit(instance) == 2; }));
}

// Guards against counting only what a VM sends itself.
TEST_CASE_FIXTURE(FleetFixture,
                  "Usage of a limit, reported by a peer, is subtracted") {
  for (Vm& it : vms) Start(&it);
  REQUIRE(RunUntil([&] { return vms[0].fleet->HasLinks(1); }));
  const TimePoint from = EventLoop::Now();
  for (Vm& it : vms) it.notices.OnResponse(instance, RateLimit(4), from);
  int sent = 0;
  RunUntil([&] {
    const TimePoint now = EventLoop::Now();
    for (Vm& it : vms) {
      if (it.notices.AvailabilityOf(instance, now) !=
          InstanceAvailability::kOpen) {
        it.notices.OnDeclined(instance, now);
        continue;
      }
      it.notices.OnSent(instance, now);
      ++sent;
    }
    return now - from > std::chrono::seconds(4);
  });
  CHECK(sent <= 4 * 4 * 1.5 + 5);
  CHECK(sent >= 8);
}

// Guards against VMs that all send their first request to a cold instance at
// the same moment because they started in the same millisecond.
TEST_CASE("Random seeds, VMs started together, spread requests to a cold one") {
  constexpr size_t kVms = 21;
  constexpr double kRate = 6.7;
  constexpr double kMaxPerSecond = kRate * 1.5 + 8;
  constexpr TimePoint kStart{std::chrono::hours(1)};
  std::vector<ColdPacer> pacers;
  for (size_t n = 0; n < kVms; ++n) {
    FleetVm vm;
    vm.vm = "v" + std::to_string(n);
    vm.incarnation = 1775586993006;
    pacers.emplace_back(RandomSeed(vm));
  }
  for (int instance = 0; instance < 50; ++instance) {
    const std::string id = "i" + std::to_string(instance);
    const ColdPacer::Pace pace{kStart + std::chrono::seconds(3), kRate, kVms};
    int sent = 0;
    for (Duration t{}; t < std::chrono::seconds(1);
         t += std::chrono::milliseconds(10)) {
      for (ColdPacer& it : pacers)
        sent += it.TryAcquire(id, pace, kStart + t) ? 1 : 0;
    }
    CHECK(sent <= kMaxPerSecond);
  }
}

}  // namespace
}  // namespace rwf
