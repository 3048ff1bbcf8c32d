#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "once/crash_guard.h"

namespace rwf {

struct PoisonSimOptions {
  uint64_t seed = 1;
  int vms = 7;
  int instances = 30;
  int slots = 6;
  int benign_requests = 100;  // distinct requests that are sent repeatedly
  Duration retry_delay = std::chrono::milliseconds(100);
  Duration max_broadcast_delay = std::chrono::milliseconds(20);
};

struct PoisonSimResult {
  int crashed_instances = 0;  // crashed by the poison request
  int benign_refusals = 0;    // during the run
  int benign_blocked = 0;     // at the end, on any VM
};

// Simulates a poison request, which crashes every instance that runs it and is
// retried through random VMs, among benign requests on the same instances.
class PoisonSim {
 public:
  explicit PoisonSim(const PoisonSimOptions& options)
      : options_(options),
        rng_(options.seed),
        guards_(options.vms),
        running_(options.instances),
        down_until_(options.instances) {
    for (int i = kPoison; i < options.benign_requests; ++i) {
      fingerprints_.push_back(Sha256("request " + std::to_string(i)));
    }
  }

  PoisonSimResult Run() {
    for (int i = 0; i < options_.benign_requests; ++i) {
      At(std::chrono::milliseconds(rng_(100)), [this, i] { Send(i); });
    }
    At(std::chrono::seconds(1), [this] { Send(kPoison); });
    while (!events_.empty() && events_.top().at < TimePoint(kLength)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    for (int i = 0; i < options_.benign_requests; ++i) {
      result_.benign_blocked += std::any_of(
          guards_.begin(), guards_.end(), [&](const CrashGuard& guard) {
            return guard.IsBlocked(Fingerprint(i), now_);
          });
    }
    return result_;
  }

 private:
  static constexpr int kPoison = -1;
  static constexpr Duration kLength = std::chrono::seconds(8);
  static constexpr Duration kRestart = std::chrono::seconds(2);

  struct Running {
    uint64_t id;
    int request;
    int vm;
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  const Digest& Fingerprint(int request) const {
    return fingerprints_[request + 1];  // kPoison is -1
  }
  static std::string Name(int instance) {
    return "u" + std::to_string(instance);
  }
  void At(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, order_++, std::move(run)});
  }

  void Send(int request) {
    const int vm = static_cast<int>(rng_(options_.vms));
    const Digest& fingerprint = Fingerprint(request);
    if (guards_[vm].IsBlocked(fingerprint, now_)) {
      if (request != kPoison) ++result_.benign_refusals;
      At(std::chrono::seconds(1), [this, request] { Send(request); });
      return;
    }
    const int start = static_cast<int>(rng_(options_.instances));
    for (int k = 0; k < options_.instances; ++k) {
      const int instance = (start + k) % options_.instances;
      std::vector<Running>& running = running_[instance];
      if (now_ < down_until_[instance]) continue;
      if (static_cast<int>(running.size()) >= options_.slots) continue;
      if (!guards_[vm].MaySend(Name(instance), fingerprint, now_)) continue;
      const uint64_t id = ++last_id_;
      running.push_back({id, request, vm});
      guards_[vm].OnSent(Name(instance), fingerprint);
      if (request == kPoison) {
        At(std::chrono::milliseconds(20),
           [this, instance] { Crash(instance); });
      } else {
        At(std::chrono::milliseconds(50 + rng_(100)),
           [this, instance, id] { Finish(instance, id); });
      }
      return;
    }
    At(std::chrono::milliseconds(10), [this, request] { Send(request); });
  }

  void Finish(int instance, uint64_t id) {
    std::vector<Running>& running = running_[instance];
    const auto it =
        std::find_if(running.begin(), running.end(),
                     [&](const Running& entry) { return entry.id == id; });
    if (it == running.end()) return;  // lost in a crash
    const Running done = *it;
    running.erase(it);
    Broadcast(done.vm,
              guards_[done.vm].OnFinished(
                  Name(instance), Fingerprint(done.request), true, now_));
    At(std::chrono::milliseconds(rng_(100)),
       [this, request = done.request] { Send(request); });
  }

  void Crash(int instance) {
    ++result_.crashed_instances;
    down_until_[instance] = now_ + kRestart;
    const std::vector<Running> lost = std::exchange(running_[instance], {});
    for (int vm = 0; vm < options_.vms; ++vm) {
      Broadcast(vm, guards_[vm].OnCrash(Name(instance), now_));
    }
    for (const Running& entry : lost) {
      At(options_.retry_delay,
         [this, request = entry.request] { Send(request); });
    }
  }

  void Broadcast(int from, const std::vector<wire::CrashSuspicionT>& messages) {
    for (const wire::CrashSuspicionT& message : messages) {
      for (int vm = 0; vm < options_.vms; ++vm) {
        if (vm == from) continue;
        const auto delay = std::chrono::microseconds(rng_(static_cast<uint32_t>(
            options_.max_broadcast_delay / std::chrono::microseconds(1))));
        At(delay,
           [this, vm, message] { guards_[vm].OnMessage(message, now_); });
      }
    }
  }

  const PoisonSimOptions options_;
  pcg32 rng_;
  std::vector<CrashGuard> guards_;
  std::vector<Digest> fingerprints_;
  std::vector<std::vector<Running>> running_;
  std::vector<TimePoint> down_until_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  uint64_t last_id_ = 0;
  TimePoint now_{};
  PoisonSimResult result_;
};

}  // namespace rwf
