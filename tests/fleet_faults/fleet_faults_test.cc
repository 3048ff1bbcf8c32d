// Limits of workspaces over real links and a store with leases, under faults.
// The order of events is drawn at random; what is checked holds for any order.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_faults/tcp_path.h"
#include "gateway/fleet.h"
#include "gateway/limit_codec.h"
#include "gateway/registration.h"
#include "gateway/shared_store.h"
#include "gateway/store_watch.h"
#include "traffic/key_freshness.h"
#include "traffic/notices.h"

namespace rwf {
namespace {

constexpr size_t kVms = 3;
constexpr uint16_t kPeerPort = 7560;
constexpr const char* kSecret = "secret";
constexpr const char* kVmPrefix = "rwf/vm/";
constexpr double kRate = 60;
constexpr double kBurst = 60;
constexpr LimitTolerance kTolerance{0.1, 20, std::chrono::seconds(5)};
constexpr Duration kKeyFreshness = std::chrono::milliseconds(3500);
constexpr Duration kLoadInterval = std::chrono::milliseconds(10);
// Requests per second of each workspace at each VM.
constexpr unsigned kOffered = 45;

constexpr Duration Seconds(double n) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n));
}

// Each of the six orders of three VMs as keepers occurs among these names.
std::vector<TrafficWorkspace> Workspaces() {
  std::vector<TrafficWorkspace> out;
  for (const int n : {0, 1, 2, 4, 5, 9}) {
    TrafficWorkspace it;
    it.name = "tenant" + std::to_string(n);
    it.rate = kRate;
    it.burst = kBurst;
    out.push_back(it);
  }
  return out;
}

// The part of a VM that holds workspaces to their limits, connected as in
// Gateway.
class LimitedVm {
 public:
  LimitedVm(EventLoop* loop, SharedStore* store, EventLog* log,
            const FleetVm& info, uint64_t seed,
            const std::function<void(FleetVm*)>& route,
            std::function<void(const std::string&)> on_admitted)
      : connection(loop, store, seed),
        limiter(info.vm, EventLoop::Now()),
        fleet(loop, info, &limiter, &notices, log),
        loop_(loop),
        rng_(seed),
        on_admitted_(std::move(on_admitted)),
        watch_(loop, &connection, &EventLoop::Now),
        registration_(loop, &connection, kVmPrefix + info.vm,
                      FormatFleetVm(info)) {
    limiter.SetTolerance(kTolerance);
    limiter.SetLimits(Workspaces(), EventLoop::Now());
    watch_.signal_item.connect([this, route](const StoreItem& it) {
      if (!it.key.starts_with(kVmPrefix)) return;
      auto peer =
          ParseFleetVm(it.key.substr(std::string(kVmPrefix).size()), it.value);
      if (!peer) return;
      route(&*peer);
      fleet.OnListed(*peer);
    });
    watch_.signal_removed.connect([this](const std::string& key) {
      fleet.OnUnlisted(key.substr(std::string(kVmPrefix).size()));
    });
    watch_.signal_change.connect(
        [this](const StoreItem& it) { registration_.OnChange(it); });
    watch_.signal_loaded.connect([this] {
      registration_.OnLoaded();
      if (!fleet.is_started()) static_cast<void>(fleet.Start(kSecret));
    });
    watch_.signal_confirmed.connect(
        [this](TimePoint t) { freshness_.OnConfirmed(t); });
    fleet.signal_limit_claims.connect(
        [this](const std::string& vm, const wire::LimitClaimsT& it) {
          wire::BodyUnion body;
          body.Set(ToWire(limiter.OnClaims(FromWire(it), EventLoop::Now())));
          fleet.Send(vm, std::move(body));
          Flush();
        });
    fleet.signal_limit_reply.connect(
        [this](const std::string& vm, const wire::LimitReplyT& it) {
          limiter.OnReply(vm, FromWire(it), EventLoop::Now());
          Flush();
        });
  }
  void Start() {
    watch_.Start();
    registration_.Start();
    timers_.push_back(loop_->Every(WorkspaceLimiter::kClaimInterval,
                                   [this] { TickLimits(); }));
    timers_.push_back(loop_->Every(std::chrono::milliseconds(150), [this] {
      const bool is_ready = watch_.is_loaded();
      fleet.SetOwnState({is_ready, false, IsFresh(), false, 1, {}});
    }));
    timers_.push_back(loop_->Every(kLoadInterval, [this] { Offer(); }));
  }
  bool IsFresh() const { return freshness_.IsFresh(EventLoop::Now()); }

