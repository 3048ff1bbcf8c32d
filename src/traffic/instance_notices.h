#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/fleet_limiter.h"
#include "traffic/instance_registry.h"

namespace rwf {

// What an instance says of itself in one response.
struct InstanceNotice {
  // Requests per second that it takes from all VMs together; absent: no limit.
  std::optional<double> rate_limit;
  // It is about to end and takes no new requests.
  bool is_leaving = false;
  // It turned the request away and wants no other from this VM for so long.
  std::optional<Duration> wait;
  friend bool operator==(const InstanceNotice&,
                         const InstanceNotice&) = default;
};

// Whether an instance may receive a request from this VM.
enum class InstanceAvailability : uint8_t {
  kOpen,
  kLeaving,
  kWaiting,  // until the end of the time that it asked for
  kLimited,  // until the limit that it names allows another request
};

// A notice as one VM passes it on to its peers, without the wait, which
// concerns one VM.
struct SharedNotice {
  std::string instance;
  int64_t started_ms = 0;  // start of the process that it is about
  InstanceNotice notice;
  Duration age{};  // since the instance said so
  friend bool operator==(const SharedNotice&, const SharedNotice&) = default;
};

// Keeps what instances say of themselves and decides which of them may receive
// a request for it. A notice is about one process of an instance and ends with
// it; whether the instance responds well or is listed does not matter.
//
// Every VM tells its peers what instances told it, and the limits are kept by
// all VMs together.
class InstanceNotices {
 public:
  // Tokens that an instance's limit may save up, in seconds of its rate. With
  // it, no span of four seconds exceeds one and a half times the rate.
  static constexpr Duration kBurst = std::chrono::seconds(2);
  // Time constant of the demand for one instance. A VM of a large fleet sends
  // less than one request per second to an instance.
  static constexpr Duration kDemandWindow = std::chrono::seconds(5);
  static constexpr double kMinDemandChange = 0.1;
  // Lowest rate at which a limited instance is still asked whether its limit
  // holds, in requests per second of all VMs together.
  static constexpr double kMinRate = 0.1;
  // A limit is forgotten when the instance has not been heard of for this long.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  // The same for an instance that leaves. It is no longer asked, so only its
  // entry tells that it lives on.
  static constexpr Duration kLeavingRetention = std::chrono::minutes(15);
  // After a wait, one request at a time tests whether the instance takes
  // requests again. Without a response for this long, another one may.
  static constexpr Duration kTestTimeout = std::chrono::seconds(2);

  InstanceNotices();

  // Records what a process of an instance said in a response to this VM,
  // whether the process is listed or not. Only the id and the start of the
  // instance are used. Returns whether it differs from what was known.
  bool OnResponse(const InstanceInfo& instance, const InstanceNotice& notice,
                  TimePoint now);
  // Records what a peer heard. Returns whether that was news.
  bool OnShared(const SharedNotice& shared, TimePoint now);
  // Returns the notices that changed since the last call, or all of them.
  std::vector<SharedNotice> Share(bool all, TimePoint now);

  // Returns the limit that the instance names, in requests per second of all
  // VMs together.
  std::optional<double> RateLimit(const InstanceInfo& instance) const;
  // Returns whether the instance takes a request from this VM now, or why not.
  InstanceAvailability AvailabilityOf(const InstanceInfo& instance,
                                      TimePoint now);
  bool IsLeaving(const InstanceInfo& instance) const;
  // Returns the time until the instance is expected to be open; the maximum if
  // it is leaving.
  Duration TimeUntilOpen(const InstanceInfo& instance, TimePoint now);
  // Records a request that is sent to the instance.
  void OnSent(const InstanceInfo& instance, TimePoint now);
  // Records a request that would have been sent to the instance if it were
  // open.
  void OnDeclined(const InstanceInfo& instance, TimePoint now);

  // Forgets what an instance said whose entry does not tell when it started, so
  // that its next process cannot be told from this one.
  void Forget(const std::string& instance);
  // Forgets notices that were not heard again. Must be called every second or
  // so.
  void RemoveExpired(TimePoint now);
  // Returns the number of known instances in this state.
  size_t limited() const;
  size_t leaving() const;
  size_t waiting(TimePoint now) const;
  // The part of the limits that this VM exchanges with its peers.
  FleetLimiter* limiter() { return &limiter_; }

 private:
  struct State {
    int64_t started_ms = 0;
    InstanceNotice notice;
    TimePoint heard_at{};
    bool is_changed = false;  // since the last call of Share()
    TimePoint wait_until{};
    // The wait has not been followed by a response without one.
    bool needs_test = false;
    TimePoint tested_at{};
  };
  bool Update(const std::string& id, int64_t started_ms,
              const InstanceNotice& notice, TimePoint heard_at, TimePoint now);
  static bool IsExpired(const State& state, TimePoint now);
  // Returns the state of the instance's present process, or null.
  const State* Find(const InstanceInfo& instance) const;

  std::map<std::string, State> states_;
  FleetLimiter limiter_;
};

}  // namespace rwf
