#include "membership/failure_detector.h"

#include <doctest/doctest.h>

#include "membership/member_network.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(5);
// Sanitizer builds run about 20 times slower, so they run a reduced set.
#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kSeeds = 1;
constexpr Duration kLossyRun = std::chrono::minutes(1);
constexpr size_t kLargeFleet = 28;
#else
constexpr uint64_t kSeeds = 5;
constexpr Duration kLossyRun = std::chrono::minutes(10);
constexpr size_t kLargeFleet = 112;
#endif

// Guards against crashes that are missed or detected too late for other VMs to
// inherit the share.
TEST_CASE("FailureDetector, crash, is detected by all VMs within 3 s") {
  struct Row {
    const char* name;
    size_t vms;
    size_t zones;
    bool power_loss;
    double loss;
    Duration gossip_delay;  // added to the 3 s of linked peers
  };
  const Row rows[] = {
      {"process ends", 7, 6, false, 0, {}},
      {"power loss", 7, 6, true, 0, {}},
      {"power loss, 28 VMs", 28, 6, true, 0, milliseconds(500)},
      {"power loss, 112 VMs", kLargeFleet, 10, true, 0, milliseconds(500)},
      {"process ends, 20% loss", 28, 6, false, 0.2, milliseconds(500)},
  };
  for (const Row& row : rows) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(row.name);
      CAPTURE(seed);
      MemberNetwork net(row.vms, row.zones, seed);
      net.Run(kWarmUp + milliseconds(100 * seed));
      net.loss = row.loss;
      const TimePoint at = net.now;
      net.Crash(3, row.power_loss);
      net.Run(seconds(6));
      const TimePoint detected_at =
          net.LastEventTime(MemberEventKind::kDead, "vm3");
      REQUIRE(detected_at != TimePoint{});
      CHECK(ToMillis(detected_at - at) <=
            ToMillis(seconds(3) + row.gossip_delay));
      CHECK(net.Count(MemberEventKind::kDead) == row.vms - 1);
    }
  }
}

// Guards against healthy VMs being declared dead, and so removed from lookups,
// on a lossy network.
TEST_CASE("FailureDetector, 20% message loss for 10 min, declares no VM dead") {
  for (const size_t vms : {7, 28}) {
    for (uint64_t seed = 1; seed <= std::min<uint64_t>(kSeeds, 3); ++seed) {
      MESSAGE("vms " << vms << " seed " << seed);
      MemberNetwork net(vms, 6, seed);
      net.loss = 0.2;
      net.Run(kLossyRun);
      CHECK(net.Count(MemberEventKind::kDead) == 0);
    }
  }
}

size_t CountNodeEvents(const MemberNetwork& net, size_t n,
                       MemberEventKind kind) {
  size_t count = 0;
  for (const auto& [at, event] : net.nodes[n].events) {
    count += event.kind == kind;
  }
  return count;
}

// Guards against a VM that declares its peers dead after it was paused itself,
// because it has read no heartbeats meanwhile.
TEST_CASE("FailureDetector, own pause, declares no peer dead") {
  MemberNetwork net(7, 6, 1);
  net.Run(kWarmUp);
  net.nodes[2].paused_until = net.now + seconds(20);
  net.Run(seconds(30));
  CHECK(CountNodeEvents(net, 2, MemberEventKind::kDead) == 0);
  CHECK(CountNodeEvents(net, 2, MemberEventKind::kPaused) == 1);
  CHECK(net.nodes[2].detector->counters().refutations >= 1);
  for (const auto& node : net.nodes) {
    CHECK(node.detector->roster().LiveInZone("zone2", "").size() == 1);
  }
}

// Guards against declaring a VM dead because messages are lost in one direction
// between it and a single peer.
TEST_CASE("FailureDetector, one-way partition of a pair, declares no VM dead") {
  MemberNetwork net(7, 6, 1);
  net.Run(kWarmUp);
  net.cut = [](size_t from, size_t to) { return from == 1 && to == 4; };
  net.Run(seconds(60));
  CHECK(net.Count(MemberEventKind::kDead) == 0);
}

// Guards against VMs that consider each other dead after a partition has
// healed, including VMs without a link between them.
TEST_CASE("FailureDetector, zone partition heals, all VMs are alive") {
  MemberNetwork net(kLargeFleet, 4, 2);
  net.Run(kWarmUp);
  net.cut = [](size_t a, size_t b) { return (a % 4 == 0) != (b % 4 == 0); };
  net.Run(seconds(60));
  CHECK(net.nodes[0].detector->roster().Find("vm1")->state ==
        wire::PeerState::kDead);
  CHECK(net.nodes[0].detector->roster().Find("vm4")->IsLive());
  net.cut = [](size_t, size_t) { return false; };
  net.Run(seconds(30));
  for (const auto& node : net.nodes) {
    for (const Member& member : node.detector->roster().members()) {
      CHECK(member.IsLive());
    }
  }
}

TEST_CASE("FailureDetector, restarted VM, is alive with its new incarnation") {
  MemberNetwork net(7, 6, 1);
  net.Run(kWarmUp);
  net.Crash(3, true);
  net.Run(seconds(1));
  net.Start(3);
  net.Run(seconds(5));
  CHECK(net.LastEventTime(MemberEventKind::kRestarted, "vm3") != TimePoint{});
  for (const auto& node : net.nodes) {
    CHECK(node.detector->roster().Find("vm3")->incarnation ==
          net.nodes[3].detector->incarnation());
    CHECK(node.detector->roster().Find("vm3")->IsLive());
  }
}

