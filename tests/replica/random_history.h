#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "replica/audit_chain.h"
#include "replica/replica_fleet.h"

namespace rwf {

// Simulates one random history: several phases with random faults and
// configuration changes, then a phase without faults. Invariants are checked
// after each step of a VM.
class RandomHistory {
 public:
  explicit RandomHistory(uint64_t seed)
      : random_(seed), fleet_(3 + seed % 3, 2, seed) {
    fleet_.check = [this](ReplicaFleet::Node& node) { Check(&node); };
  }

  void Run() {
    for (int phase = 0; phase < 5; ++phase) {
      InjectRandomFaults();
      fleet_.clock.Run(std::chrono::milliseconds(500 + random_() % 1500));
      for (uint64_t n = random_() % 3; n > 0; --n) StartRandomChange();
    }
    ClearFaults();
    uint64_t accepted = 0;
    for (const auto& change : changes_) {
      if (!change->result ||
          change->result->outcome != ChangeOutcome::kAccepted) {
        continue;
      }
      accepted = std::max(accepted, change->result->generation);
    }
    fleet_.clock.Run(std::chrono::seconds(3));
    for (const auto& node : fleet_.nodes) {
      Expect(node.replica->generation() >= accepted,
             "accepted change not in force after 3 s");
    }
    // Pending writers finish, and VMs write missing audit records.
    fleet_.clock.Run(std::chrono::seconds(25));
    CheckAudit();
  }

  std::vector<std::string> problems;
  int accepted = 0;
  int rejected = 0;
  int unknown = 0;
  int reverts = 0;

 private:
  void Expect(bool ok, const std::string& problem) {
    if (!ok && problems.size() < 5) problems.push_back(problem);
  }

  double RandomFault(double p, double max_value) {
    if (std::uniform_real_distribution<double>()(random_) >= p) return 0;
    return std::uniform_real_distribution<double>(0, max_value)(random_);
  }

  void InjectRandomFaults() {
    fleet_.faults.drop = RandomFault(0.5, 0.7);
    fleet_.faults.duplicate = RandomFault(0.3, 0.5);
    fleet_.faults.delay = FromSeconds(RandomFault(0.4, 1.5));
    FakeStore::Faults& store = fleet_.server.faults;
    store.down = RandomFault(0.2, 1) > 0;
    store.latency =
        std::chrono::milliseconds(2) + FromSeconds(RandomFault(0.2, 1.5));
    store.lose_request = RandomFault(0.4, 0.5);
    store.late_write = RandomFault(0.5, 1);
    store.lose_response = RandomFault(0.4, 0.5);
    store.stale_read = RandomFault(0.4, 0.5);
    store.throttle = RandomFault(0.2, 0.3);
    for (size_t n = 0; n < fleet_.nodes.size(); ++n) {
      auto& node = fleet_.nodes[n];
      node.store->connected = RandomFault(0.2, 1) == 0;
      if (RandomFault(0.1, 1) > 0) fleet_.StartProcess(n);
      if (RandomFault(0.1, 1) > 0) {
        node.paused_until =
            fleet_.clock.now + std::chrono::milliseconds(random_() % 3000);
      }
    }
    const size_t cut = random_() % (2 * fleet_.nodes.size());
    const bool one_way = random_() % 2 == 0;
    fleet_.cut = [=](size_t from, size_t to) {
      return from == cut || (!one_way && to == cut);
    };
  }

  void ClearFaults() {
    fleet_.faults = {};
    fleet_.server.faults = {};
    fleet_.cut = [](size_t, size_t) { return false; };
    for (auto& node : fleet_.nodes) {
      node.store->connected = true;
      node.paused_until = std::min(node.paused_until, fleet_.clock.now);
    }
  }

