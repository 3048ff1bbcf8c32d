#include "traffic/admission_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

// The requests that one workspace sends to a route.
struct Source {
  std::string workspace;
  int priority = 1;
  double per_second = 0;
  double peak_per_second = 0;  // from the 10th to the 20th second
  Duration run{};
  Duration objective{};
  Duration timeout{};   // of the route, from each sending
  Duration deadline{};  // of the caller, from the first sending
  // Sends again after 20 ms whatever Retry-After says, up to 20 times. Others
  // send once more.
  bool is_abusive = false;
};

struct Outcome {
  int sent = 0;
  int in_time = 0;  // within the objective, from the first sending
  int late = 0;     // within the deadline
  int wasted = 0;   // ran, but ended after the timeout
  double InTime() const { return sent == 0 ? 1 : double(in_time) / sent; }
  double Served() const {
    return sent == 0 ? 1 : double(in_time + late) / sent;
  }
};
using Outcomes = std::vector<Outcome>;  // by source

Outcome Sum(const Outcomes& outcomes) {
  Outcome out;
  for (const Outcome& it : outcomes) {
    out.sent += it.sent;
    out.in_time += it.in_time;
    out.late += it.late;
    out.wasted += it.wasted;
  }
  return out;
}

// Fraction served of the worst-served workspace. `first` is 1 for patterns
// whose first source sends too much.
double WorstServed(const std::vector<Source>& sources, const Outcomes& outcomes,
                   size_t first) {
  std::map<std::string, Outcome> by_workspace;
  for (size_t n = first; n < sources.size(); ++n) {
    Outcome& out = by_workspace[sources[n].workspace];
    out = Sum({out, outcomes[n]});
  }
  double out = 1;
  for (const auto& [workspace, it] : by_workspace)
    out = std::min(out, it.Served());
  return out;
}

// One service with a fixed number of slots, 30 s of requests on virtual time.
class ShortageSimulation {
 public:
  ShortageSimulation(std::vector<Source> sources, int slots, bool has_queue,
                     uint64_t seed)
      : sources_(std::move(sources)),
        free_slots_(slots),
        has_queue_(has_queue),
        random_(seed),
        out_(sources_.size()) {}

  Outcomes Run() {
    std::uniform_real_distribution<double> uniform;
    for (Duration t{}; t < seconds(36); t += milliseconds(1)) {
      now_ = kStart + t;
      EndRuns();
      const bool is_peak = t >= seconds(10) && t < seconds(20);
      for (size_t n = 0; t < seconds(30) && n < sources_.size(); ++n) {
        const Source& it = sources_[n];
        const double rate = is_peak && it.peak_per_second > 0
                                ? it.peak_per_second
                                : it.per_second;
        if (uniform(random_) >= rate / 1000) continue;
        ++out_[n].sent;
        Arrive({n, now_, 0});
      }
      while (!retries_.empty() && retries_.begin()->first <= now_) {
        const Sending sending = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Arrive(sending);
      }
      if (has_queue_ && ToMillis(t) % 20 == 0) RefuseExpired();
    }
    return out_;
  }
  const AdmissionQueue& queue() const { return queue_; }

 private:
  struct Sending {
    size_t source = 0;
    TimePoint first_sent{};
    int retries = 0;
    TimePoint ends_at{};  // set on arrival
  };

  void Arrive(Sending it) {
    const Source& source = sources_[it.source];
    it.ends_at =
        std::min(now_ + source.timeout, it.first_sent + source.deadline);
    if (free_slots_ > 0) {
      StartRun(it, 0);
      return;
    }
    if (!has_queue_) {
      // As placement does: the run time times the load, within bounds.
      Refuse(it, std::clamp<Duration>(source.run, milliseconds(100),
                                      milliseconds(1200)));
      return;
    }
    const uint64_t id = next_id_++;
    waiting_[id] = it;
    const auto refusal =
        queue_.Offer({id, "s", source.workspace, source.priority, source.run,
                      it.first_sent + source.objective, it.ends_at},
                     now_);
    if (!refusal) return;
    waiting_.erase(id);
    Refuse(it, *refusal);
  }

