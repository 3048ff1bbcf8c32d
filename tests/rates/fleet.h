#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/config.h"
#include "rates/share_ledger.h"

namespace rwf {

inline constexpr int64_t kMs = 1'000'000;  // in nanoseconds of true time

// `n` entry VMs, two per zone and two zones per region, with one workspace and
// one instance of 6 slots in each zone.
inline Config FleetConfig(int n, double rate, int64_t burst) {
  Config config;
  config.generation = 1;
  Service service{"desk", {}, {}};
  for (int i = 0; i < n; ++i) {
    const std::string zone = "z" + std::to_string(i / 2);
    const std::string region = "r" + std::to_string(i / 4);
    if (i % 2 == 0) {
      config.zones.push_back({zone, region});
      service.upstreams.push_back({"up" + zone, zone, "127.0.0.1", 1, 6, 400});
    }
    config.entry_vms.push_back({"vm" + std::to_string(i), zone, "127.0.0.1"});
  }
  config.services.push_back(service);
  Workspace workspace;
  workspace.name = "ws";
  workspace.rate = rate;
  workspace.burst = burst;
  config.workspaces.push_back(workspace);
  return config;
}

// One exact token bucket for the whole fleet in true time. It never refuses: a
// negative level is the excess over the limit.
class GlobalBucket {
 public:
  void Advance(int64_t now, double rate, int64_t burst) {
    const __int128 capacity = static_cast<__int128>(burst) * kUnit;
    level_ += static_cast<__int128>(rate * 1e6) * (now - updated_at_) * 1000;
    level_ = std::min(level_, capacity);
    updated_at_ = now;
  }
  void Fill(int64_t burst) { level_ = static_cast<__int128>(burst) * kUnit; }
  void Take() { level_ -= kUnit; }
  // Requests admitted beyond the limit.
  double Excess() const {
    return level_ >= 0 ? 0 : static_cast<double>(-level_) / 1e18;
  }
  double Level() const { return static_cast<double>(level_) / 1e18; }

 private:
  // One request, in units of 1e-18.
  static constexpr __int128 kUnit = 1'000'000'000'000'000'000;
  __int128 level_ = 0;
  int64_t updated_at_ = 0;
};

// Ledgers on virtual time with simulated messages in flight. Each VM has its
// own clock; the caller sets pauses, crashes and partitions.
class Fleet {
 public:
  struct Vm {
    std::string id;
    std::unique_ptr<ShareLedger> ledger;
    std::shared_ptr<const Config> config;
    uint64_t incarnation = 0;
    int drift_ppm = 0;
    int64_t offset = 0;
    bool alive = false;
    bool destroyed = false;  // its kernel does not reply either
    int64_t paused_until = 0;
    int64_t crashed_at = 0;
    uint64_t confirmed_at_crash = 0;
    int64_t next_tick = 0;
    int64_t next_gossip = 0;
    int side = 0;  // of the partition
    ResourceHandle rate;
    std::vector<ResourceHandle> slots;
    std::deque<int64_t> waiting;  // deadlines in true time
    // Newest known incarnation and confirmed generation of each VM.
    std::map<std::string, std::pair<uint64_t, uint64_t>> known;
    uint64_t bytes_sent = 0;
  };
  struct Network {
    int64_t min_delay = 20 * kMs;
    int64_t max_delay = 20 * kMs;
    int loss_percent = 0;
    int duplicate_percent = 0;
    int late_percent = 0;  // by up to 3 s
    bool loans = true;     // false: static shares only
  };

  Fleet(Config config, uint64_t seed) : random_(seed) {
    newest_ = std::make_shared<const Config>(std::move(config));
    configs_[newest_->generation] = newest_;
    entry_vms_since_[newest_->generation] = newest_->generation;
    for (const EntryVm& entry : newest_->entry_vms) AddVm(entry.id);
    global_.Fill(newest_->workspaces[0].burst);
  }

  int64_t Random(int64_t n) { return static_cast<int64_t>(random_() % n); }
  bool Percent(int64_t n) { return Random(100) < n; }

  Vm& AddVm(const std::string& id) {
    Vm& vm = vms_.emplace_back();
    vm.id = id;
    return vm;
  }

