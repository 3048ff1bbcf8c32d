#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "once/claim_client.h"
#include "once/claim_ledger.h"
#include "once/idempotency_key.h"

namespace rwf {

struct OnceSimOptions {
  uint64_t seed = 1;
  int vms = 4;
  int keys = 60;
  int attempts = 8;   // sends of one key
  double loss = 0.1;  // probability, per message between VMs
  double duplication = 0.1;
  double long_delay = 0.1;   // fraction of messages that take up to 20 s
  double mean_crash_s = 60;  // between crashes of any VM
  double mean_pause_s = 40;  // between pauses of any VM
  double false_death = 0.1;  // fraction of live VMs reported dead at each crash
  Duration retry_window = std::chrono::seconds(30);
  Duration length = std::chrono::seconds(200);
  size_t max_claims = ClaimLedger::kMaxClaims;
};

struct OnceSimResult {
  uint64_t decisions = 0;
  uint64_t runs = 0;
  uint64_t replays = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t crashes = 0;
  // The following counts must stay zero.
  uint64_t duplicate_runs = 0;      // runs of a key beyond the first
  uint64_t false_not_run = 0;       // "not run" although a run had started
  uint64_t overlapping_grants = 0;  // grants that the reference model forbids
  uint64_t wrong_replays = 0;       // replayed outcome of another key
};

// Simulates entry VMs with a ledger and a client each, callers that send one
// key through different VMs, and upstreams, in virtual time. Messages are lost,
// delayed, duplicated and reordered; VMs crash, restart, pause and have skewed
// clocks. A reference model that sees every event immediately and keeps all
// state checks each decision.
class OnceSim {
 public:
  explicit OnceSim(const OnceSimOptions& options)
      : options_(options), rng_(options.seed) {
    for (int i = 0; i < options_.vms; ++i) {
      vms_.push_back(std::make_unique<Vm>());
      vms_.back()->id = "vm" + std::to_string(i);
      vms_.back()->skew =
          std::chrono::milliseconds(rng_(4000)) - std::chrono::seconds(2);
      StartVm(i);
    }
  }

