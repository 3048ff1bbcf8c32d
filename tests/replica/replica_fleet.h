#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership/link_plan.h"
#include "replica/config_writer.h"
#include "replica/fake_store.h"
#include "replica/store_sync.h"
#include "replica/withdrawal_writer.h"

namespace rwf {

// Accepts all sections except those with the text "invalid".
inline Result<std::shared_ptr<const Config>> ParseFakeSections(
    uint64_t generation, const SectionTexts& sections) {
  for (const auto& [name, text] : sections) {
    if (text == "invalid") return Fail(ReplicaErrc::kInvalidConfig, name);
  }
  auto out = std::make_shared<Config>();
  out->generation = generation;
  return out;
}

// A fleet of VMs with one configuration replica each, a shared store and links
// with fault injection, on virtual time.
class ReplicaFleet {
 public:
  struct Node {
    std::string id;
    std::string zone;
    std::unique_ptr<FakeStoreClient> store;
    std::unique_ptr<Random> random;
    std::unique_ptr<CallBudget> budget;
    std::unique_ptr<StoreContact> contact;
    std::unique_ptr<ConfigReplica> replica;
    std::unique_ptr<StoreSync> sync;
    std::vector<std::string> peers;
    TimePoint paused_until{};
    uint64_t incarnation = 0;  // of the process; cancels its old timers
    uint64_t last_generation = 0;
  };
  struct Faults {
    double drop = 0;
    double duplicate = 0;
    Duration delay{};  // maximum extra latency; also causes reordering
  };

  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

  ReplicaFleet(size_t n, size_t zones, uint64_t seed)
      : random(seed), server(&clock, seed + 1) {
    std::vector<std::pair<std::string, std::string>> vms;
    for (size_t it = 0; it < n; ++it) {
      vms.emplace_back("vm" + std::to_string(it),
                       "zone" + std::to_string(it % zones));
    }
    const LinkPlan plan(vms);
    std::map<std::string, std::set<std::string>> links;
    for (const auto& [vm, zone] : vms) {
      for (const std::string& peer : plan.PeersOf(vm)) {
        links[vm].insert(peer);
        links[peer].insert(vm);
      }
      zone_vms_[zone].push_back(vm);
    }
    nodes.resize(n);
    for (size_t it = 0; it < n; ++it) {
      Node& node = nodes[it];
      std::tie(node.id, node.zone) = vms[it];
      node.peers.assign(links[node.id].begin(), links[node.id].end());
      index_[node.id] = it;
      node.store = std::make_unique<FakeStoreClient>(&server, &clock);
      StartProcess(it);
    }
  }

  // Starts a new process without state, replacing the previous one.
  void StartProcess(size_t n) {
    Node& node = nodes[n];
    node.sync.reset();
    node.random = std::make_unique<Random>(random());
    node.budget = std::make_unique<CallBudget>();
    node.contact = std::make_unique<StoreContact>(
        node.id, clock.now.time_since_epoch().count());
    node.replica = std::make_unique<ConfigReplica>(ParseFakeSections);
    node.replica->set_on_adopted([this, n](const auto&) { Announce(n); });
    node.sync = std::make_unique<StoreSync>(
        node.store.get(), node.replica.get(), node.contact.get(),
        node.budget.get(), node.random.get());
    node.sync->SetWatcher(
        IsStoreWatcher(node.zone, node.id, zone_vms_[node.zone]));
    node.last_generation = 0;
    const uint64_t incarnation = ++node.incarnation;
    clock.After(Duration(random() % kTickInterval.count()),
                [=, this] { Tick(n, incarnation); });
    clock.After(Duration(random() % kHeartbeatInterval.count()),
                [=, this] { Heartbeat(n, incarnation); });
  }

  bool IsPaused(size_t n) const { return nodes[n].paused_until > clock.now; }

  void Announce(size_t n) {
    for (const std::string& peer : nodes[n].peers) {
      wire::HeartbeatT heartbeat;
      heartbeat.generation = nodes[n].replica->generation();
      heartbeat.config_digest = nodes[n].replica->digest();
      nodes[n].contact->AddToHeartbeat(&heartbeat, clock.now);
      wire::BodyUnion body;
      body.Set(std::move(heartbeat));
      Send(n, {peer, std::move(body)});
    }
  }