  TimePoint LocalTime(const Vm& vm) const {
    return TimePoint(Duration(now_ + now_ / 1'000'000 * vm.drift_ppm +
                              vm.offset + 3'600'000 * kMs));
  }

  bool IsRunning(const Vm& vm) const {
    return vm.alive && now_ >= vm.paused_until;
  }

  void Start(Vm& vm, std::shared_ptr<const Config> config) {
    vm.alive = true;
    vm.incarnation = static_cast<uint64_t>(now_ / kMs) + 1;
    vm.ledger =
        std::make_unique<ShareLedger>(vm.id, vm.incarnation, LocalTime(vm));
    vm.config = nullptr;
    vm.known.clear();
    vm.waiting.clear();
    vm.paused_until = 0;
    vm.next_tick = now_ + Random(10) * kMs;
    Adopt(vm, std::move(config));
  }
  void StartAll() {
    for (Vm& vm : vms_) Start(vm, newest_);
  }

  void Crash(Vm& vm) {
    vm.alive = false;
    vm.crashed_at = now_;
    vm.confirmed_at_crash = vm.ledger->ConfirmedGeneration(LocalTime(vm));
    vm.ledger.reset();
    refused_ += static_cast<int64_t>(vm.waiting.size());
    vm.waiting.clear();
  }

  void Adopt(Vm& vm, std::shared_ptr<const Config> config) {
    if (vm.config && vm.config->generation >= config->generation) return;
    vm.config = std::move(config);
    vm.ledger->ApplyConfig(*vm.config, LocalTime(vm),
                           entry_vms_since_.at(vm.config->generation));
    vm.rate = vm.ledger->Find(wire::ResourceKind::kWorkspaceRate, "ws");
    vm.slots.clear();
    for (const Upstream& upstream : vm.config->services[0].upstreams) {
      vm.slots.push_back(
          vm.ledger->Find(wire::ResourceKind::kUpstreamSlots, upstream.id));
    }
  }

  // Makes `peer` aware of the new process of `vm`, as the peer link over which
  // `vm` fetched its configuration does.
  void AnnounceStart(Vm& vm, const Vm& peer) {
    for (Vm& other : vms_) {
      if (other.id == peer.id) UpdatePeer(other, vm.id, {vm.incarnation, 0});
    }
  }

  // Makes a configuration the newest of the store. A VM applies it by Adopt.
  void Publish(Config config) {
    config.generation = newest_->generation + 1;
    const bool same_list = config.entry_vms == newest_->entry_vms;
    entry_vms_since_[config.generation] =
        same_list ? entry_vms_since_[newest_->generation] : config.generation;
    newest_ = std::make_shared<const Config>(std::move(config));
    configs_[newest_->generation] = newest_;
  }

  // Admits a request at once or not at all, and counts it against the limit.
  bool TryAdmit(Vm& vm, bool retry = false) {
    if (!vm.ledger->TryAdmit(vm.rate, LocalTime(vm), retry)) return false;
    global_.Take();
    ++admitted_;
    excess_ = std::max(excess_, global_.Excess());
    return true;
  }

  // A new request, which waits up to 150 ms if it is not admitted at once.
  void Arrive(Vm& vm) {
    ++offered_;
    if (!vm.alive) {
      ++refused_;
      return;
    }
    if (vm.waiting.empty() && TryAdmit(vm)) return;
    if (!vm.waiting.empty()) vm.ledger->TryAdmit(vm.rate, LocalTime(vm));
    vm.waiting.push_back(now_ + 150 * kMs);
    vm.ledger->SetWaiting(vm.rate, static_cast<int64_t>(vm.waiting.size()));
  }

  // Advances true time by `step`, then delivers due messages and ticks ledgers.
  void Advance(int64_t step) {
    now_ += step;
    AdvanceGlobal();
    Deliver();
    for (Vm& vm : vms_) {
      if (!IsRunning(vm)) continue;
      Drain(vm);
      if (now_ >= vm.next_gossip) Gossip(vm);
      if (now_ >= vm.next_tick || vm.ledger->NeedsTick()) Tick(vm);
    }
  }