  void StartRandomChange() {
    const size_t vm = random_() % fleet_.nodes.size();
    const auto manifest = ParseManifest(fleet_.server.Read(kManifestKey).value);
    ChangeRequest request;
    request.operation_id = "op" + std::to_string(changes_.size());
    request.who = "operator";
    request.from_generation = random_() % 4 == 0
                                  ? fleet_.nodes[vm].replica->generation()
                              : manifest ? manifest->generation
                                         : 0;
    request.sections = {{"a", request.operation_id},
                        {"b", std::to_string(random_() % 3)},
                        {"c", random_() % 10 == 0 ? "invalid" : "c"}};
    if (random_() % 8 == 0 && !changes_.empty()) {
      // The operator retries an earlier operation.
      request = changes_[random_() % changes_.size()]->writer->request();
      request.is_retry = true;
    }
    changes_.push_back(
        std::make_unique<FleetChange>(&fleet_, vm, std::move(request)));
    if (random_() % 4 == 0) {
      // The VM fails during the change, so the operator never receives the
      // outcome.
      fleet_.clock.After(std::chrono::milliseconds(random_() % 1000),
                         [change = changes_.back().get()] {
                           if (!change->result) change->alive.reset();
                         });
    }
  }

  void Check(ReplicaFleet::Node* node) {
    const uint64_t generation = node->replica->generation();
    if (generation < node->last_generation) {
      ++reverts;
      Expect(false, "the generation of a VM decreased");
    }
    node->last_generation = generation;
    if (generation == 0) return;
    const auto [it, is_new] =
        digests_.emplace(generation, node->replica->digest());
    Expect(it->second == node->replica->digest(),
           "VMs have different digests of generation " +
               std::to_string(generation));
    Expect(node->replica->current()->generation == generation,
           "the configuration does not match the generation in force");
  }

  bool HasLaterAttempt(const FleetChange& change) const {
    const ChangeRequest& request = change.writer->request();
    return !request.is_retry &&
           std::any_of(changes_.begin(), changes_.end(), [&](const auto& it) {
             return it->writer->request().is_retry &&
                    it->writer->request().operation_id == request.operation_id;
           });
  }

  void CheckAudit() {
    const auto manifest = ParseManifest(fleet_.server.Read(kManifestKey).value);
    AuditChain chain;
    for (const std::string& key : fleet_.server.Keys("audit/0")) {
      chain.Append(std::stoull(key.substr(6)), fleet_.server.Read(key).value);
    }
    for (const std::string& problem : chain.problems()) Expect(false, problem);
    if (manifest)
      Expect(chain.EndsWith(*manifest),
             "the audit chain does not end with the manifest in force");
    for (const auto& node : fleet_.nodes) {
      Expect(
          node.replica->generation() == (manifest ? manifest->generation : 0),
          "a VM does not have the newest generation at the end");
    }
    for (const auto& change : changes_) {
      if (change->alive == nullptr) continue;
      Expect(change->result.has_value(), "a change has no result");
      if (!change->result) continue;
      const auto& id = change->writer->request().operation_id;
      const auto times = std::count_if(
          chain.records().begin(), chain.records().end(),
          [&](const AuditRecord& record) { return record.operation_id == id; });
      switch (change->result->outcome) {
        case ChangeOutcome::kAccepted:
          ++accepted;
          Expect(times == 1,
                 id + " accepted, but not exactly once in the audit chain");
          break;
        case ChangeOutcome::kRejected:
          ++rejected;
          // A later attempt at the same operation may have succeeded.
          Expect(times == 0 || HasLaterAttempt(*change),
                 id + " rejected, but in the audit chain: " +
                     change->result->message);
          Expect(change->result->audit_pending ||
                     fleet_.server.Read(RejectedAuditKey(id)).version != 0,
                 id + " rejected without an audit record");
          break;
        case ChangeOutcome::kUnknown:
          ++unknown;
          Expect(times <= 1, id + " more than once in the audit chain");
          break;
      }
    }
  }

  std::mt19937_64 random_;
  ReplicaFleet fleet_;
  std::vector<std::unique_ptr<FleetChange>> changes_;
  std::map<uint64_t, Digest> digests_;
};

}  // namespace rwf
