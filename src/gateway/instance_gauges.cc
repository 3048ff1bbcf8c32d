#include "gateway/instance_gauges.h"

#include <algorithm>

#include "net/event_loop.h"

namespace rwf {

void AddInstanceGauges(Metrics* metrics, const InstanceRegistry* registry,
                       const InstanceNotices* notices) {
  metrics->AddGauge("rwf_instances", "Known upstream instances",
                    [registry] { return double(registry->size()); });
  metrics->AddGauge(
      "rwf_instances_draining",
      "Upstream instances whose entries say that they are draining",
      [registry] {
        return double(std::count_if(
            registry->all().begin(), registry->all().end(),
            [](const auto& it) { return it.second->info().is_draining; }));
      });
  metrics->AddGauge("rwf_instances_limited",
                    "Upstream instances that name a limit of requests",
                    [notices] { return double(notices->limited()); });
  metrics->AddGauge("rwf_instances_leaving",
                    "Upstream instances that say they are leaving",
                    [notices] { return double(notices->leaving()); });
  metrics->AddGauge(
      "rwf_instances_waiting",
      "Upstream instances that have asked this VM for a pause",
      [notices] { return double(notices->waiting(EventLoop::Now())); });
}

}  // namespace rwf
