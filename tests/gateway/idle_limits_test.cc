#include "gateway/idle_limits.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

// Decides on the reuse of connections in the load pattern below.
class ReusePolicy {
 public:
  virtual ~ReusePolicy() = default;
  virtual Duration ReuseLimit(const std::string& instance, bool is_idempotent,
                              TimePoint now) const = 0;
  virtual Duration KeepLimit(const std::string& instance,
                             TimePoint now) const = 0;
  virtual void OnClosed(const std::string&, Duration, TimePoint) {}
  virtual void OnSurvived(const std::string&, Duration) {}
  virtual void OnLost(const std::string&, Duration, TimePoint) {}
  virtual void Tick(TimePoint) {}
};

// The plain way: the same limits for all instances.
class FixedLimits : public ReusePolicy {
 public:
  Duration ReuseLimit(const std::string&, bool is_idempotent,
                      TimePoint) const override {
    return is_idempotent ? milliseconds(4000) : milliseconds(1000);
  }
  Duration KeepLimit(const std::string&, TimePoint) const override {
    return milliseconds(4000);
  }
};

class LearnedLimits : public ReusePolicy {
 public:
  Duration ReuseLimit(const std::string& instance, bool is_idempotent,
                      TimePoint now) const override {
    return limits_.ReuseLimit(instance, {}, is_idempotent, now);
  }
  Duration KeepLimit(const std::string& instance,
                     TimePoint now) const override {
    return limits_.KeepLimit(instance, {}, now);
  }
  void OnClosed(const std::string& instance, Duration idle,
                TimePoint now) override {
    limits_.OnClosed(instance, idle, now);
  }
  void OnSurvived(const std::string& instance, Duration idle) override {
    limits_.OnSurvived(instance, idle);
  }
  void OnLost(const std::string& instance, Duration idle,
              TimePoint now) override {
    limits_.OnLost(instance, idle, now);
  }
  void Tick(TimePoint now) override { limits_.Tick(now); }

 private:
  IdleLimits limits_;
};

struct LoadPattern {
  double requests_per_second = 30;
  double non_idempotent = 0.2;  // fraction of the requests
  int instances = 174;
  Duration run = milliseconds(700);
  // Returns after which rest the instance closes a connection.
  std::function<Duration(Duration elapsed, std::mt19937_64*)> idle_timeout;
};

struct Result {
  int requests = 0;
  int opened = 0;
  int first = 0;  // of these, the first connections to an instance
  int lost = 0;   // non-idempotent requests on connections closed meanwhile
};

// Sends one minute of requests of one VM over connections with a one-way
// latency of 20 ms, the longest between regions.
class ConnectionSimulation {
 public:
  ConnectionSimulation(const LoadPattern& load, ReusePolicy* policy)
      : load_(load),
        policy_(policy),
        connections_(load.instances),
        used_(load.instances) {}

  Result Run() {
    std::bernoulli_distribution arrives(load_.requests_per_second / 1000);
    for (Duration t{}; t < seconds(60); t += milliseconds(1)) {
      elapsed_ = t;
      Advance();
      if (ToMillis(t) % 500 == 0) Sweep();
      if (arrives(random_)) Send();
    }
    return out_;
  }

 private:
  static constexpr Duration kLatency = milliseconds(20);
  struct Connection {
    Duration busy_until{};    // as the VM sees it
    Duration idle_timeout{};  // of the rest after that
    bool is_idle = false;
  };
  static std::string Name(size_t n) { return "i" + std::to_string(n); }
  TimePoint Now() const { return kStart + elapsed_; }

  void Advance() {
    for (size_t n = 0; n < connections_.size(); ++n) {
      std::erase_if(connections_[n], [&](Connection& it) {
        if (elapsed_ < it.busy_until) return false;
        it.is_idle = true;
        // The instance's rest begins and its close arrives one latency before
        // and after the VM's view.
        const Duration rest = elapsed_ - it.busy_until;
        if (rest < it.idle_timeout) return false;
        policy_->OnClosed(Name(n), rest, Now());
        return true;
      });
    }
  }

  void Sweep() {
    policy_->Tick(Now());
    for (size_t n = 0; n < connections_.size(); ++n) {
      std::erase_if(connections_[n], [&](const Connection& it) {
        if (!it.is_idle) return false;
        const Duration rest = elapsed_ - it.busy_until;
        if (rest > policy_->KeepLimit(Name(n), Now())) return true;
        policy_->OnSurvived(Name(n), rest);
        return false;
      });
    }
  }

  void Send() {
    // Most requests are for objects of a few instances.
    std::uniform_real_distribution<double> uniform;
    const double point = uniform(random_);
    const auto n = static_cast<size_t>(point * point *
                                       static_cast<double>(load_.instances));
    const bool is_idempotent = uniform(random_) >= load_.non_idempotent;
    ++out_.requests;
    Connection* found = nullptr;
    for (Connection& it : connections_[n]) {
      if (!it.is_idle || elapsed_ - it.busy_until >
                             policy_->ReuseLimit(Name(n), is_idempotent, Now()))
        continue;
      found = &it;
    }
    if (found != nullptr &&
        elapsed_ - found->busy_until + 2 * kLatency >= found->idle_timeout) {
      // The request crosses the close of the instance.
      if (!is_idempotent) ++out_.lost;
      policy_->OnLost(Name(n), elapsed_ - found->busy_until, Now());
      found = nullptr;
    }
    if (found == nullptr) {
      ++out_.opened;
      if (!used_[n]) ++out_.first;
      used_[n] = true;
      found = &connections_[n].emplace_back();
    }
    *found = {elapsed_ + load_.run, load_.idle_timeout(elapsed_, &random_),
              false};
  }