  OnceSimResult Run() {
    for (int i = 0; i < options_.keys; ++i) {
      At(Random(options_.length / 2), [this, i] { IssueKey(i); });
    }
    ScheduleCrash();
    SchedulePause();
    for (int i = 0; i < options_.vms; ++i) Tick(i);
    while (!events_.empty() && events_.top().at < TimePoint(options_.length)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return result_;
  }

 private:
  struct Vm {
    std::string id;
    Duration skew{};
    bool alive = false;
    uint64_t incarnation = 0;
    TimePoint paused_until{};
    std::unique_ptr<ClaimLedger> ledger;
    std::unique_ptr<ClaimClient> client;
    std::map<uint64_t, int> requests;  // key by request id
  };
  // State of a key in the reference model.
  struct Key {
    std::string text;
    int active_grants = 0;
    int runs = 0;
    bool may_have_run = false;
    int sends = 0;
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, order_++, std::move(run)});
  }
  bool Chance(double p) { return rng_() < p * 0x1p32; }
  Duration Random(Duration limit) {
    return std::chrono::milliseconds(
        rng_(static_cast<uint32_t>(limit / std::chrono::milliseconds(1)) + 1));
  }
  WallTime Wall(const Vm& vm) const {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::hours(400'000) + now_.time_since_epoch() + vm.skew));
  }
  // Calls `run` in the process: later if it is paused, never if it has ended.
  void RunInProcess(int i, uint64_t incarnation, std::function<void()> run) {
    Vm& vm = *vms_[i];
    if (!vm.alive || vm.incarnation != incarnation) return;
    if (now_ < vm.paused_until) {
      At(vm.paused_until - now_ + Random(std::chrono::milliseconds(5)),
         [this, i, incarnation, run = std::move(run)]() mutable {
           RunInProcess(i, incarnation, std::move(run));
         });
      return;
    }
    run();
  }

  void StartVm(int i) {
    Vm& vm = *vms_[i];
    vm.alive = true;
    vm.incarnation = ++last_incarnation_;
    vm.ledger =
        std::make_unique<ClaimLedger>(vm.incarnation, options_.max_claims);
    vm.client = std::make_unique<ClaimClient>(VmProcess{vm.id, vm.incarnation},
                                              vm.ledger.get());
    vm.requests.clear();
  }

  void ScheduleCrash() {
    At(Random(FromSeconds(2 * options_.mean_crash_s)), [this] {
      ScheduleCrash();
      const int i = static_cast<int>(rng_(options_.vms));
      if (!vms_[i]->alive) return;
      ++result_.crashes;
      vms_[i]->alive = false;
      // Grants of the process stay in use in the reference model, because
      // requests that it sent may still run.
      NotifyDead({vms_[i]->id, vms_[i]->incarnation});
      for (const auto& vm : vms_) {
        if (vm->alive && Chance(options_.false_death)) {
          NotifyDead({vm->id, vm->incarnation});
        }
      }
      At(Random(std::chrono::seconds(10)), [this, i] { StartVm(i); });
    });
  }

  void NotifyDead(const VmProcess& process) {
    for (int i = 0; i < options_.vms; ++i) {
      At(Random(std::chrono::seconds(5)), [this, i, process] {
        RunInProcess(i, vms_[i]->incarnation, [this, i, process] {
          if (process.vm == vms_[i]->id) return;
          vms_[i]->ledger->OnPeerDead(process, now_);
          Handle(i, vms_[i]->client->OnUnreachable(process.vm, now_));
          SendOutbox(i);
        });
      });
    }
  }

  void SchedulePause() {
    At(Random(FromSeconds(2 * options_.mean_pause_s)), [this] {
      SchedulePause();
      Vm& vm = *vms_[rng_(options_.vms)];
      vm.paused_until = now_ + Random(std::chrono::seconds(40));
      // A clock may be set back while the process is paused.
      if (Chance(0.2)) vm.skew -= std::chrono::milliseconds(rng_(700'000));
      if (Chance(0.2)) vm.skew = std::chrono::seconds(0);
    });
  }

  void Tick(int i) {
    At(std::chrono::milliseconds(500), [this, i] { Tick(i); });
    RunInProcess(i, vms_[i]->incarnation, [this, i] {
      Vm& vm = *vms_[i];
      vm.ledger->OnTick(now_, Wall(vm));
      Handle(i, vm.client->OnTick(now_));
      if (Chance(0.05)) {
        vm.client->OnReachable(vms_[rng_(options_.vms)]->id, now_);
      }
      SendOutbox(i);
    });
  }

  void IssueKey(int number) {
    const int i = static_cast<int>(rng_(options_.vms));
    Vm& vm = *vms_[i];
    if (!vm.alive) return;
    Key& key = keys_[number];
    key.text =
        IdempotencyKey::MintPrefix(vm.id, vm.incarnation,
                                   vm.ledger->MintTime(Wall(vm)), "secret") +
        ".k" + std::to_string(number);
    Send(number, i);
    // Retries do not wait for responses.
    for (int n = 1; n < options_.attempts; ++n) {
      At(Random(options_.retry_window), [this, number] {
        Send(number, static_cast<int>(rng_(options_.vms)));
      });
    }
  }

  void Send(int number, int i) {
    const bool is_same_body = !Chance(0.05);  // else reuses the key
    RunInProcess(i, vms_[i]->incarnation, [this, number, i, is_same_body] {
      Vm& vm = *vms_[i];
      ++result_.decisions;
      const auto parsed =
          IdempotencyKey::Parse(keys_[number].text, {"secret"}, Wall(vm));
      if (!parsed) {
        CheckDecision(number, ClaimClient::RefuseKey(parsed.error().code));
        return;
      }
      const ClaimDecision decision =
          vm.client->Begin(*parsed, ClaimDigest("w", keys_[number].text),
                           Sha256(is_same_body ? "body" : "other"),
                           now_ + std::chrono::seconds(5), now_, Wall(vm));
      vm.requests[decision.request_id] = number;
      if (decision.action != ClaimAction::kWait) Handle(i, {decision});
      SendOutbox(i);
    });
  }

  void Handle(int i, const std::vector<ClaimDecision>& decisions) {
    Vm& vm = *vms_[i];
    for (const ClaimDecision& decision : decisions) {
      const int number = vm.requests.at(decision.request_id);
      vm.requests.erase(decision.request_id);
      if (decision.action == ClaimAction::kRun) {
        StartRun(i, number, decision.request_id);
      } else {
        CheckDecision(number, decision);
      }
    }
  }

  void CheckDecision(int number, const ClaimDecision& decision) {
    const Key& key = keys_[number];
    if (decision.action == ClaimAction::kReplay) {
      ++result_.replays;
      const std::string body(decision.outcome.body.begin(),
                             decision.outcome.body.end());
      if (body != key.text || key.runs != 1) ++result_.wrong_replays;
      return;
    }
    RecordOutcome(key, decision.run_outcome);
  }

  void RecordOutcome(const Key& key, RunOutcome outcome) {
    if (outcome == RunOutcome::kUnknown) {
      ++result_.unknown;
      return;
    }
    ++result_.not_run;
    if (key.runs > 0) ++result_.false_not_run;
  }

  void StartRun(int i, int number, uint64_t request_id) {
    Key& key = keys_[number];
    if (key.active_grants > 0 || key.may_have_run) ++result_.overlapping_grants;
    ++key.active_grants;
    const uint64_t incarnation = vms_[i]->incarnation;
    const uint32_t kind = rng_(10);
    const auto finish = [this, i, number, request_id](wire::ClaimEnd end) {
      Key& it = keys_[number];
      wire::StoredOutcomeT outcome;
      outcome.status = 201;
      outcome.body.assign(it.text.begin(), it.text.end());
      --it.active_grants;
      if (end == wire::ClaimEnd::kNotRun) {
        RecordOutcome(it, RunOutcome::kNotRun);
      } else {
        it.may_have_run = true;
      }
      vms_[i]->client->Finish(request_id, end, &outcome, now_);
      SendOutbox(i);
    };
    const Duration wait = Random(std::chrono::milliseconds(500));
    if (kind < 3) {  // no slot, no connection, or shed by the upstream
      At(wait, [this, i, incarnation, finish] {
        RunInProcess(i, incarnation,
                     [finish] { finish(wire::ClaimEnd::kNotRun); });
      });
      return;
    }
    // Queued at the VM first; a crash in this time means no run.
    At(wait, [this, i, number, incarnation, kind, finish] {
      RunInProcess(
          i, incarnation, [this, i, number, incarnation, kind, finish] {
            // Sent: the upstream runs the request even if the VM crashes.
            At(Random(std::chrono::seconds(1)), [this, number] {
              Key& it = keys_[number];
              if (++it.runs > 1) ++result_.duplicate_runs;
              ++result_.runs;
            });
            At(std::chrono::seconds(1) + Random(std::chrono::seconds(2)),
               [this, i, incarnation, kind, finish] {
                 RunInProcess(i, incarnation, [kind, finish] {
                   finish(kind < 5 ? wire::ClaimEnd::kOutcomeUnknown
                                   : wire::ClaimEnd::kCompleted);
                 });
               });
          });
    });
  }

  int IndexOf(const std::string& id) const {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i]->id == id) return static_cast<int>(i);
    }
    return -1;
  }

