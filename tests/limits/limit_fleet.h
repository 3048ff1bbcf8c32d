#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "traffic/workspace_limiter.h"

namespace rwf {

// Simulates the limiters of a fleet in three regions on virtual time: messages
// take the delay of their path, VMs report their scarce limits once per period,
// and links come up and break as links over TCP do.
class LimitFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kWindow = std::chrono::seconds(5);
  static constexpr size_t kRegions = 3;
  // Time after its start within which a VM has its links.
  static constexpr Duration kLinkTime = std::chrono::milliseconds(300);
  static constexpr Duration kDelayInRegion = std::chrono::milliseconds(2);
  static constexpr Duration kDelayBetweenRegions =
      std::chrono::milliseconds(22);
  // A VM without the store accepts keys for this long.
  static constexpr Duration kKeyFreshness = std::chrono::milliseconds(3500);
  static constexpr Duration kOverdueMargin = std::chrono::milliseconds(200);
  static constexpr Duration kReportDelayMargin = std::chrono::milliseconds(300);
  // Entries in the store, as Registration and Fleet handle them.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(2500);
  static constexpr Duration kFenceTime = std::chrono::milliseconds(6500);
  static constexpr Duration kVisibleDelay = std::chrono::seconds(4);
  static constexpr Duration kDepartedPeerRetention = std::chrono::seconds(6);
  // Time by which the view of the store is behind.
  static constexpr Duration kViewInterval = std::chrono::milliseconds(700);
  static constexpr Duration kPeerUpdateInterval =
      std::chrono::milliseconds(100);

  LimitFleet(size_t vms, std::vector<TrafficWorkspace> workspaces,
             uint64_t seed = 7)
      : workspaces_(std::move(workspaces)), random_(seed) {
    report_period_ =
        std::max<Duration>(std::chrono::milliseconds(100),
                           FromSeconds(static_cast<double>(vms) / 120));
    times_.resize(workspaces_.size());
    worst_window.resize(workspaces_.size());
    for (size_t n = 0; n < vms; ++n) {
      vms_.emplace_back();
      vms_[n].name = "vm" + std::to_string(n);
      vms_[n].linked_at.resize(vms);
      vms_[n].heard_at.resize(vms);
      vms_[n].keeps.resize(vms);
      vms_[n].listed.resize(vms, true);
      vms_[n].unlisted_at.resize(vms);
      vms_[n].unregistered.resize(vms);
      vms_[n].passed_over.resize(vms);
      vms_[n].is_cut_to.resize(vms);
      vms_[n].extra_delay.resize(vms);
      vms_[n].registered_since = now_ - kVisibleDelay;
    }
    for (size_t n = 0; n < vms; ++n) Start(n);
  }

  size_t size() const { return vms_.size(); }
  TimePoint now() const { return now_; }
  Duration report_period() const { return report_period_; }