  StoreConnection connection;
  WorkspaceLimiter limiter;
  InstanceNotices notices;
  Fleet fleet;

 private:
  void TickLimits() {
    const TimePoint now = EventLoop::Now();
    const bool was_settled = limiter.is_settled();
    limiter.SetPeers(fleet.LimitPeers(), now);
    limiter.SetRegistered(registration_.IsConfirmed(now),
                          registration_.IsKnownToAll(now), now);
    limiter.Tick(now);
    if (!was_settled && limiter.is_settled()) fleet.SendReports();
    Flush();
  }
  void Flush() {
    for (WorkspaceLimiter::Message& it : limiter.TakeMessages()) {
      wire::BodyUnion body;
      body.Set(ToWire(it.claims));
      fleet.Send(it.vm, std::move(body));
    }
    const LimitReply changes{0, limiter.TakeChanges(EventLoop::Now())};
    if (!changes.verdicts.empty()) {
      wire::MessageT message;
      message.body.Set(ToWire(changes));
      fleet.SendToAll(message);
    }
    for (const WorkspaceLimiter::Decision& it : limiter.TakeDecisions()) {
      const std::string workspace = waiting_[it.ticket];
      waiting_.erase(it.ticket);
      if (it.is_admitted) on_admitted_(workspace);
    }
  }
  void Offer() {
    if (!IsFresh()) return;
    static const std::vector<TrafficWorkspace> kWorkspaces = Workspaces();
    const TimePoint now = EventLoop::Now();
    for (const TrafficWorkspace& it : kWorkspaces) {
      if (rng_() % 100 >= kOffered) continue;
      const uint64_t ticket = ++last_ticket_;
      const auto admission = limiter.Admit(it.name, ticket, now).admission;
      if (admission == WorkspaceLimiter::Admission::kAdmitted)
        on_admitted_(it.name);
      if (admission == WorkspaceLimiter::Admission::kWaiting)
        waiting_[ticket] = it.name;
    }
    Flush();
  }

  EventLoop* loop_;
  std::mt19937_64 rng_;
  std::function<void(const std::string&)> on_admitted_;
  KeyFreshness freshness_{kKeyFreshness};
  StoreWatch watch_;
  Registration registration_;
  std::map<uint64_t, std::string> waiting_;  // workspace by ticket
  uint64_t last_ticket_ = 0;
  std::vector<std::unique_ptr<Timer>> timers_;
};

// Three VMs, the paths between them and their store.
class LimitedFleet {
 public:
  LimitedFleet(EventLoop* loop, EventLog* log, std::string network,
               uint64_t seed)
      : loop_(loop), log_(log), network_(std::move(network)), rng_(seed) {
    for (size_t from = 0; from < kVms; ++from) {
      for (size_t to = 0; to < kVms; ++to) {
        if (from == to) continue;
        paths_[{from, to}] = std::make_unique<TcpPath>(
            loop, PathAddress(from, to), AddressOf(to), kPeerPort);
        REQUIRE(paths_[{from, to}]->is_open);
      }
    }
    for (size_t n = 0; n < kVms; ++n) Start(n);
  }

  void After(double seconds, std::function<void()> action) {
    timers_.push_back(loop_->After(Seconds(seconds), std::move(action)));
  }
  double Random(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(rng_);
  }
  size_t RandomVm() { return rng_() % kVms; }