  void StartRun(const Sending& it, uint64_t id) {
    const Source& source = sources_[it.source];
    --free_slots_;
    queue_.OnStarted("s", source.workspace, id, now_);
    const double ratio =
        std::uniform_real_distribution<double>(0.9, 1.1)(random_);
    runs_.emplace(now_ + FromSeconds(ToSeconds(source.run) * ratio), it);
  }

  void EndRuns() {
    while (!runs_.empty() && runs_.begin()->first <= now_) {
      const Sending it = runs_.begin()->second;
      runs_.erase(runs_.begin());
      ++free_slots_;
      queue_.OnEnded("s", now_);
      Outcome& out = out_[it.source];
      if (now_ > it.ends_at) {
        ++out.wasted;
      } else if (now_ <= it.first_sent + sources_[it.source].objective) {
        ++out.in_time;
      } else {
        ++out.late;
      }
      if (!has_queue_) continue;
      RefuseExpired();
      for (const uint64_t id : queue_.Next("s", 1, now_)) {
        StartRun(waiting_.at(id), id);
        waiting_.erase(id);
      }
    }
  }

  void RefuseExpired() {
    for (const AdmissionQueue::Refusal& it : queue_.TakeRefused(now_)) {
      const Sending sending = waiting_.at(it.id);
      waiting_.erase(it.id);
      Refuse(sending, it.retry_after);
    }
  }

  void Refuse(Sending it, Duration retry_after) {
    const Source& source = sources_[it.source];
    const int max_retries = source.is_abusive ? 20 : 1;
    const Duration delay = source.is_abusive ? milliseconds(20) : retry_after;
    if (it.retries >= max_retries ||
        now_ + delay >= it.first_sent + source.deadline)
      return;
    ++it.retries;
    retries_.emplace(now_ + delay, it);
  }

  std::vector<Source> sources_;
  int free_slots_;
  bool has_queue_;
  std::mt19937_64 random_;
  Outcomes out_;
  AdmissionQueue queue_;
  TimePoint now_{};
  std::multimap<TimePoint, Sending> runs_;  // by their end
  std::multimap<TimePoint, Sending> retries_;
  std::map<uint64_t, Sending> waiting_;
  uint64_t next_id_ = 1;
};

struct Comparison {
  Outcomes refused;  // with the plain way: refuse at once
  Outcomes queued;
  double worst_refused = 0;
  double worst_queued = 0;
};

// Compares both ways for several seeds.
std::vector<Comparison> Compare(const std::string& name,
                                const std::vector<Source>& sources, int slots,
                                size_t first) {
  std::vector<Comparison> out;
  for (const uint64_t seed : {1, 2, 3, 11}) {
    Comparison it;
    it.refused = ShortageSimulation(sources, slots, false, seed).Run();
    it.queued = ShortageSimulation(sources, slots, true, seed).Run();
    it.worst_refused = WorstServed(sources, it.refused, first);
    it.worst_queued = WorstServed(sources, it.queued, first);
    const Outcome a = Sum(it.refused);
    const Outcome b = Sum(it.queued);
    MESSAGE(name, ", seed ", seed, ": sent ", a.sent, ", in time ", a.in_time,
            " -> ", b.in_time, ", late ", a.late, " -> ", b.late, ", wasted ",
            a.wasted, " -> ", b.wasted, ", first source served ",
            it.refused[0].Served(), " -> ", it.queued[0].Served(),
            ", worst workspace ", it.worst_refused, " -> ", it.worst_queued);
    out.push_back(std::move(it));
  }
  return out;
}

// Nine workspaces and a tenth that sends six times as much in the peak.
std::vector<Source> OneBusyWorkspace() {
  std::vector<Source> out;
  out.reserve(10);
  for (int n = 0; n < 10; ++n) {
    out.push_back({.workspace = "w" + std::to_string(n),
                   .per_second = 6,
                   .peak_per_second = n == 0 ? 36.0 : 6.0,
                   .run = milliseconds(300),
                   .objective = milliseconds(700),
                   .timeout = milliseconds(2000),
                   .deadline = milliseconds(3000)});
  }
  return out;
}