  // Replaces the process. Its peers see the old links close.
  void Start(size_t n) {
    Vm& vm = vms_[n];
    ++vm.incarnation;
    vm.limiter = std::make_unique<WorkspaceLimiter>(vm.name, now_);
    vm.limiter->SetTolerance({0.1, 20, kWindow});
    vm.limiter->SetLimits(workspaces_, now_);
    vm.limiter->SetReportDelay(report_period_ / 2 + kReportDelayMargin);
    vm.started_at = vm.registered_since = now_;
    // The view is loaded and the entry written at the next step with the store.
    vm.view_at = vm.renewed_at = now_ - kLeaseTtl;
    vm.store_at = now_;
    vm.sent_passed_over = nullptr;
    vm.is_running = true;
    vm.is_silent = false;
    vm.waiting.clear();
    vm.was_settled = false;
    vm.report_at = now_ + FromSeconds(Uniform() * ToSeconds(report_period_));
    for (size_t k = 0; k < vms_.size(); ++k) {
      if (k == n) continue;
      Link(n, k);
      // The first report on the link tells whether the peer keeps limits.
      vm.keeps[k] = vms_[k].was_settled;
      vms_[k].keeps[n] = false;
    }
  }
  // The process ends and its kernel closes the links.
  void Kill(size_t n) {
    vms_[n].is_running = false;
    for (size_t k = 0; k < vms_.size(); ++k) {
      if (IsOpen(n, k)) vms_[k].linked_at[n] = TimePoint::max();
    }
  }
  // The VM loses power: its links stay open and silent.
  void PowerOff(size_t n) {
    vms_[n].is_running = false;
    vms_[n].is_silent = true;
  }
  // The process does not run, and goes on with its state.
  void Freeze(size_t n) { vms_[n].is_frozen = true; }
  void Wake(size_t n) { vms_[n].is_frozen = false; }
  // VMs of different groups receive nothing from each other. Group 0 has the
  // store; in the others keys are not confirmed any more.
  void SetGroup(size_t n, int group) {
    vms_[n].group = group;
    LinkAgain();
  }
  // Drops everything that `n` sends to `k`.
  void SetCut(size_t n, size_t k, bool is_cut) {
    vms_[n].is_cut_to[k] = is_cut;
    if (!is_cut) LinkAgain();
  }
  void SetExtraDelay(size_t n, size_t k, Duration delay) {
    vms_[n].extra_delay[k] = delay;
  }
  void SetStore(size_t n, bool has_store) { vms_[n].has_store = has_store; }
  // Renewals of the entry fail while the view of the store stays current.
  void SetRenewals(size_t n, bool work) { vms_[n].can_renew = work; }

