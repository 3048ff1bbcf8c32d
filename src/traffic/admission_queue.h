#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "traffic/entry_vm_selector.h"

namespace rwf {

// A request that no instance has free capacity for.
struct WaitingRequest {
  uint64_t id = 0;
  std::string service;
  std::string workspace;
  int priority = 0;           // 0 is the highest
  Duration run{};             // expected time from the start to the response
  TimePoint in_time_until{};  // the response is in time until then
  TimePoint ends_at{};        // timeout of the route or the caller
  friend bool operator==(const WaitingRequest&,
                         const WaitingRequest&) = default;
};

// Requests of one VM that wait for capacity of their services. Decides whether
// waiting pays, and in which order they start: by priority, in time before
// late, workspaces below their fair part before others, by latest start.
class AdmissionQueue {
 public:
  static constexpr size_t kMaxWaiting = 256;  // for each service
  // Averaging window of the rate at which attempts end, and half-life of the
  // starts that count toward the fair part of a workspace.
  static constexpr Duration kRateWindow = std::chrono::seconds(2);
  static constexpr Duration kStartHalfLife = std::chrono::seconds(2);
  // Time for the response to reach the caller.
  static constexpr Duration kResponseMargin = std::chrono::milliseconds(60);
  // Fraction by which a run may exceed its expected time without passing the
  // timeout, after which its slot was used for nothing.
  static constexpr double kRunMargin = 0.15;
  // Bounds of the delay of a refusal, as placement has them: a caller that is
  // told a longer one often has no time left for its retry.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1200);

  struct Refusal {
    uint64_t id = 0;
    Duration retry_after{};
    friend bool operator==(const Refusal&, const Refusal&) = default;
  };
  struct Counters {
    uint64_t queued = 0;
    uint64_t started = 0;
    uint64_t refused_at_arrival = 0;
    uint64_t displaced = 0;  // by a request of another workspace
    uint64_t expired = 0;
    uint64_t cancelled = 0;
  };

  // Queues the request if it is expected to end in time. Otherwise returns the
  // delay after which its caller should retry.
  std::optional<Duration> Offer(const WaitingRequest& request, TimePoint now);
  // Returns up to `n` requests of the service in the order of their start.
  std::vector<uint64_t> Next(const std::string& service, size_t n,
                             TimePoint now) const;
  // A request of the workspace was sent to an instance of the service. `id` is
  // that of a queued request, or 0.
  void OnStarted(const std::string& service, const std::string& workspace,
                 uint64_t id, TimePoint now);
  // An attempt at the service ended.
  void OnEnded(const std::string& service, TimePoint now);
  // Removes a queued request, whose caller has left. Returns false if there is
  // none.
  bool Cancel(uint64_t id);
  // Returns the requests that have left the queue without a start.
  std::vector<Refusal> TakeRefused(TimePoint now);
  // Returns the first time after which a queued request can not end in time.
  std::optional<TimePoint> NextExpiry() const;
  // Removes all requests, which are to be refused.
  std::vector<uint64_t> Clear();

  bool IsQueued(uint64_t id) const { return services_by_id_.contains(id); }
  size_t size() const { return services_by_id_.size(); }
  std::vector<std::string> WaitingServices() const;
  const Counters& counters() const { return counters_; }

 private:
  struct Entry {
    WaitingRequest request;
    TimePoint latest_start{};
    bool is_late = false;  // it can only end after its objective
  };
  // A sum whose parts halve every kStartHalfLife.
  struct DecayingSum {
    double value = 0;
    TimePoint at{};
    double At(TimePoint now) const;
    void Add(double n, TimePoint now);
  };
  struct Service {
    std::vector<Entry> entries;  // by arrival
    RateMeter ended{kRateWindow};
    std::map<std::string, DecayingSum> starts;  // by workspace
    // Refused callers that were told to return.
    double expected_back = 0;
    TimePoint expected_back_at{};
  };

  // Requests by workspace.
  using Starts = std::unordered_map<std::string_view, double>;

  // Returns the entries in the order of their start.
  static std::vector<const Entry*> Ordered(const Service& service,
                                           TimePoint now);
  // Returns the max-min level of starts of a workspace.
  static double FairLevel(const Starts& starts, const Starts& waiting);
  // Sets the latest start by the objective or, if the expected wait is too long
  // for that, by the deadline. Returns false if it is too long for both.
  static bool SetLatestStart(Service* service, Entry* entry, TimePoint now);
  static Duration ExpectedWait(const Service& service, size_t ahead,
                               TimePoint now);
  static Duration RetryAfter(Service* service, TimePoint now);
  void Displace(Service* service, TimePoint now);

  std::map<std::string, Service> services_;
  std::map<uint64_t, std::string> services_by_id_;  // of queued requests
  std::vector<Refusal> refused_;
  Counters counters_;
};

}  // namespace rwf