  LoadPattern load_;
  ReusePolicy* policy_;
  std::vector<std::vector<Connection>> connections_;  // by instance
  std::vector<bool> used_;                            // by instance
  Duration elapsed_{};
  std::mt19937_64 random_{7};
  Result out_;
};

template <typename Policy>
Result Simulate(const LoadPattern& load) {
  Policy policy;
  return ConnectionSimulation(load, &policy).Run();
}

Duration TenSeconds(Duration, std::mt19937_64*) { return seconds(10); }

// From the 20th to the 40th second, connections are closed after short rests.
Duration ForgetfulTimeout(Duration elapsed, std::mt19937_64* random) {
  if (elapsed < seconds(20) || elapsed > seconds(40)) return seconds(10);
  return milliseconds(std::uniform_int_distribution<int>(180, 350)(*random));
}

// Guards against a new connection for half of the requests of a VM whose
// requests spread over many instances.
TEST_CASE("Connections, instances close after 10 s, are opened less often") {
  for (const double rate : {10.0, 30.0, 60.0}) {
    for (const double non_idempotent : {0.2, 0.5}) {
      const LoadPattern load{.requests_per_second = rate,
                             .non_idempotent = non_idempotent,
                             .idle_timeout = TenSeconds};
      const Result fixed = Simulate<FixedLimits>(load);
      const Result learned = Simulate<LearnedLimits>(load);
      MESSAGE(rate, "/s, ", non_idempotent, " non-idempotent: opened ",
              fixed.opened, " -> ", learned.opened, " for ", learned.requests,
              ", of these first ", learned.first, ", lost ", fixed.lost, " -> ",
              learned.lost);
      CHECK(learned.lost == 0);
      CHECK((learned.opened - learned.first) * 10 <
            (fixed.opened - fixed.first) * 7);
    }
  }
}

// Guards against losing requests that must not be repeated at instances that
// begin to close connections after short rests.
TEST_CASE("Connections, instances forget them after 0.2 s, lose no more") {
  for (const double rate : {10.0, 30.0, 60.0}) {
    const LoadPattern load{.requests_per_second = rate,
                           .non_idempotent = 0.5,
                           .idle_timeout = ForgetfulTimeout};
    const Result fixed = Simulate<FixedLimits>(load);
    const Result learned = Simulate<LearnedLimits>(load);
    MESSAGE(rate, "/s: opened ", fixed.opened, " -> ", learned.opened, " for ",
            learned.requests, ", lost ", fixed.lost, " -> ", learned.lost);
    CHECK(learned.lost * 2 <= fixed.lost);
  }
}

// Guards against reuse near the time after which an instance closes, whether it
// advertises that or not.
TEST_CASE("Idle limits, each kind of evidence, bound the reuse") {
  IdleLimits limits;
  TimePoint now = kStart;
  const auto limit = [&](bool is_idempotent, Duration advertised = {}) {
    return limits.ReuseLimit("i", advertised, is_idempotent, now);
  };
  CHECK(limit(false) == IdleLimits::kMinIdleForNonIdempotent);
  CHECK(limit(true) == IdleLimits::kMaxIdle);
  CHECK(limit(true, seconds(5)) == seconds(4));
  CHECK(ToMillis(limit(false, seconds(5))) == 3500);
  CHECK(limit(true, seconds(1)) == milliseconds(500));
  CHECK(limit(false, seconds(1)) == milliseconds(500));
  limits.OnSurvived("i", seconds(6));
  CHECK(ToMillis(limit(false)) == 4200);
  limits.OnClosed("i", seconds(10), now);
  CHECK(limit(false) == seconds(7));
  CHECK(limit(true) == seconds(9));
  limits.OnLost("j", milliseconds(500), now);
  CHECK(limit(false) == IdleLimits::kMinIdleForNonIdempotent);
  CHECK(limit(true) == IdleLimits::kCautiousIdle);
  now += IdleLimits::kCautionTime;
  limits.OnLost("i", seconds(8), now);
  CHECK(limit(true) == seconds(7));
  limits.OnClosed("i", milliseconds(200), now);
  CHECK(limit(false, seconds(5)) == milliseconds(100));
  CHECK(limit(true, seconds(5)) == milliseconds(100));
  now += IdleLimits::kMinEvidenceTime;
  CHECK(ToMillis(limit(false)) == 5600);
  limits.Forget("i");
  CHECK(limit(true) == IdleLimits::kMaxIdle);
}

// Guards against a loss at each instance in turn before it is known that all of
// them close early, and against distrust of all because of one that ended.
TEST_CASE("Idle limits, early closes of three instances, hold for the others") {
  IdleLimits limits;
  for (const char* it : {"a", "b"}) {
    limits.OnClosed(it, milliseconds(300), kStart);
    limits.Tick(kStart);
    CHECK(limits.ReuseLimit("d", {}, false, kStart) ==
          IdleLimits::kMinIdleForNonIdempotent);
  }
  limits.OnClosed("c", milliseconds(240), kStart);
  limits.Tick(kStart);
  CHECK(limits.ReuseLimit("d", {}, false, kStart) == milliseconds(120));
  const TimePoint later = kStart + IdleLimits::kMinEvidenceTime;
  limits.Tick(later);
  CHECK(limits.ReuseLimit("d", {}, false, later) ==
        IdleLimits::kMinIdleForNonIdempotent);
}

}  // namespace
}  // namespace rwf