  // Configurations in force anywhere, whose highest rate is the limit. They
  // include those that a VM does not conform to yet and those behind the loans
  // of a crashed VM.
  std::vector<const Config*> InForce() {
    std::vector<const Config*> out;
    for (Vm& vm : vms_) {
      if (!vm.config || (!vm.alive && now_ - vm.crashed_at > 2000 * kMs))
        continue;
      const uint64_t conforms =
          vm.alive ? vm.ledger->ConfirmedGeneration(LocalTime(vm))
                   : vm.confirmed_at_crash;
      const uint64_t from = conforms == 0 ? vm.config->generation : conforms;
      for (uint64_t g = from; g <= vm.config->generation; ++g) {
        out.push_back(configs_[g].get());
      }
    }
    return out;
  }

  std::vector<Vm>& vms() { return vms_; }
  Network& network() { return network_; }
  const GlobalBucket& global() const { return global_; }
  const std::shared_ptr<const Config>& newest() const { return newest_; }
  int64_t now() const { return now_; }
  double excess() const { return excess_; }
  int64_t offered() const { return offered_; }
  int64_t refused() const { return refused_; }
  int64_t admitted() const { return admitted_; }
  void ResetCounts() { offered_ = refused_ = admitted_ = 0; }
  // Number of loan items with tokens or slots.
  int64_t lent() const { return lent_; }
  uint64_t messages() const { return messages_; }
  uint64_t bytes() const { return bytes_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct Probe {
    TimePoint attempted_at;
  };
  struct ProbeResult {
    TimePoint attempted_at;
    bool refused = false;
  };
  using KnownPeers = std::map<std::string, std::pair<uint64_t, uint64_t>>;
  struct Message {
    size_t from = 0;
    size_t to = 0;
    uint64_t incarnation = 0;  // of the sender
    std::variant<wire::LoanRequestT, wire::LoanGrantT, wire::LoanReturnT,
                 KnownPeers, Probe, ProbeResult>
        body;
  };

  size_t IndexOf(const std::string& id) const {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i].id == id) return i;
    }
    return vms_.size();
  }

  template <typename T>
  static uint64_t SizeOf(const T& table) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(T::TableType::Pack(builder, &table));
    return builder.GetSize() + 4;  // with the length prefix of the frame
  }

  void Send(size_t from, size_t to, decltype(Message::body) body) {
    if (to >= vms_.size() || vms_[from].side != vms_[to].side) return;
    if (Percent(network_.loss_percent)) return;
    const int copies = Percent(network_.duplicate_percent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      int64_t delay = network_.min_delay;
      const int64_t range = network_.max_delay - network_.min_delay;
      if (range > 0) delay += Random(range);
      if (Percent(network_.late_percent)) delay += Random(3000 * kMs);
      in_flight_messages_.emplace(
          now_ + delay, Message{from, to, vms_[from].incarnation, body});
    }
  }

  template <typename T>
  void SendLoan(size_t from, const std::string& to, const T& table) {
    if (!network_.loans) return;
    const uint64_t n = SizeOf(table);
    ++messages_;
    bytes_ += n;
    Send(from, IndexOf(to), table);
  }

  void Tick(Vm& vm) {
    const size_t self = static_cast<size_t>(&vm - vms_.data());
    const TimePoint now = LocalTime(vm);
    for (LoanMessages& out : vm.ledger->Tick(now)) {
      if (out.loan_return) SendLoan(self, out.peer, *out.loan_return);
      if (out.request) SendLoan(self, out.peer, *out.request);
    }
    if (network_.loans) {
      for (const std::string& id : vm.ledger->VmsToProbe(now)) {
        Send(self, IndexOf(id), Probe{now});
      }
    }
    vm.next_tick = now_ + (vm.waiting.empty() ? 100 : 10) * kMs;
  }

  void Gossip(Vm& vm) {
    vm.next_gossip = now_ + 250 * kMs;
    vm.known[vm.id] = {vm.incarnation,
                       vm.ledger->ConfirmedGeneration(LocalTime(vm))};
    const size_t self = static_cast<size_t>(&vm - vms_.data());
    for (size_t to = 0; to < vms_.size(); ++to) {
      if (to != self) Send(self, to, vm.known);
    }
  }

  void UpdatePeer(Vm& vm, const std::string& id,
                  std::pair<uint64_t, uint64_t> update) {
    if (id == vm.id) return;
    auto& known = vm.known[id];
    if (update <= known) return;
    known = update;
    vm.ledger->SetConfirmed(id, update.second, LocalTime(vm));
  }

  void Drain(Vm& vm) {
    const size_t before = vm.waiting.size();
    while (!vm.waiting.empty() && TryAdmit(vm, true)) vm.waiting.pop_front();
    while (!vm.waiting.empty() && vm.waiting.front() < now_) {
      vm.waiting.pop_front();
      ++refused_;
    }
    if (vm.waiting.size() == before) return;
    vm.ledger->SetWaiting(vm.rate, static_cast<int64_t>(vm.waiting.size()));
  }

  void Deliver() {
    while (!in_flight_messages_.empty() &&
           in_flight_messages_.begin()->first <= now_) {
      Message message = std::move(in_flight_messages_.begin()->second);
      in_flight_messages_.erase(in_flight_messages_.begin());
      Vm& to = vms_[message.to];
      if (to.side != vms_[message.from].side) continue;
      if (auto* probe = std::get_if<Probe>(&message.body)) {
        // The kernel replies, also for a paused process.
        if (to.destroyed) continue;
        Send(message.to, message.from,
             ProbeResult{probe->attempted_at, !to.alive});
        continue;
      }
      if (!to.alive) continue;
      if (!IsRunning(to)) {
        in_flight_messages_.emplace(to.paused_until, std::move(message));
        continue;
      }
      Handle(to, message);
    }
  }

  void Handle(Vm& to, const Message& message) {
    const Vm& from = vms_[message.from];
    const TimePoint now = LocalTime(to);
    if (const auto* result = std::get_if<ProbeResult>(&message.body)) {
      if (result->attempted_at < LocalTime(to) - std::chrono::seconds(60))
        return;
      if (result->refused) {
        to.ledger->OnPeerRefused(from.id, result->attempted_at, now);
      } else {
        to.ledger->OnPeerAccepted(from.id, now);
      }
      return;
    }
    if (const auto* known = std::get_if<KnownPeers>(&message.body)) {
      for (const auto& [id, update] : *known) {
        if (id != from.id) UpdatePeer(to, id, update);
      }
      const auto it = known->find(from.id);
      if (it != known->end()) UpdatePeer(to, from.id, it->second);
      return;
    }
    if (const auto* request = std::get_if<wire::LoanRequestT>(&message.body)) {
      const wire::LoanGrantT grant =
          to.ledger->OnLoanRequest(from.id, *request, now);
      if (!grant.grants.empty() || !request->asks.empty()) {
        SendLoan(message.to, from.id, grant);
        for (const auto& item : grant.grants) lent_ += item->level > 0 ? 1 : 0;
      }
    } else if (const auto* grant =
                   std::get_if<wire::LoanGrantT>(&message.body)) {
      to.ledger->OnLoanGrant(from.id, *grant, now);
    } else if (const auto* loan_return =
                   std::get_if<wire::LoanReturnT>(&message.body)) {
      to.ledger->OnLoanReturn(from.id, *loan_return, now);
    }
  }

  void AdvanceGlobal() {
    double rate = 0;
    int64_t burst = 0;
    for (const Config* config : InForce()) {
      rate = std::max(rate, config->workspaces[0].rate);
      burst = std::max(burst, config->workspaces[0].burst);
    }
    global_.Advance(now_, rate, burst);
  }

  std::mt19937_64 random_;
  int64_t now_ = 0;
  std::vector<Vm> vms_;
  Network network_;
  std::shared_ptr<const Config> newest_;
  std::map<uint64_t, std::shared_ptr<const Config>> configs_;
  std::map<uint64_t, uint64_t> entry_vms_since_;
  std::multimap<int64_t, Message> in_flight_messages_;
  GlobalBucket global_;
  double excess_ = 0;
  int64_t offered_ = 0;
  int64_t refused_ = 0;
  int64_t admitted_ = 0;
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
  int64_t lent_ = 0;
};

}  // namespace rwf