// Guards against a workspace far above its usual load that takes the slots of
// the others.
TEST_CASE("Shortage, one workspace at six times its load, spares the others") {
  for (const Comparison& it :
       Compare("busy workspace", OneBusyWorkspace(), 20, 1)) {
    CHECK(Sum(it.queued).in_time > Sum(it.refused).in_time);
    CHECK(it.worst_queued > it.worst_refused);
    CHECK(it.worst_queued > 0.95);
  }
}

// Guards against refusing patient requests that a slot becomes free for, and
// against delaying urgent ones behind them.
TEST_CASE("Shortage, burst of a patient route, keeps the urgent one in time") {
  std::vector<Source> sources;
  for (int n = 0; n < 5; ++n) {
    const std::string workspace = "w" + std::to_string(n);
    sources.push_back({.workspace = workspace,
                       .priority = 2,
                       .per_second = 4,
                       .peak_per_second = 9.6,
                       .run = milliseconds(880),
                       .objective = milliseconds(1200),
                       .timeout = milliseconds(1200),
                       .deadline = milliseconds(4000)});
    sources.push_back({.workspace = workspace,
                       .priority = 0,
                       .per_second = 5,
                       .run = milliseconds(200),
                       .objective = milliseconds(400),
                       .timeout = milliseconds(2500),
                       .deadline = milliseconds(2500)});
  }
  for (const Comparison& it : Compare("patient burst", sources, 30, 0)) {
    CHECK(Sum(it.queued).in_time > Sum(it.refused).in_time);
    CHECK(it.worst_queued >= it.worst_refused);
    CHECK(Sum(it.queued).wasted <= Sum(it.refused).wasted);
    for (size_t n = 1; n < sources.size(); n += 2)
      CHECK(it.queued[n].InTime() >= it.refused[n].InTime());
  }
}

// Guards against callers that gain by ignoring Retry-After.
TEST_CASE("Shortage, abusive retries, do not displace other workspaces") {
  std::vector<Source> sources = OneBusyWorkspace();
  sources[0].is_abusive = true;
  for (const Comparison& it : Compare("abusive retries", sources, 20, 1)) {
    CHECK(Sum(it.queued).in_time > Sum(it.refused).in_time);
    CHECK(it.worst_queued > it.worst_refused);
    CHECK(it.worst_queued > 0.95);
  }
}

// Guards against any change where capacity suffices.
TEST_CASE("Shortage, capacity suffices, queues next to nothing") {
  ShortageSimulation it(OneBusyWorkspace(), 60, true, 11);
  const Outcome out = Sum(it.Run());
  CHECK(out.in_time == out.sent);
  CHECK(it.queue().counters().queued == 0);
}

class AdmissionQueueFixture {
 protected:
  // Attempts of the service have ended at this rate for ten seconds.
  void EndAttempts(int per_second) {
    for (int n = 0; n < 10 * per_second; ++n) {
      now += FromSeconds(1.0 / per_second);
      queue.OnEnded("s", now);
    }
  }
  // Latest starts: 440 ms from now in time, 865 ms late.
  WaitingRequest Request(uint64_t id, const std::string& workspace = "w",
                         int priority = 1) const {
    return {id,
            "s",
            workspace,
            priority,
            milliseconds(500),
            now + milliseconds(1000),
            now + milliseconds(1500)};
  }
  std::vector<uint64_t> Next(size_t n = 10) const {
    return queue.Next("s", n, now);
  }

  AdmissionQueue queue;
  TimePoint now = kStart;
};

// Guards against requests that wait although no capacity becomes free in time.
TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "Admission queue, waiting does not pay, refuses at once") {
  // Nothing has ended.
  CHECK(queue.Offer(Request(1), now).has_value());
  EndAttempts(10);
  // In time for the first four, late for the next four.
  for (uint64_t id = 1; id <= 8; ++id)
    CHECK(!queue.Offer(Request(id), now).has_value());
  const auto first = queue.Offer(Request(10), now);
  const auto second = queue.Offer(Request(11), now);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  // The queue is worked off by then, and callers return one after another.
  CHECK(*first > milliseconds(800));
  CHECK(*second > *first);
  WaitingRequest too_long = Request(12, "v", 0);
  too_long.run = milliseconds(1300);
  CHECK(queue.Offer(too_long, now).has_value());
  CHECK(queue.size() == 8);
}