  // Runs for a time. `demand(vm, workspace)` is in requests per second.
  template <typename Demand>
  void Run(Duration time, Demand demand) {
    std::vector<double> means;
    std::vector<std::discrete_distribution<size_t>> picks;
    for (size_t w = 0; w < workspaces_.size(); ++w) {
      std::vector<double> weights;
      double sum = 0;
      for (size_t n = 0; n < vms_.size(); ++n) {
        weights.push_back(demand(n, w));
        sum += weights.back();
      }
      means.push_back(sum * ToSeconds(kStep));
      picks.emplace_back(weights.begin(), weights.end());
    }
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      for (size_t w = 0; w < workspaces_.size(); ++w) {
        if (means[w] <= 0) continue;
        std::poisson_distribution<int> arrivals(means[w]);
        for (int k = arrivals(random_); k > 0; --k)
          Arrive(picks[w](random_), w);
      }
      for (size_t n = 0; n < vms_.size(); ++n) {
        Vm& vm = vms_[n];
        if (!vm.is_running || vm.is_frozen) continue;
        UseStore(n);
        if (now_ >= vm.tick_at) {
          vm.tick_at = now_ + WorkspaceLimiter::kClaimInterval;
          if (now_ >= vm.peers_at) {
            vm.peers_at = now_ + kPeerUpdateInterval;
            vm.limiter->SetPeers(PeersOf(n), now_);
          }
          vm.limiter->SetRegistered(now_ - vm.renewed_at < kFenceTime,
                                    now_ - vm.registered_since >= kVisibleDelay,
                                    now_);
          vm.limiter->Tick(now_);
        }
        const bool is_settled = vm.limiter->is_settled();
        const bool is_urgent =
            vm.limiter->passed_over() != vm.sent_passed_over &&
            now_ >= vm.report_at - report_period_ / 2;
        if (is_settled != vm.was_settled || now_ >= vm.report_at || is_urgent)
          Report(n);
        vm.was_settled = is_settled;
        Flush(n);
      }
      for (size_t w = 0; w < workspaces_.size(); ++w) {
        while (!times_[w].empty() && times_[w].front() <= now_ - kWindow)
          times_[w].pop_front();
        worst_window[w] = std::max(worst_window[w], times_[w].size());
      }
    }
  }

  void ResetCounts() {
    requested = admitted = messages = bytes = 0;
    longest_wait = {};
  }
  double RefusedFraction() const {
    return requested == 0 ? 0
                          : 1 - static_cast<double>(admitted) /
                                    static_cast<double>(requested);
  }
  // Most requests that may be admitted in a window.
  size_t MaxAdmitted(size_t w) const {
    const TrafficWorkspace& it = workspaces_[w];
    return static_cast<size_t>((it.rate * ToSeconds(kWindow) + it.burst) * 1.1 +
                               20);
  }
  bool IsWithinBounds() const {
    for (size_t w = 0; w < workspaces_.size(); ++w) {
      if (worst_window[w] > MaxAdmitted(w)) return false;
    }
    return true;
  }
  // Returns the VM that most VMs take for the keeper.
  size_t KeeperOf(size_t w) {
    std::map<std::string, size_t> votes;
    for (Vm& it : vms_) {
      if (it.is_running) ++votes[it.limiter->KeeperOf(workspaces_[w].name)];
    }
    const auto best = std::max_element(
        votes.begin(), votes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    return static_cast<size_t>(std::stoul(best->first.substr(2)));
  }
  // Returns how many VMs keep the limit.
  size_t KeepersOf(size_t w) {
    std::set<std::string> out;
    for (Vm& it : vms_) {
      if (it.is_running) out.insert(it.limiter->KeeperOf(workspaces_[w].name));
    }
    return out.size();
  }
  const WorkspaceLimiter& limiter(size_t n) const { return *vms_[n].limiter; }

  // Whether requests need a key, which is accepted only with a current view of
  // the store.
  bool needs_keys = true;

  size_t requested = 0;
  size_t admitted = 0;
  size_t messages = 0;
  size_t bytes = 0;  // of names and figures, without framing
  Duration longest_wait{};
  std::vector<size_t> worst_window;  // by workspace

 private:
  struct Vm {
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<WorkspaceLimiter> limiter;
    TimePoint started_at{};
    bool is_running = false;
    bool is_silent = false;
    bool is_frozen = false;
    int group = 0;
    bool has_store = true;
    bool can_renew = true;
    TimePoint store_at{};    // next use of the store
    TimePoint view_at{};     // of the store
    TimePoint renewed_at{};  // own entry
    TimePoint registered_since{};
    TimePoint entry_end{};  // in the store
    TimePoint tick_at{};
    TimePoint peers_at{};
    TimePoint report_at{};
    std::vector<TimePoint> linked_at;  // by peer
    std::vector<TimePoint> heard_at;
    std::vector<bool> keeps;  // as reported
    std::vector<bool> listed;
    std::vector<TimePoint> unlisted_at;
    std::vector<bool> unregistered;  // as reported
    std::vector<std::shared_ptr<const std::set<std::string>>> passed_over;
    std::shared_ptr<const std::set<std::string>> sent_passed_over;
    std::vector<bool> is_cut_to;
    std::vector<Duration> extra_delay;
    bool was_settled = false;
    std::map<WorkspaceLimiter::Ticket, std::pair<size_t, TimePoint>> waiting;
  };
  enum class Kind : uint8_t { kClaims, kReply, kReport };
  struct Packet {
    size_t from = 0;
    size_t to = 0;
    uint64_t from_incarnation = 0;
    uint64_t to_incarnation = 0;
    Kind kind = Kind::kClaims;
    LimitClaims claims;
    LimitReply reply;
    std::vector<std::string> scarce;
    bool keeps_limits = false;
    bool is_unregistered = false;
    std::shared_ptr<const std::set<std::string>> passed_over;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  // Whether packets pass in both directions.
  bool IsOpen(size_t n, size_t k) const {
    return vms_[n].group == vms_[k].group && !vms_[n].is_cut_to[k] &&
           !vms_[k].is_cut_to[n];
  }
  void Link(size_t n, size_t k) {
    const TimePoint up_at =
        IsOpen(n, k) ? now_ + FromSeconds(Uniform() * ToSeconds(kLinkTime))
                     : kUnlinked;
    vms_[n].heard_at[k] = vms_[k].heard_at[n] = now_;
    vms_[n].linked_at[k] = vms_[k].linked_at[n] = up_at;
    vms_[n].passed_over[k] = vms_[k].passed_over[n] = nullptr;
  }
  void LinkAgain() {
    for (size_t n = 0; n < vms_.size(); ++n) {
      for (size_t k = n + 1; k < vms_.size(); ++k) {
        const bool is_down = vms_[n].linked_at[k] == kUnlinked ||
                             vms_[k].linked_at[n] == kUnlinked;
        if (is_down && IsOpen(n, k)) Link(n, k);
      }
    }
  }
  void UseStore(size_t n) {
    Vm& vm = vms_[n];
    if (vm.group != 0 || !vm.has_store || now_ < vm.store_at) return;
    vm.store_at = now_ + kViewInterval;
    if (vm.can_renew && now_ - vm.renewed_at >= kRenewInterval) {
      if (vm.entry_end < now_) vm.registered_since = now_;
      vm.renewed_at = now_;
      vm.entry_end = now_ + kLeaseTtl;
    }
    vm.view_at = now_;
    for (size_t k = 0; k < vms_.size(); ++k) {
      const bool is_listed = vms_[k].entry_end > now_;
      if (vm.listed[k] && !is_listed) vm.unlisted_at[k] = now_;
      vm.listed[k] = is_listed;
    }
  }
  bool IsLinked(size_t n, size_t k) {
    return vms_[n].linked_at[k] <= now_ && vms_[k].linked_at[n] <= now_;
  }
  std::vector<LimitPeer> PeersOf(size_t n) {
    const Duration timeout =
        std::max<Duration>(std::chrono::milliseconds(1500), report_period_ * 3);
    const Duration overdue = report_period_ * 3 / 2 + kOverdueMargin;
    std::vector<LimitPeer> out;
    for (size_t k = 0; k < vms_.size(); ++k) {
      if (k == n) continue;
      const Duration silence = now_ - vms_[n].heard_at[k];
      const bool is_killed = vms_[n].linked_at[k] == TimePoint::max();
      const bool may_admit =
          !is_killed && (vms_[n].listed[k] || now_ - vms_[n].unlisted_at[k] <
                                                  kDepartedPeerRetention);
      out.push_back({vms_[k].name, IsLinked(n, k) && silence < overdue,
                     IsLinked(n, k) && silence < timeout && vms_[n].keeps[k],
                     vms_[k].limiter->KeptFor(now_), may_admit,
                     vms_[n].unregistered[k], vms_[n].passed_over[k]});
    }
    return out;
  }
  void Arrive(size_t n, size_t w) {
    Vm& vm = vms_[n];
    const bool has_keys = !needs_keys || now_ - vm.view_at < kKeyFreshness;
    if (!vm.is_running || vm.is_frozen || !has_keys) return;
    ++requested;
    const WorkspaceLimiter::Ticket ticket = next_ticket_++;
    const auto result = vm.limiter->Admit(workspaces_[w].name, ticket, now_);
    if (result.admission == WorkspaceLimiter::Admission::kAdmitted) Count(w);
    if (result.admission == WorkspaceLimiter::Admission::kWaiting)
      vm.waiting[ticket] = {w, now_};
    Flush(n);
  }
  void Count(size_t w) {
    ++admitted;
    times_[w].push_back(now_);
  }
  void Send(Packet packet) {
    const size_t from = packet.from;
    const size_t to = packet.to;
    if (!IsLinked(from, to) || vms_[from].group != vms_[to].group ||
        vms_[from].is_cut_to[to])
      return;
    packet.from_incarnation = vms_[from].incarnation;
    packet.to_incarnation = vms_[to].incarnation;
    ++messages;
    bytes += 16 +
             24 * (packet.claims.claims.size() + packet.reply.verdicts.size()) +
             16 * packet.scarce.size();
    const Duration delay = from % kRegions == to % kRegions
                               ? kDelayInRegion
                               : kDelayBetweenRegions;
    packets_.emplace(now_ + delay + vms_[from].extra_delay[to],
                     std::move(packet));
  }
  void Report(size_t n) {
    vms_[n].report_at = now_ + report_period_;
    const std::vector<std::string> scarce = vms_[n].limiter->ScarceLimits(now_);
    const size_t sent = messages;
    vms_[n].sent_passed_over = vms_[n].limiter->passed_over();
    for (size_t k = 0; k < vms_.size(); ++k) {
      if (k == n) continue;
      Packet packet{n, k};
      packet.kind = Kind::kReport;
      packet.scarce = scarce;
      packet.keeps_limits = vms_[n].limiter->is_settled();
      packet.is_unregistered = !vms_[n].limiter->is_registered();
      packet.passed_over = vms_[n].limiter->passed_over();
      Send(std::move(packet));
    }
    messages = sent;  // reports are sent in any case
  }
  void Flush(size_t n) {
    WorkspaceLimiter& limiter = *vms_[n].limiter;
    for (WorkspaceLimiter::Message& it : limiter.TakeMessages()) {
      Packet packet{n, static_cast<size_t>(std::stoul(it.vm.substr(2)))};
      packet.claims = std::move(it.claims);
      Send(std::move(packet));
    }
    const LimitReply changes{0, limiter.TakeChanges(now_)};
    for (size_t k = 0; k < vms_.size() && !changes.verdicts.empty(); ++k) {
      if (k == n) continue;
      Packet packet{n, k};
      packet.kind = Kind::kReply;
      packet.reply = changes;
      Send(std::move(packet));
    }
    for (const WorkspaceLimiter::Decision& it : limiter.TakeDecisions()) {
      const auto found = vms_[n].waiting.find(it.ticket);
      if (found == vms_[n].waiting.end()) continue;
      longest_wait = std::max(longest_wait, now_ - found->second.second);
      if (it.is_admitted) Count(found->second.first);
      vms_[n].waiting.erase(found);
    }
  }
  void Deliver() {
    std::multimap<TimePoint, Packet> kept;  // for frozen VMs
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      Packet it = std::move(packets_.begin()->second);
      packets_.erase(packets_.begin());
      Vm& to = vms_[it.to];
      const bool is_stale = it.to_incarnation != to.incarnation ||
                            it.from_incarnation != vms_[it.from].incarnation;
      if (!to.is_running || is_stale) continue;
      if (to.is_frozen) {
        kept.emplace(now_ + kStep, std::move(it));
        continue;
      }
      const std::string& from = vms_[it.from].name;
      if (it.kind == Kind::kReport) {
        to.heard_at[it.from] = now_;
        to.keeps[it.from] = it.keeps_limits;
        to.unregistered[it.from] = it.is_unregistered;
        to.passed_over[it.from] = it.passed_over;
        to.limiter->OnScarceLimits(from, it.scarce, now_);
      } else if (it.kind == Kind::kReply) {
        to.limiter->OnReply(from, it.reply, now_);
      } else {
        Packet packet{it.to, it.from};
        packet.kind = Kind::kReply;
        packet.reply = to.limiter->OnClaims(it.claims, now_);
        Send(std::move(packet));
      }
      Flush(it.to);
    }
    packets_.merge(kept);
  }

  // Marks a link that is to come up once packets pass.
  static constexpr TimePoint kUnlinked =
      TimePoint::max() - std::chrono::hours(1);

  std::vector<TrafficWorkspace> workspaces_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  Duration report_period_{};
  std::vector<Vm> vms_;
  std::multimap<TimePoint, Packet> packets_;
  std::vector<std::deque<TimePoint>> times_;
  WorkspaceLimiter::Ticket next_ticket_ = 1;
};

}  // namespace rwf
