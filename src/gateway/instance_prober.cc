#include "gateway/instance_prober.h"

namespace rwf {

void InstanceProber::Probe(const UpstreamTarget& target) {
  if (probes_.contains(target.instance)) return;
  probes_[target.instance] = loop_->After(kDelay, [this, target] {
    pool_->Probe(target, [this, id = target.instance](bool is_refused) {
      probes_.erase(id);
      if (is_refused) signal_ended.emit(id);
    });
  });
}

}  // namespace rwf