  // Sends the messages of a client to its peers over the faulty network.
  void SendOutbox(int i) {
    const VmProcess from{vms_[i]->id, vms_[i]->incarnation};
    for (const ClaimMessage& message : vms_[i]->client->TakeOutbox()) {
      const int to = IndexOf(message.vm);
      Transmit([this, i, to, from, body = message.body] {
        RunInProcess(to, vms_[to]->incarnation, [this, i, to, from, body] {
          Vm& home = *vms_[to];
          if (const auto* result = std::get_if<wire::ClaimResultT>(&body)) {
            home.ledger->OnResult(*result, now_);
            return;
          }
          const wire::ClaimReplyT reply = home.ledger->OnClaim(
              from, std::get<wire::ClaimRequestT>(body), now_, Wall(home));
          Transmit([this, i, from, reply, id = home.id] {
            // A link is bound to the incarnations at both ends.
            RunInProcess(i, from.incarnation, [this, i, reply, id] {
              Handle(i, vms_[i]->client->OnReply(id, reply, now_));
              SendOutbox(i);
            });
          });
        });
      });
    }
  }

  void Transmit(const std::function<void()>& deliver) {
    const int copies = Chance(options_.loss)          ? 0
                       : Chance(options_.duplication) ? 2
                                                      : 1;
    for (int n = 0; n < copies; ++n) {
      At(Chance(options_.long_delay) ? Random(std::chrono::seconds(20))
                                     : Random(std::chrono::milliseconds(50)),
         deliver);
    }
  }

  const OnceSimOptions options_;
  pcg32 rng_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<int, Key> keys_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  uint64_t last_incarnation_ = 0;
  TimePoint now_{};
  OnceSimResult result_;
};

}  // namespace rwf
