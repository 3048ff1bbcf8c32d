#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "steering/upstream_selector.h"

namespace rwf {

// How a simulated entry VM selects an instance. The baseline policies ignore
// slots, so excess requests queue at the instance.
enum class SimPolicy {
  kSelector,
  kRoundRobin,
  kLeastReportedLoad,
  kIdealQueue
};

struct SimOptions {
  SimPolicy policy = SimPolicy::kSelector;
  double load = 0.8;  // offered load as a fraction of all slots
  Duration mean_service = std::chrono::milliseconds(100);
  double sigma = 0.7;  // of the lognormal service time
  bool loans = true;   // free slots of other VMs are borrowed immediately
  Duration report_interval = std::chrono::seconds(1);
  bool has_misreporting_instances =
      false;  // one instance of each zone always reports no load
  Duration length = std::chrono::seconds(60);
  std::optional<size_t> failed_zone;  // fails after half of `length`
  uint64_t seed = 1;
};

struct SimResult {
  uint64_t completed = 0;
  uint64_t failed = 0;
  double p99_ms = 0;
  // Maximum number of queued and running requests at the instances of a region,
  // in percent of the available slots of the region.
  double region_peak_percent = 0;
  uint64_t failed_last_quarter = 0;
};

// Simulates the entry VMs, clients and instances of the first service of a
// configuration in virtual time. Clients of a zone use the VMs of that zone, or
// those of the nearest available zone after it has failed.
class FleetSim {
 public:
  FleetSim(const Config& config, const SimOptions& options)
      : config_(config),
        options_(options),
        topology_(config),
        rng_(options.seed),
        upstreams_(config.services[0].upstreams) {
    for (const Upstream& upstream : upstreams_) {
      instance_zone_.push_back(topology_.FindZone(upstream.zone));
      total_slots_ += static_cast<double>(upstream.slots);
    }
    running_.assign(upstreams_.size(), 0);
    waiting_.resize(upstreams_.size());
    reported_.assign(upstreams_.size(), 0);
    std::vector<int64_t> vms_in(topology_.zone_count(), 0);
    for (const EntryVm& vm : config.entry_vms) {
      vms_.push_back(std::make_unique<Vm>(config, vm.zone, this));
      vms_.back()->zone = topology_.FindZone(vm.zone);
      vms_.back()->index_in_zone = vms_in[vms_.back()->zone]++;
    }
    for (auto& vm : vms_) {
      vm->share.assign(upstreams_.size(), 0);
      for (size_t i = 0; i < upstreams_.size(); ++i) {
        if (instance_zone_[i] != vm->zone) continue;
        const int64_t n = vms_in[vm->zone];
        // Remainders are assigned to different VMs for different instances.
        const int64_t rank =
            (vm->index_in_zone + static_cast<int64_t>(i / vms_in.size())) % n;
        vm->share[i] = (upstreams_[i].slots + n - 1 - rank) / n;
      }
    }
  }