  void Send(size_t from, std::vector<ReplicaMessage> messages) {
    for (ReplicaMessage& message : messages) Send(from, std::move(message));
  }

  // Returns true if all VMs have `generation`.
  bool AllAtGeneration(uint64_t generation) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
      return node.replica->generation() == generation;
    });
  }

  VirtualClock clock;
  std::mt19937_64 random;
  FakeStore server;
  std::vector<Node> nodes;
  Faults faults;
  std::function<bool(size_t, size_t)> cut = [](size_t, size_t) {
    return false;
  };
  // Called after each step of a VM.
  std::function<void(Node&)> check = [](Node&) {};

 private:
  void Send(size_t from, ReplicaMessage message) {
    const size_t to = index_[message.peer];
    const auto happens = [&](double p) {
      return p > 0 && std::uniform_real_distribution<double>()(random) < p;
    };
    if (cut(from, to) || happens(faults.drop)) return;
    auto body = std::make_shared<wire::BodyUnion>(std::move(message.body));
    const int copies = happens(faults.duplicate) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      Duration delay = std::chrono::milliseconds(10 + random() % 10);
      if (faults.delay > Duration{}) {
        delay += Duration(random() % faults.delay.count());
      }
      clock.After(delay, [=, this] { Deliver(from, to, body); });
    }
  }

  void Deliver(size_t from, size_t to,
               const std::shared_ptr<wire::BodyUnion>& body) {
    Node& node = nodes[to];
    if (IsPaused(to)) {
      clock.At(node.paused_until, [=, this] { Deliver(from, to, body); });
      return;
    }
    const std::string& peer = nodes[from].id;
    if (const auto* x = body->AsHeartbeat()) {
      node.contact->OnHeartbeat(*x, clock.now);
      Send(to, node.replica->OnAnnouncement(peer, x->generation,
                                            x->config_digest, clock.now));
    } else if (const auto* x = body->AsConfigPull()) {
      Send(to, node.replica->OnPull(peer, *x));
    } else if (const auto* x = body->AsConfigPush()) {
      Send(to, node.replica->OnPush(peer, *x, clock.now));
    }
    check(node);
  }

  void Tick(size_t n, uint64_t incarnation) {
    Node& node = nodes[n];
    if (node.incarnation != incarnation) return;
    if (!IsPaused(n)) {
      node.sync->Tick(clock.now);
      Send(n, node.replica->Tick(clock.now));
      check(node);
    }
    clock.At(std::max(clock.now + kTickInterval, node.paused_until),
             [=, this] { Tick(n, incarnation); });
  }

  void Heartbeat(size_t n, uint64_t incarnation) {
    if (nodes[n].incarnation != incarnation) return;
    if (!IsPaused(n)) Announce(n);
    clock.After(kHeartbeatInterval, [=, this] { Heartbeat(n, incarnation); });
  }

  std::map<std::string, size_t> index_;
  std::map<std::string, std::vector<std::string>> zone_vms_;
};

// A configuration change made through one VM of the fleet.
struct FleetChange {
  FleetChange(ReplicaFleet* fleet, size_t vm, ChangeRequest request)
      : fleet(fleet), vm(vm), random(vm + 1) {
    writer = std::make_unique<ConfigWriter>(
        fleet->nodes[vm].store.get(), &budget, &random, ParseFakeSections,
        std::move(request), [this](const ChangeResult& r) { result = r; });
    writer->Start(fleet->clock.now);
    Tick();
  }
  void Tick() {
    fleet->clock.After(std::chrono::milliseconds(50),
                       [this, alive = std::weak_ptr<bool>(alive)] {
                         if (alive.expired() || result) return;
                         writer->Tick(fleet->clock.now);
                         Tick();
                       });
  }

  ReplicaFleet* fleet;
  size_t vm;
  Random random;
  CallBudget budget;
  std::unique_ptr<ConfigWriter> writer;
  std::optional<ChangeResult> result;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace rwf
