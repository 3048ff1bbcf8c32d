#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "entry/metrics.h"
#include "net/event_loop.h"
#include "traffic/admission_queue.h"
#include "traffic/instance_registry.h"
#include "traffic/placement.h"

namespace rwf {

// Lets requests wait for capacity, and starts or refuses them. Requests are
// named by the ids of the forwarder.
class ShortageControl {
 public:
  // Interval at which waiting requests are offered to instances whose reports
  // show free capacity.
  static constexpr Duration kInterval = std::chrono::milliseconds(40);
  // Weight of an instance's last report below which the service counts as one
  // that reports no load.
  static constexpr double kMinReportWeight = 0.1;
  // Waiting requests that are started at a time.
  static constexpr size_t kMaxStarts = 8;
  // Waiting requests that placement may refuse at a time. It may find a warm
  // instance for a later one, but each try costs as much as a new request. A
  // higher number applies after an attempt has ended.
  static constexpr int kMaxRefusals = 1;
  static constexpr int kMaxRefusalsAfterEnd = 3;

  struct Handlers {
    // Sends the request if an instance can take it. Returns true if so.
    std::function<bool(uint64_t id)> try_start;
    // Refuses the request, which has not run.
    std::function<void(uint64_t id, Duration retry_after)> refuse;
  };

  ShortageControl(EventLoop* loop, InstanceRegistry* registry,
                  Placement* placement, Handlers handlers);
  ShortageControl(const ShortageControl&) = delete;
  ShortageControl& operator=(const ShortageControl&) = delete;

  // Whether a request that was refused a place may wait for one: the service
  // reports its load, its region counts as full, and the instances lack nothing
  // but capacity.
  bool MayWait(const PlacementRequest& request, const PlacementChoice& refusal,
               TimePoint now) const;
  // Queues the request if waiting pays. Otherwise sets the delay after which
  // capacity is expected.
  bool Offer(uint64_t id, const std::string& workspace,
             const PlacementRequest& request, TimePoint arrived_at,
             TimePoint deadline, Duration* retry_after);
  // A request was sent, whether it had waited or not.
  void OnSent(uint64_t id, const std::string& service,
              const std::string& workspace, TimePoint now);
  // An attempt ended. Waiting requests start from the loop.
  void OnEnded(const std::string& service, AttemptOutcome outcome,
               TimePoint now);
  // Removes a request that has ended otherwise.
  void Cancel(uint64_t id) { queue_.Cancel(id); }
  // Offers the first waiting requests of the service to placement. A new
  // request must not take their place.
  void StartWaiting(const std::string& service, TimePoint now,
                    int max_refusals = kMaxRefusals);
  // Refuses all waiting requests, because the VM stops.
  void RefuseAll();
  void AddMetrics(Metrics* metrics) const;

  bool IsWaiting(uint64_t id) const { return queue_.IsQueued(id); }
  const AdmissionQueue& queue() const { return queue_; }

 private:
  void Tick(int max_refusals);
  void OnEndedTimer();
  // Refuses requests that can no longer end in time.
  void RefuseExpired();
  // Calls RefuseExpired when the next request can no longer end in time.
  void ScheduleExpiry();

  EventLoop* loop_;
  InstanceRegistry* registry_;
  Placement* placement_;
  Handlers handlers_;
  AdmissionQueue queue_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> ended_timer_;  // set while a start is due
  std::unique_ptr<Timer> expiry_timer_;
};

}  // namespace rwf
