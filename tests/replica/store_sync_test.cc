#include "replica/store_sync.h"

#include <doctest/doctest.h>

#include "replica/replica_fleet.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ChangeRequest Request(uint64_t from) {
  ChangeRequest out;
  out.operation_id = "op" + std::to_string(from);
  out.from_generation = from;
  out.sections = {{"services", "text " + std::to_string(from)}};
  return out;
}

size_t Watchers(const ReplicaFleet& fleet) {
  size_t out = 0;
  for (const auto& node : fleet.nodes) out += node.sync->is_watcher();
  return out;
}

TEST_CASE("IsStoreWatcher, zones of any size, selects two VMs or all") {
  for (const size_t n : {1, 2, 3, 31}) {
    std::vector<std::string> live;
    for (size_t it = 0; it < n; ++it) live.push_back("vm" + std::to_string(it));
    size_t watchers = 0;
    for (const auto& vm : live) watchers += IsStoreWatcher("z", vm, live);
    CHECK(watchers == std::min<size_t>(n, 2));
  }
}

// Guards against store load that grows with the number of VMs.
TEST_CASE("StoreSync, idle fleet, makes one call per watch and watcher") {
  for (const size_t vms : {7, 56}) {
    ReplicaFleet fleet(vms, 4, 1);
    FleetChange change(&fleet, 0, Request(0));
    fleet.clock.Run(seconds(30));
    REQUIRE(fleet.AllAtGeneration(1));
    const uint64_t before = fleet.server.calls();
    fleet.clock.Run(seconds(90));
    const double calls = fleet.server.calls() - before;
    CHECK(calls <= Watchers(fleet) * 90 / ToSeconds(StoreSync::kWatchTimeout) +
                       Watchers(fleet));
    for (auto& node : fleet.nodes) {
      CHECK(node.contact->Age(fleet.clock.now) < StoreSync::kMaxContactAge);
    }
  }
}

TEST_CASE("StoreSync, hanging watch, is restarted and finds the change") {
  ReplicaFleet fleet(1, 1, 1);
  FleetChange first(&fleet, 0, Request(0));
  fleet.clock.Run(seconds(10));
  REQUIRE(fleet.AllAtGeneration(1));
  fleet.server.faults.hang_watches = true;
  fleet.clock.Run(seconds(10));
  FleetChange second(&fleet, 0, Request(1));
  fleet.clock.Run(seconds(1));
  fleet.server.faults.hang_watches = false;
  fleet.clock.Run(seconds(11));
  CHECK(fleet.AllAtGeneration(2));
}

// Guards against a VM that overloads the store during an outage, or that takes
// too long to adopt a change after it.
TEST_CASE("StoreSync, store down for 10 min, stays within the call budget") {
  ReplicaFleet fleet(7, 4, 1);
  FleetChange first(&fleet, 0, Request(0));
  fleet.clock.Run(seconds(10));
  fleet.server.faults.down = true;
  fleet.clock.Run(seconds(20));
  const uint64_t before = fleet.server.calls();
  fleet.clock.Run(std::chrono::minutes(10));
  CHECK(fleet.server.calls() - before <= 7 * 600 * 2);
  for (auto& node : fleet.nodes) {
    CHECK(node.replica->generation() == 1);
    CHECK(node.contact->Age(fleet.clock.now) > std::chrono::minutes(10));
  }
  fleet.server.faults.down = false;
  FleetChange second(&fleet, 0, Request(1));
  fleet.clock.Run(seconds(3));
  CHECK(fleet.AllAtGeneration(2));
}

TEST_CASE(
    "StoreSync, process start while the store is down, pulls from peers") {
  ReplicaFleet fleet(7, 4, 1);
  FleetChange first(&fleet, 0, Request(0));
  fleet.clock.Run(seconds(10));
  fleet.server.faults.down = true;
  fleet.StartProcess(3);
  fleet.clock.Run(seconds(2));
  CHECK(fleet.nodes[3].replica->generation() == 1);
}

// Guards against contact ages that shrink by the transit time at each hop. Two
// VMs that report to each other would then consider an unavailable store
// available.
TEST_CASE("StoreContact, reports forwarded in a loop, keep their age") {
  StoreContact a("a", 1);
  StoreContact b("b", 1);
  TimePoint now{seconds(100)};
  a.OnResponse(now);
  for (int n = 0; n < 1000; ++n) {
    StoreContact* from = n % 2 == 0 ? &a : &b;
    StoreContact* to = n % 2 == 0 ? &b : &a;
    wire::HeartbeatT heartbeat;
    from->AddToHeartbeat(&heartbeat, now);
    now += milliseconds(200);
    to->OnHeartbeat(heartbeat, now);
  }
  CHECK(a.Age(now) == milliseconds(200'000));
  CHECK(b.Age(now) >= milliseconds(199'800));
}

// Guards against withdrawals lost to concurrent writers or in an outage.
TEST_CASE("WithdrawalWriter, store faults, loses no digest") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    VirtualClock clock;
    FakeStore server(&clock, seed);
    FakeStoreClient client(&server, &clock);
    Random random(seed);
    CallBudget budgets[3];
    std::set<Digest> all;
    std::set<Digest> read;
    std::vector<std::unique_ptr<WithdrawalWriter>> writers;
    for (auto& budget : budgets) {
      writers.push_back(std::make_unique<WithdrawalWriter>(
          &client, &budget, &random,
          [&](const std::set<Digest>& set) { read = set; }));
    }
    server.faults.lose_response = server.faults.lose_request = 0.2;
    server.faults.stale_read = server.faults.late_write = 0.2;
    for (int n = 0; n < 400; ++n) {
      server.faults.down = n >= 100 && n < 200;
      if (n < 300 && n % 10 == 0) {
        const Digest digest = Sha256(std::to_string(n));
        all.insert(digest);
        writers[random() % 3]->Add(digest);
      }
      for (auto& writer : writers) writer->Tick(clock.now);
      clock.Run(milliseconds(100));
    }
    server.faults = {};
    for (int n = 0; n < 400; ++n) {
      for (auto& writer : writers) writer->Tick(clock.now);
      clock.Run(milliseconds(100));
    }
    for (auto& writer : writers) CHECK(writer->pending().empty());
    CHECK(*ParseWithdrawnKeys(server.Read(kWithdrawnKeysKey).value) == all);
    CHECK_FALSE(read.empty());
  }
}

TEST_CASE("WithdrawalWriter, corrupt value, is not overwritten") {
  VirtualClock clock;
  FakeStore server(&clock, 1);
  FakeStoreClient client(&server, &clock);
  Random random(1);
  CallBudget budget;
  WithdrawalWriter writer(&client, &budget, &random, nullptr);
  server.Write(kWithdrawnKeysKey, "corrupt");
  writer.Add(Sha256("x"));
  for (int n = 0; n < 100; ++n) {
    writer.Tick(clock.now);
    clock.Run(milliseconds(100));
  }
  CHECK(server.Read(kWithdrawnKeysKey).value == "corrupt");
  CHECK(writer.pending().size() == 1);
}

}  // namespace
}  // namespace rwf
