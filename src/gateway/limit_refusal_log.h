#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "gateway/event_log.h"
#include "traffic/workspace_limiter.h"

namespace rwf {

// Logs refusals by the limits of workspaces: the first of each workspace in
// each second, then a count. A workspace far above its rate would otherwise
// spend the processor on lines and displace those of other requests.
class LimitRefusalLog {
 public:
  static constexpr Duration kInterval = std::chrono::seconds(1);

  struct Refusal {
    std::string request_id;
    std::string workspace;
    Duration waited{};
    Duration retry_after{};
  };

  // Returns whether the refusal was logged by itself. Counts of earlier
  // intervals are logged with the next refusal of any workspace.
  bool Log(EventLog* log, WorkspaceLimiter* limiter, const Refusal& refusal,
           TimePoint now);

 private:
  void LogCounts(EventLog* log, TimePoint now);

  struct Interval {
    TimePoint begin{};
    int64_t not_logged = 0;
  };
  std::map<std::string, Interval> intervals_;  // by workspace
  TimePoint counted_at_{};
};

}  // namespace rwf
