#pragma once

#include "entry/metrics.h"
#include "traffic/instance_notices.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Registers the gauges on instances. All arguments must outlive `metrics`.
void AddInstanceGauges(Metrics* metrics, const InstanceRegistry* registry,
                       const InstanceNotices* notices);

}  // namespace rwf