// Guards against holding a request that can no longer end in time.
TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "Admission queue, requests wait, names the first expiry") {
  CHECK_FALSE(queue.NextExpiry().has_value());
  EndAttempts(10);
  WaitingRequest strict = Request(2);
  strict.ends_at = strict.in_time_until;
  CHECK(!queue.Offer(Request(1), now).has_value());
  CHECK(!queue.Offer(strict, now).has_value());
  const std::optional<TimePoint> expiry = queue.NextExpiry();
  REQUIRE(expiry.has_value());
  CHECK(queue.TakeRefused(*expiry).empty());
  const auto refused = queue.TakeRefused(*expiry + std::chrono::nanoseconds(1));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().id == 2);
  REQUIRE(queue.NextExpiry().has_value());
  CHECK(*queue.NextExpiry() > *expiry);
}

// Guards against a start that can not end in time, and against holding a
// request until its deadline.
TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "Admission queue, latest start passed, refuses as not run") {
  EndAttempts(10);
  WaitingRequest strict = Request(1);
  strict.ends_at = strict.in_time_until;
  CHECK(!queue.Offer(strict, now).has_value());
  CHECK(!queue.Offer(Request(2), now).has_value());
  now += milliseconds(441);
  // Nothing has ended since, but the rate still says that the second can be
  // served late.
  CHECK(Next().empty());
  const auto refused = queue.TakeRefused(now);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().id == 1);
  CHECK(Next() == std::vector<uint64_t>{2});
  now += milliseconds(500);
  CHECK(queue.TakeRefused(now).size() == 1);
  CHECK(queue.size() == 0);
  CHECK(queue.counters().expired == 2);
}

// Guards against an order that ignores priority, latest start or workspaces.
TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "Admission queue, several requests, orders their start") {
  EndAttempts(20);
  WaitingRequest patient = Request(1);
  patient.in_time_until += milliseconds(300);
  CHECK(!queue.Offer(patient, now).has_value());
  CHECK(!queue.Offer(Request(2), now).has_value());
  CHECK(!queue.Offer(Request(3, "v", 0), now).has_value());
  CHECK(Next() == std::vector<uint64_t>{3, 2, 1});
  CHECK(Next(1) == std::vector<uint64_t>{3});
  // "w" has had most starts, so that "u" comes first.
  for (int n = 0; n < 100; ++n) queue.OnStarted("s", "w", 0, now);
  WaitingRequest last = Request(4, "u");
  last.in_time_until += milliseconds(400);
  CHECK(!queue.Offer(last, now).has_value());
  CHECK(Next() == std::vector<uint64_t>{3, 4, 2, 1});
  queue.OnStarted("s", "v", 3, now);
  CHECK(queue.Cancel(4));
  CHECK(!queue.Cancel(4));
  CHECK(Next() == std::vector<uint64_t>{2, 1});
  CHECK(queue.Clear() == std::vector<uint64_t>{1, 2});
  CHECK(queue.size() == 0);
}

// Guards against unbounded memory and against a workspace that fills the queue.
TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "Admission queue, full, refuses the largest workspace") {
  EndAttempts(1000);
  uint64_t id = 1;
  for (; id <= AdmissionQueue::kMaxWaiting; ++id)
    CHECK(!queue.Offer(Request(id), now).has_value());
  CHECK(!queue.Offer(Request(id, "v"), now).has_value());
  CHECK(queue.size() == AdmissionQueue::kMaxWaiting);
  CHECK(queue.IsQueued(id));
  const auto refused = queue.TakeRefused(now);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().id == AdmissionQueue::kMaxWaiting);
  CHECK(queue.counters().displaced == 1);
}

}  // namespace
}  // namespace rwf