  void Kill(size_t n) { vms_[n].reset(); }
  void Start(size_t n, double late_write_s = 0) {
    if (vms_[n] != nullptr) return;
    FleetVm info;
    info.vm = NameOf(n);
    info.zone = info.region = "r" + std::to_string(n);
    info.address = AddressOf(n);
    info.front_port = 1;
    info.peer_port = kPeerPort;
    info.incarnation = ++incarnations_;
    vms_[n] = std::make_unique<LimitedVm>(
        loop_, &store_, log_, info, rng_(),
        [this, n](FleetVm* peer) { Route(n, peer); },
        [this](const std::string& workspace) { Count(workspace); });
    vms_[n]->connection.is_cut = is_store_cut_[n];
    vms_[n]->connection.late_write_delay = Seconds(late_write_s);
    vms_[n]->Start();
  }
  void DelayNextWrite(size_t n, double seconds) {
    if (vms_[n] != nullptr)
      vms_[n]->connection.late_write_delay = Seconds(seconds);
  }
  void CutStore(size_t n, bool is_cut) {
    is_store_cut_[n] = is_cut;
    if (vms_[n] != nullptr) vms_[n]->connection.is_cut = is_cut;
  }
  void CutPath(size_t a, size_t b, bool is_cut) {
    paths_.at({a, b})->SetCut(is_cut);
    paths_.at({b, a})->SetCut(is_cut);
  }
  void CutOff(size_t n, bool is_cut) {
    for (size_t other = 0; other < kVms; ++other) {
      if (other != n) CutPath(n, other, is_cut);
    }
    CutStore(n, is_cut);
  }

  // Draws faults that begin within `seconds`; all have ended 8 s later.
  void DrawFaults(double begin, double seconds) {
    for (double at = begin; at < begin + seconds; at += Random(0.2, 4)) {
      const size_t n = RandomVm();
      const size_t other = (n + 1 + rng_() % (kVms - 1)) % kVms;
      const double length = Random(0.3, 8);
      switch (rng_() % 5) {
        case 0:
          Between(at, length, [this, n](bool on) { CutOff(n, on); });
          break;
        case 1:
          Between(at, length,
                  [this, n, other](bool on) { CutPath(n, other, on); });
          break;
        case 2:
          Between(at, length, [this, n](bool on) { CutStore(n, on); });
          break;
        case 3: {
          const double late = rng_() % 2 == 0 ? Random(1, 6) : 0;
          After(at, [this, n] { Kill(n); });
          After(at + 0.5, [this, n, late] { Start(n, late); });
          break;
        }
        default:
          After(at,
                [this, n, late = Random(1, 6)] { DelayNextWrite(n, late); });
      }
    }
  }

  // The first window in which more was admitted than the limit allows.
  std::string excess;
  // Returns why the VMs do not act as one fleet; empty if they do.
  std::string Disagreement() {
    for (const TrafficWorkspace& it : Workspaces()) {
      std::set<std::string> keepers;
      for (const auto& vm : vms_) {
        if (vm == nullptr) return "a VM is not running";
        if (vm->fleet.size() != kVms - 1 || !vm->fleet.HasLinks(kVms - 1))
          return "a VM lacks a peer or a link";
        if (!vm->limiter.is_registered()) return "a VM is not registered";
        keepers.insert(vm->limiter.KeeperOf(it.name));
      }
      if (keepers.size() != 1) return it.name + " has several keepers";
    }
    return "";
  }

