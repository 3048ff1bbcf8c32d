#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/cold_pacer.h"
#include "traffic/instance_board.h"
#include "traffic/region_split.h"
#include "traffic/work_model.h"

namespace rwf {

// What a request needs of an instance.
struct PlacementRequest {
  std::string service;
  std::string route;
  uint64_t object = 0;  // hash of what the request is about; 0: nothing
  RegionFilter regions;
  Duration objective{};
  Duration time_left{};  // until the caller or the route gives up
  int priority = 0;      // 0 is the most urgent
  bool idempotent = false;
  std::vector<std::string> tried;  // instances that had it already
};

enum class NoPlace : uint8_t {
  kNoInstance,  // none that may be used
  kNoRoom,      // all are full, or the answer would come too late
};

struct PlacementChoice {
  InstanceState* instance = nullptr;  // null: refused
  NoPlace reason = NoPlace::kNoInstance;
  Duration expected{};        // of the run alone
  Duration expected_total{};  // with waiting and the network
  bool is_warm = false;       // surely: it had the object from this VM lately
  bool is_away = false;       // in another region
  // Time after which the run is slower than a healthy instance would be.
  Duration patience{};
  size_t rank = 0;         // in the order of the request's object
  Duration retry_after{};  // of a refusal
  // What decided a refusal: load for each slot of this region and of the
  // others, and the time in which the best place would have answered.
  double home_load = 0;
  double away_load = 0;
  std::optional<Duration> best_total;
};

struct PlacementSettings {
  std::string region;  // of this VM
  double max_shift = 0.15;
  Duration cross_region_rtt = std::chrono::milliseconds(42);
};

// Chooses the instance that a request is sent to. Every VM ranks the instances
// of a region in the same order for an object, so that its requests meet where
// it is warm, without messages. A request leaves its first instances only when
// it would wait there longer than a cold run elsewhere takes.
class Placement {
 public:
  // Instances of an object's order that are considered before all others.
  static constexpr size_t kPreferred = 3;
  // Load for each slot up to which requests of priority 0, 1, 2 and above are
  // sent to an instance: the more urgent, the longer its queue may be.
  static constexpr double kLoadLimits[] = {2.5, 2.0, 1.6};
  // Cost of a cold run beyond its own time, as a part of the additional slot
  // time that it takes from others.
  static constexpr double kColdCost = 0.5;
  // Requests of this VM that may leave their region one by one, as a part of
  // all within a window of two seconds.
  static constexpr double kSpillPart = 0.35;
  static constexpr Duration kSpillWindow = std::chrono::seconds(2);

  Placement(PlacementSettings settings, InstanceBoard* board);

  // `cold_rate` is what a cold instance of the service bears, `home_users` the
  // number of VMs in this region. Refused requests are not counted anywhere.
  PlacementChoice Choose(const PlacementRequest& request, double cold_rate,
                         size_t home_users, TimePoint now);
  // The request is sent where Choose said.
  void OnSent(const PlacementRequest& request, const PlacementChoice& choice,
              double cold_rate, size_t home_users, TimePoint now);
  WorkModel* work() { return &work_; }
  // Follows the load of the regions. To be called a few times a second.
  void Tick(const std::vector<std::string>& services, TimePoint now);
  const RegionSplit& split() const { return split_; }

 private:
  struct Candidate {
    InstanceState* it = nullptr;
    uint64_t score = 0;
  };
  struct Loads {
    double home_load = 0, home_slots = 0, away_load = 0, away_slots = 0;
    size_t regions = 0;
  };
  bool IsUsable(const InstanceState& it, const PlacementRequest& request,
                TimePoint now) const;
  std::vector<Candidate> Ranked(const PlacementRequest& request, bool home,
                                TimePoint now) const;
  std::optional<PlacementChoice> Best(const PlacementRequest& request,
                                      bool home, double cold_rate,
                                      size_t home_users, TimePoint now) const;
  PlacementChoice Rate(const PlacementRequest& request, const Candidate& it,
                       size_t rank, bool home, TimePoint now) const;
  Loads LoadsOf(const std::string& service, TimePoint now) const;
  bool MaySpill(TimePoint now) const;

  PlacementSettings settings_;
  InstanceBoard* board_;
  WorkModel work_;
  ColdPacer pacer_;
  RegionSplit split_;
  // Present and last window of requests and of those that spilled.
  TimePoint window_start_{};
  double requests_[2] = {0, 0};
  double spilled_[2] = {0, 0};
};

}  // namespace rwf
