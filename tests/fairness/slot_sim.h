#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fairness/fair_queue.h"

namespace rwf {

// Simulates one service with a number of slots behind a FairQueue (or a FIFO
// queue, for comparison) on virtual time, with Poisson arrivals for each
// workspace.
struct SlotSim {
  struct Result {
    double others_p99_ms = 0;  // wait and service, without workspace 0
    double noisy_share = 0;    // slot time of workspace 0 while others waited
    int64_t others_refused = 0;
    int64_t others_served = 0;
  };

  int64_t slots = 18;
  int64_t workspaces = 8;
  std::vector<int64_t> weights = std::vector<int64_t>(8, 1);
  std::vector<double> rates;  // requests per second by workspace
  bool fifo = false;
  uint64_t seed = 1;

  Result Run(int64_t seconds) const {
    std::mt19937_64 random(seed);
    FairQueue queue(128);
    for (uint32_t w = 0; w < workspaces; ++w) queue.SetWeight(w, weights[w]);
    using Event = std::pair<int64_t, uint32_t>;  // microseconds, workspace
    std::priority_queue<Event, std::vector<Event>, std::greater<>> arrivals;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> completions;
    const auto schedule_arrival = [&](int64_t now, uint32_t w) {
      if (rates[w] <= 0) return;
      std::exponential_distribution<double> gap(rates[w] / 1e6);
      arrivals.emplace(now + static_cast<int64_t>(gap(random)) + 1, w);
    };
    for (uint32_t w = 0; w < workspaces; ++w) schedule_arrival(0, w);
    std::map<uint64_t, Event> queued;  // in order of arrival
    std::vector<double> latencies;
    Result result;
    int64_t free_slots = slots;
    uint64_t last_id = 0;
    double noisy_time = 0;
    double contended_time = 0;
    const auto at = [](int64_t us) {
      return TimePoint(std::chrono::hours(1) + std::chrono::microseconds(us));
    };
    while (!arrivals.empty() && arrivals.top().first < seconds * 1'000'000) {
      int64_t now;
      if (!completions.empty() &&
          completions.top().first <= arrivals.top().first) {
        now = completions.top().first;
        completions.pop();
        ++free_slots;
      } else {
        const auto [time, w] = arrivals.top();
        now = time;
        arrivals.pop();
        schedule_arrival(now, w);
        const uint64_t id = ++last_id;
        const auto pushed =
            queue.Push(id, w, at(now) + std::chrono::seconds(2), at(now));
        if (pushed == PushResult::kQueued) {
          queued[id] = {now, w};
        } else if (w != 0) {
          ++result.others_refused;
        }
      }
      for (const uint64_t id : queue.Expire(at(now))) {
        if (queued.at(id).second != 0) ++result.others_refused;
        queued.erase(id);
      }
      while (free_slots > 0 && !queued.empty()) {
        uint64_t id = queued.begin()->first;
        if (fifo) {
          queue.Remove(id);
        } else {
          id = *queue.Pop(at(now));
        }
        const auto [arrived, w] = queued.at(id);
        queued.erase(id);
        --free_slots;
        const int64_t service_us =
            10'000 + static_cast<int64_t>(random() % 20'000);
        completions.emplace(now + service_us, w);
        const bool contended =
            std::any_of(queued.begin(), queued.end(),
                        [](const auto& it) { return it.second.second != 0; });
        if (contended) {
          contended_time += static_cast<double>(service_us);
          if (w == 0) noisy_time += static_cast<double>(service_us);
        }
        if (w == 0) continue;
        ++result.others_served;
        latencies.push_back(static_cast<double>(now + service_us - arrived) /
                            1e3);
      }
    }
    std::sort(latencies.begin(), latencies.end());
    if (!latencies.empty()) {
      result.others_p99_ms = latencies[latencies.size() * 99 / 100];
    }
    result.noisy_share = contended_time > 0 ? noisy_time / contended_time : 0;
    return result;
  }
};

}  // namespace rwf
