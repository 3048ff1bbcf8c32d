#include "gateway/instance_prober.h"

namespace rwf {

void InstanceProber::Probe(const UpstreamTarget& target,
                           const std::string& process) {
  if (probes_.contains(process)) return;
  probes_[process] = loop_->After(kDelay, [this, target, process] {
    pool_->Probe(target, [this, process](bool is_refused) {
      probes_.erase(process);
      if (is_refused) signal_ended.emit(process);
    });
  });
}

}  // namespace rwf