  SimResult Run() {
    At(TimePoint{}, [this] { Arrive(); });
    At(TimePoint{}, [this] { Report(); });
    const TimePoint end(options_.length);
    if (options_.failed_zone) {
      At(TimePoint(options_.length / 2), [this] { FailZone(); });
    }
    while (!events_.empty() && events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    std::sort(latencies_.begin(), latencies_.end());
    if (!latencies_.empty()) {
      result_.p99_ms = latencies_[latencies_.size() * 99 / 100];
    }
    return result_;
  }

 private:
  struct Request {
    TimePoint arrived{};
    Duration service{};
    int attempts = 0;
    std::optional<size_t> avoid;
  };
  struct Vm : SlotSource {
    Vm(const Config& config, const std::string& zone_name, FleetSim* owner)
        : sim(owner), selector(config, 0, zone_name) {}
    bool TryAcquire(size_t instance, TimePoint) override {
      const auto slots = sim->upstreams_[instance].slots;
      if (sim->running_[instance] >= slots) return false;
      return sim->options_.loans ||
             selector.in_flight(instance) < share[instance];
    }
    FleetSim* sim;
    UpstreamSelector selector;
    size_t zone = 0;
    int64_t index_in_zone = 0;
    std::vector<int64_t> share;
    std::deque<Request> queue;
    size_t next = 0;
  };
  struct Links : LinkBudget {
    bool HasCapacity(size_t, TimePoint) override { return true; }
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(TimePoint at, std::function<void()> run) {
    events_.push({at, order_++, std::move(run)});
  }
  double Uniform() { return (static_cast<double>(rng_()) + 0.5) * 0x1p-32; }
  double Normal() {
    return std::sqrt(-2 * std::log(Uniform())) *
           std::cos(2 * 3.14159265358979 * Uniform());
  }
  bool IsZoneDown(size_t zone) const {
    return has_zone_failed_ && options_.failed_zone == zone;
  }

  void Arrive() {
    const double rate =
        options_.load * total_slots_ / ToSeconds(options_.mean_service);
    At(now_ + FromSeconds(-std::log(Uniform()) / rate), [this] { Arrive(); });
    Request request;
    request.arrived = now_;
    request.service = std::chrono::duration_cast<Duration>(
        options_.mean_service * std::exp(options_.sigma * Normal() -
                                         options_.sigma * options_.sigma / 2));
    if (options_.policy == SimPolicy::kIdealQueue) {
      ideal_queue_.push_back(request);
      DispatchIdeal();
      return;
    }
    // Clients are distributed over the zones like the instances.
    const size_t client_zone =
        instance_zone_[rng_(static_cast<uint32_t>(instance_zone_.size()))];
    for (const size_t zone : topology_.ZonesByDistance(client_zone)) {
      if (IsZoneDown(zone)) continue;
      std::vector<Vm*> candidates;
      for (auto& vm : vms_) {
        if (vm->zone == zone) candidates.push_back(vm.get());
      }
      if (candidates.empty()) continue;
      Vm* vm = candidates[rng_(static_cast<uint32_t>(candidates.size()))];
      Start(vm, request);
      return;
    }
  }

  void DispatchIdeal() {
    while (!ideal_queue_.empty() &&
           static_cast<double>(ideal_running_) < total_slots_) {
      ++ideal_running_;
      const Request request = ideal_queue_.front();
      ideal_queue_.pop_front();
      At(now_ + request.service, [this, request] {
        --ideal_running_;
        Complete(request);
        DispatchIdeal();
      });
    }
  }

  void Start(Vm* vm, const Request& request) {
    if (options_.policy == SimPolicy::kSelector) {
      vm->queue.push_back(request);
      DispatchQueue(vm);
      // Waits after which a request may use a more distant instance.
      for (const Duration wait :
           {vm->selector.MinSpillWait(), UpstreamSelector::kLastResortWait}) {
        if (!vm->queue.empty())
          At(now_ + wait, [this, vm] { DispatchQueue(vm); });
      }
      return;
    }
    // The baseline policies use only the instances of their own zone.
    std::vector<size_t> local_instances;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (instance_zone_[i] == vm->zone) local_instances.push_back(i);
    }
    size_t chosen = local_instances[vm->next++ % local_instances.size()];
    if (options_.policy == SimPolicy::kLeastReportedLoad) {
      for (const size_t i : local_instances) {
        if (reported_[i] < reported_[chosen]) chosen = i;
      }
    }
    waiting_[chosen].push_back(request);
    StartWaiting(chosen);
    UpdatePeak();
  }

  void StartWaiting(size_t instance) {
    while (!waiting_[instance].empty() &&
           running_[instance] < upstreams_[instance].slots) {
      const Request request = waiting_[instance].front();
      waiting_[instance].pop_front();
      ++running_[instance];
      At(now_ + request.service, [this, request, instance] {
        --running_[instance];
        Complete(request);
        StartWaiting(instance);
      });
    }
  }

  void DispatchQueue(Vm* vm) {
    while (!vm->queue.empty() && !IsZoneDown(vm->zone)) {
      Request request = vm->queue.front();
      const auto selection = vm->selector.Select(
          *vm, links_, request.avoid, rng_, now_, now_ - request.arrived);
      if (!selection) return;
      vm->queue.pop_front();
      Send(vm, request, selection->instance);
    }
  }

  void Send(Vm* vm, Request request, size_t instance) {
    ++running_[instance];
    ++request.attempts;
    UpdatePeak();
    const Duration network =
        2 * topology_.OneWayLatency(vm->zone, instance_zone_[instance]);
    const bool is_down = IsZoneDown(instance_zone_[instance]);
    const Duration latency =
        is_down ? std::chrono::milliseconds(1) : request.service + network;
    const TimePoint sent = now_;
    At(now_ + latency,
       [this, vm, request, instance, is_down, latency, sent]() mutable {
         --running_[instance];
         if (is_down || IsZoneDown(instance_zone_[instance])) {
           vm->selector.OnFailure(instance, now_);
           request.avoid = instance;
           if (request.attempts < 2 && !IsZoneDown(vm->zone)) {
             vm->queue.push_front(request);
           } else {
             ++result_.failed;
             if (now_ > TimePoint(options_.length * 3 / 4)) {
               ++result_.failed_last_quarter;
             }
           }
         } else {
           vm->selector.OnSuccess(instance, latency, now_);
           Complete(request);
         }
         // A freed slot can be borrowed by any VM.
         const size_t start = rng_(static_cast<uint32_t>(vms_.size()));
         DispatchQueue(vm);
         for (size_t i = 0; i < vms_.size() && options_.loans; ++i) {
           DispatchQueue(vms_[(start + i) % vms_.size()].get());
         }
       });
  }

  void Complete(const Request& request) {
    ++result_.completed;
    latencies_.push_back(ToSeconds(now_ - request.arrived) * 1000);
  }

  void Report() {
    At(now_ + options_.report_interval, [this] { Report(); });
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const auto at_instance =
          running_[i] + static_cast<int64_t>(waiting_[i].size());
      const auto slots = static_cast<double>(upstreams_[i].slots);
      reported_[i] =
          options_.has_misreporting_instances && i < topology_.zone_count()
              ? 0
              : static_cast<double>(at_instance);
      if (IsZoneDown(instance_zone_[i])) continue;
      for (auto& vm : vms_) {
        vm->selector.OnReport(i, {reported_[i], slots, now_});
      }
    }
  }

