#include "fairness/fair_queue.h"

#include <doctest/doctest.h>

#include "fairness/slot_sim.h"

namespace rwf {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// Reference implementation of the same policy by linear search over plain
// lists.
class ReferenceFairQueue {
 public:
  struct Entry {
    uint64_t id;
    uint32_t workspace;
    TimePoint deadline;
  };

  explicit ReferenceFairQueue(std::vector<int64_t> weights)
      : weights_(std::move(weights)), deficits_(weights_.size(), 0) {}

  void Push(const Entry& entry) {
    entries_.push_back(entry);
    if (std::find(active_workspaces_.begin(), active_workspaces_.end(),
                  entry.workspace) == active_workspaces_.end()) {
      active_workspaces_.push_back(entry.workspace);
      deficits_[entry.workspace] = 0;
    }
  }

  std::optional<uint64_t> Pop(TimePoint now) {
    while (!active_workspaces_.empty()) {
      const uint32_t w = active_workspaces_.front();
      const auto runnable = [&](const Entry& e) {
        return e.workspace == w && e.deadline > now;
      };
      const auto it = std::find_if(entries_.begin(), entries_.end(), runnable);
      if (it == entries_.end()) {
        active_workspaces_.erase(active_workspaces_.begin());
        continue;
      }
      if (deficits_[w] <= 0) deficits_[w] += weights_[w];
      const uint64_t id = it->id;
      entries_.erase(it);
      --deficits_[w];
      const bool more =
          std::any_of(entries_.begin(), entries_.end(),
                      [&](const Entry& e) { return e.workspace == w; });
      if (!more || deficits_[w] <= 0)
        active_workspaces_.erase(active_workspaces_.begin());
      if (more && deficits_[w] <= 0) active_workspaces_.push_back(w);
      if (!more) deficits_[w] = 0;
      return id;
    }
    return std::nullopt;
  }

  bool Remove(uint64_t id) {
    return std::erase_if(entries_, [&](const Entry& e) { return e.id == id; }) >
           0;
  }

  std::vector<uint64_t> Expire(TimePoint now) {
    std::vector<uint64_t> out;
    for (const Entry& e : entries_) {
      if (e.deadline <= now) out.push_back(e.id);
    }
    for (const uint64_t id : out) Remove(id);
    return out;
  }

  size_t SizeOf(uint32_t w) const {
    return std::count_if(entries_.begin(), entries_.end(),
                         [&](const Entry& e) { return e.workspace == w; });
  }

 private:
  std::vector<int64_t> weights_;
  std::vector<int64_t> deficits_;
  std::vector<Entry> entries_;
  std::vector<uint32_t> active_workspaces_;
};

TEST_CASE(
    "FairQueue, random pushes, pops, removals and expiries, acts like the "
    "reference queue") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const std::vector<int64_t> weights = {1, 2, 3, 1, 5};
    FairQueue queue(10);
    ReferenceFairQueue reference(weights);
    for (uint32_t w = 0; w < weights.size(); ++w) {
      queue.SetWeight(w, weights[w]);
    }
    TimePoint now = kStart;
    uint64_t last_id = 0;
    for (int step = 0; step < 5000; ++step) {
      now += Duration(random() % 2'000'000);
      const uint64_t kind = random() % 10;
      if (kind < 5) {
        const auto w = static_cast<uint32_t>(random() % weights.size());
        const TimePoint deadline = now + kMillisecond * (1 + random() % 500);
        const bool full = reference.SizeOf(w) >= 10;
        const PushResult result = queue.Push(++last_id, w, deadline, now);
        CHECK((result == PushResult::kFull) == full);
        if (result == PushResult::kQueued)
          reference.Push({last_id, w, deadline});
      } else if (kind < 8) {
        CHECK(queue.Pop(now) == reference.Pop(now));
      } else if (kind == 8) {
        const uint64_t id = last_id - std::min(last_id, random() % 20);
        CHECK(queue.Remove(id) == reference.Remove(id));
      } else {
        std::vector<uint64_t> a = queue.Expire(now);
        std::vector<uint64_t> b = reference.Expire(now);
        std::sort(a.begin(), a.end());
        std::sort(b.begin(), b.end());
        CHECK(a == b);
      }
      for (uint32_t w = 0; w < weights.size(); ++w) {
        CHECK(queue.SizeOf(w) == reference.SizeOf(w));
      }
    }
  }
}

TEST_CASE(
    "FairQueue, estimated wait beyond the deadline, refuses at once rather "
    "than after the wait") {
  FairQueue queue(128);
  TimePoint now = kStart;
  const TimePoint late = kStart + std::chrono::hours(1);
  uint64_t id = 0;
  for (int i = 0; i < 128; ++i) {
    CHECK(queue.Push(++id, 0, late, now) == PushResult::kQueued);
  }
  CHECK(queue.Push(++id, 0, late, now) == PushResult::kFull);
  // Serves 100 entries per second.
  for (int i = 0; i < 78; ++i) {
    now += 10 * kMillisecond;
    CHECK(queue.Pop(now).has_value());
  }
  // 50 entries of the same workspace come first, which takes 0.5 s.
  CHECK(queue.Push(++id, 0, now + 400 * kMillisecond, now) ==
        PushResult::kWaitExceedsDeadline);
  CHECK(queue.Push(++id, 0, now + 700 * kMillisecond, now) ==
        PushResult::kQueued);
  // Another workspace has its turn next.
  CHECK(queue.Push(++id, 1, now + 60 * kMillisecond, now) ==
        PushResult::kQueued);
  // The estimate rises when nothing has been served for some time.
  now += std::chrono::seconds(5);
  CHECK(queue.Push(++id, 0, now + 700 * kMillisecond, now) ==
        PushResult::kWaitExceedsDeadline);
}

TEST_CASE(
    "FairQueue, one workspace at 8 times its rate, leaves the others' p99 "
    "within 1.5 times of the run without it and holds no more than its "
    "weight") {
  // 18 slots of 20 ms serve 900 requests per second. With every workspace at
  // its own rate, 70% of that is used.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    SlotSim sim;
    sim.seed = seed;
    sim.rates.assign(8, 0.7 * 900 / 8);
    sim.rates[0] = 0;
    const SlotSim::Result without = sim.Run(30);
    sim.rates[0] = 8 * 0.7 * 900 / 8;
    const SlotSim::Result with = sim.Run(30);
    MESSAGE("p99 ms without ", without.others_p99_ms, ", with ",
            with.others_p99_ms, "; share ", with.noisy_share);
    CHECK(with.others_p99_ms <= 1.5 * without.others_p99_ms);
    CHECK(with.others_refused == 0);
    // With all 8 workspaces above their fair share, workspace 0 gets no more
    // than that of its weight.
    sim.rates.assign(8, 2.0 * 900 / 8);
    sim.rates[0] *= 8;
    const SlotSim::Result all = sim.Run(30);
    CHECK(all.noisy_share <= 1.0 / 8 + 0.002);
  }
}

}  // namespace
}  // namespace rwf