 private:
  static std::string NameOf(size_t n) {
    return std::string("front-") + "abc"[n];
  }
  std::string AddressOf(size_t n) const {
    return network_ + "." + std::to_string(n + 1);
  }
  std::string PathAddress(size_t from, size_t to) const {
    return network_ + "." + std::to_string(100 + 10 * from + to);
  }
  void Route(size_t reader, FleetVm* peer) const {
    for (size_t to = 0; to < kVms; ++to) {
      if (to != reader && NameOf(to) == peer->vm)
        peer->address = PathAddress(reader, to);
    }
  }
  void Between(double at, double length, const std::function<void(bool)>& set) {
    After(at, [set] { set(true); });
    After(at + length, [set] { set(false); });
  }
  void Count(const std::string& workspace) {
    const TimePoint now = EventLoop::Now();
    std::deque<TimePoint>& times = admitted_[workspace];
    times.push_back(now);
    while (now - times.front() > kTolerance.window) times.pop_front();
    const double bound = (kRate * ToSeconds(kTolerance.window) + kBurst) *
                             (1 + kTolerance.ratio) +
                         kTolerance.requests;
    if (excess.empty() && static_cast<double>(times.size()) > bound) {
      excess = workspace + " at " + std::to_string(ToSeconds(now - begin_)) +
               " s: more than " + std::to_string(bound) + " in 5 s";
    }
  }

  EventLoop* loop_;
  EventLog* log_;
  std::string network_;
  std::mt19937_64 rng_;
  TimePoint begin_ = EventLoop::Now();
  SharedStore store_{loop_};
  uint64_t incarnations_ = 0;
  std::map<std::pair<size_t, size_t>, std::unique_ptr<TcpPath>> paths_;
  std::array<bool, kVms> is_store_cut_{};
  std::array<std::unique_ptr<LimitedVm>, kVms> vms_;
  std::map<std::string, std::deque<TimePoint>> admitted_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

class FleetFaultsFixture {
 protected:
  // All faults have ended by then; the calm after it covers a lease and the
  // time for which a VM without an entry counts.
  static constexpr double kFaultsEnd = 24;
  static constexpr double kEnd = 42;

  FleetFaultsFixture() {
    const char* seeds = std::getenv("RWF_FLEET_FAULT_SEEDS");
    if (seeds != nullptr) random_fleets = std::strtoull(seeds, nullptr, 10);
    const char* first = std::getenv("RWF_FLEET_FAULT_FIRST");
    if (first != nullptr) first_seed = std::strtoull(first, nullptr, 10);
  }
  LimitedFleet* Add(const std::string& name, uint64_t seed) {
    const std::string network = "127." + std::to_string(2 + getpid() % 250) +
                                "." + std::to_string(fleets.size() + 1);
    fleets.emplace_back(
        name, std::make_unique<LimitedFleet>(&loop, &log, network, seed));
    return fleets.back().second.get();
  }
  void RunAndCheck() {
    const auto timer = loop.After(Seconds(kEnd), [this] { loop.Stop(); });
    loop.Run();
    for (const auto& it : fleets) {
      CAPTURE(it.first);
      CHECK(it.second->excess == "");
      CHECK(it.second->Disagreement() == "");
    }
  }

  EventLoop loop;
  EventLog log{&loop, open("/dev/null", O_WRONLY), "v"};
  uint64_t random_fleets = 6;
  uint64_t first_seed = 1;
  std::vector<std::pair<std::string, std::unique_ptr<LimitedFleet>>> fleets;
};

// Guards against two keepers of one limit: after a VM was cut off, if a link is
// taken for down that is up; after a write of a former process took effect
// late, if the entry of the present one is lost.
TEST_CASE_FIXTURE(FleetFaultsFixture,
                  "Limits, VMs are cut off and restarted, stay within bounds") {
  LimitedFleet* cut = Add("one VM cut off", 1);
  cut->After(8, [cut] { cut->CutOff(0, true); });
  cut->After(15.5, [cut] { cut->CutOff(0, false); });
  LimitedFleet* restarted = Add("restarts and a late write", 2);
  restarted->After(8, [restarted] { restarted->Kill(2); });
  restarted->After(8.5, [restarted] { restarted->Start(2, 6); });
  restarted->After(11, [restarted] { restarted->Kill(2); });
  restarted->After(11.5, [restarted] { restarted->Start(2); });
  for (uint64_t n = 0; n < random_fleets; ++n) {
    const uint64_t seed = first_seed + n;
    Add("seed " + std::to_string(seed), seed)->DrawFaults(6, kFaultsEnd - 14);
  }
  RunAndCheck();
}

}  // namespace
}  // namespace rwf