  void FailZone() {
    has_zone_failed_ = true;
    for (auto& vm : vms_) {
      if (IsZoneDown(vm->zone)) vm->queue.clear();
    }
  }

  void UpdatePeak() {
    std::vector<double> at(topology_.region_count(), 0);
    std::vector<double> slots(topology_.region_count(), 0);
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (IsZoneDown(instance_zone_[i])) continue;
      const size_t region = topology_.region_of(instance_zone_[i]);
      at[region] += static_cast<double>(running_[i]) +
                    static_cast<double>(waiting_[i].size());
      slots[region] += static_cast<double>(upstreams_[i].slots);
    }
    for (size_t r = 0; r < at.size(); ++r) {
      if (slots[r] <= 0) continue;
      result_.region_peak_percent =
          std::max(result_.region_peak_percent, 100 * at[r] / slots[r]);
    }
  }

  const Config& config_;
  const SimOptions options_;
  const Topology topology_;
  pcg32 rng_;
  const std::vector<Upstream>& upstreams_;
  std::vector<size_t> instance_zone_;
  double total_slots_ = 0;
  std::vector<int64_t> running_;
  std::vector<std::deque<Request>> waiting_;
  std::vector<double> reported_;
  std::vector<std::unique_ptr<Vm>> vms_;
  Links links_;
  std::deque<Request> ideal_queue_;
  int64_t ideal_running_ = 0;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_{};
  bool has_zone_failed_ = false;
  std::vector<double> latencies_;
  SimResult result_;
};

}  // namespace rwf
