#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "steering/move_planner.h"
#include "steering/upstream_selector.h"

namespace rwf {

// Proposes the steps of running moves into the local zone. Every VM of the
// target zone proposes them; the compare-and-swap of the configuration lets
// only one proposal of each step take effect.
class MoveDriver {
 public:
  struct Dependencies {
    std::string zone;
    // The last load report of an upstream, by its id.
    std::function<std::optional<LoadReport>(const std::string& upstream)>
        find_load_report;
    // Fraction of this VM's recent attempts for a service that failed or were
    // shed.
    std::function<double(const std::string& service)> failure_ratio;
    std::function<void(Config next, const std::string& action)> propose;
    // A step brings new clients to the zone, whose caches are cold for them.
    std::function<void(const std::string& service, const std::string& zone)>
        on_cold_start;
  };

  MoveDriver(Dependencies deps, TimePoint start);

  void SetConfig(std::shared_ptr<const Config> config, TimePoint now);
  // Called about once a second.
  void Tick(TimePoint now);

 private:
  struct Step {
    int64_t number = 0;
    TimePoint adopted_at;
  };

  std::optional<MoveMetrics> ComputeMetrics(const Move& move) const;

  Dependencies deps_;
  TimePoint start_;
  std::shared_ptr<const Config> config_;
  std::map<std::string, Step> steps_;  // by move id
};

}  // namespace rwf
