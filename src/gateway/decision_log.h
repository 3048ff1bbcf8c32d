#pragma once

#include <string>

#include "gateway/event_log.h"
#include "traffic/instance_notices.h"
#include "traffic/placement.h"

namespace rwf {

// Logs a change of what a process of an instance says of itself. `peer` is the
// VM that passed it on; empty: this VM heard it.
void LogNotice(EventLog* log, const std::string& process,
               const InstanceNotice& notice, const std::string& peer,
               Duration age);

// Returns the main cause of a refused placement, for metrics.
const char* RefusalCauseName(const PlacementChoice& refusal);

// Logs a request for which no instance was found, with what decided it.
void LogRefusedPlacement(EventLog* log, const std::string& request_id,
                         const PlacementRequest& request,
                         const PlacementChoice& refusal);

// Logs a run beyond the upper quantile of its route, where runs are placed by
// it.
void LogLongRun(EventLog* log, const std::string& request_id,
                const PlacementRequest& request, const std::string& instance,
                const RunReport& report, Duration run);

}  // namespace rwf