TEST_CASE("FailureDetector, planned leave, is not reported as a death") {
  MemberNetwork net(7, 6, 1);
  net.Run(kWarmUp);
  net.nodes[3].detector->BeginLeaving(net.now);
  net.Run(seconds(1));
  CHECK(net.LastEventTime(MemberEventKind::kLeaving, "vm3") != TimePoint{});
  CHECK(net.nodes[0].detector->roster().Find("vm3")->IsLive());
  for (MemberMessage& message : net.nodes[3].detector->Leave(net.now)) {
    for (auto& node : net.nodes) {
      if (node.id != message.peer) continue;
      node.detector->OnHeartbeat("vm3", *message.body.AsHeartbeat(), net.now);
    }
  }
  net.Crash(3, false);
  net.Run(seconds(5));
  CHECK(net.LastEventTime(MemberEventKind::kLeft, "vm3") != TimePoint{});
  CHECK(net.Count(MemberEventKind::kDead) == 0);
}

struct DetectorPairFixture {
  DetectorPairFixture() {
    for (const char* id : {"a", "b"}) {
      config.entry_vms.push_back({.id = id, .zone = "z"});
    }
    b.SetConfig(config, now);
  }
  Config config;
  TimePoint now{seconds(10)};
  FailureDetector b{"b", uint64_t{5} << kRefutationBits, 1};
};

// Guards against two processes with the same id that both use its share.
TEST_CASE_FIXTURE(
    DetectorPairFixture,
    "FailureDetector, two processes with one id, the older one is "
    "superseded") {
  FailureDetector old_a("a", uint64_t{7} << kRefutationBits, 1);
  old_a.SetConfig(config, now);
  b.OnLinkUp("a", uint64_t{9} << kRefutationBits, now);
  const auto reply_to_old = b.OnLinkUp("a", old_a.incarnation(), now);
  CHECK(b.counters().duplicates == 1);
  REQUIRE(reply_to_old.size() == 1);
  old_a.OnLinkUp("b", b.incarnation(), now);
  old_a.OnHeartbeat("b", *reply_to_old[0].body.AsHeartbeat(), now);
  CHECK(old_a.superseded());
  CHECK(old_a.counters().duplicates == 1);
  CHECK(b.roster().Find("a")->incarnation == uint64_t{9} << kRefutationBits);
  // The newer process ends. The older one, or one started while the clock was
  // behind, is then the only one and is no longer superseded.
  b.OnLinkDown("a", true, now);
  const auto second_reply_to_old =
      b.OnLinkUp("a", uint64_t{7} << kRefutationBits, now + seconds(1));
  old_a.OnHeartbeat("b", *second_reply_to_old[0].body.AsHeartbeat(),
                    now + seconds(1));
  CHECK_FALSE(old_a.superseded());
  b.OnLinkUp("a", old_a.incarnation(), now + seconds(2));
  CHECK(b.roster().Find("a")->IsLive());
}

// Guards against shares that grow while a removed VM may still use its share.
TEST_CASE_FIXTURE(DetectorPairFixture,
                  "Roster, removed VM, is a member until it has the generation "
                  "or is retired") {
  b.OnLinkUp("a", uint64_t{7} << kRefutationBits, now);
  Config next = config;
  next.generation = 2;
  next.entry_vms = {config.entry_vms[1]};
  b.set_heartbeat_filler([](wire::HeartbeatT* heartbeat, TimePoint) {
    heartbeat->generation = 2;
  });
  b.SetConfig(next, now);
  now += seconds(1);
  b.Tick(now);
  CHECK_FALSE(b.roster().AllHaveGeneration(2));
  wire::HeartbeatT heartbeat;
  heartbeat.generation = 2;
  b.OnHeartbeat("a", heartbeat, now);
  CHECK(b.roster().AllHaveGeneration(2));
  b.SetConfig(next, now);
  CHECK(b.roster().Find("a") == nullptr);
}

// Guards against a new VM that stays unknown to peers because it linked to them
// before they adopted the generation that lists it.
TEST_CASE_FIXTURE(DetectorPairFixture,
                  "FailureDetector, link before the configuration lists the "
                  "peer, is processed once it does") {
  b.OnLinkUp("c", uint64_t{7} << kRefutationBits, now);
  CHECK(b.roster().Find("c") == nullptr);
  config.entry_vms.push_back({.id = "c", .zone = "z"});
  b.SetConfig(config, now);
  CHECK(b.roster().Find("c")->IsLive());
  now += seconds(1);
  const auto sent = b.Tick(now);
  CHECK(std::any_of(sent.begin(), sent.end(), [](const MemberMessage& message) {
    return message.peer == "c" && message.body.AsHeartbeat() != nullptr;
  }));
}

// Guards against heartbeats whose size grows with the fleet.
TEST_CASE(
    "Roster, many changes at once, are sent 32 per heartbeat until none is "
    "queued") {
  MemberNetwork net(kLargeFleet, 4, 1);
  net.Run(kWarmUp);
  for (size_t n = 0; n < kLargeFleet; n += 4) net.Crash(n, true);
  net.Run(seconds(60));
  CHECK(net.nodes[1].detector->roster().queued_updates() == 0);
  CHECK(net.LastEventTime(MemberEventKind::kDead, "vm0") != TimePoint{});
  Roster roster;
  roster.SetMembers(net.config, net.now);
  for (const Member& member : net.nodes[1].detector->roster().members()) {
    roster.Apply(member, net.now);
  }
  for (int n = 0; n < 200; ++n) CHECK(roster.TakeUpdates().size() <= 32);
  CHECK(roster.queued_updates() == 0);
}

}  // namespace
}  // namespace rwf
