#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace rwf {

// The metrics of one process, exported in the Prometheus text format.
class Metrics {
 public:
  Metrics();

  // Records a finished request. `result` is "ran", "replayed", "caller-left" or
  // a refusal code.
  void CountRequest(const std::string& service, const std::string& result,
                    Duration latency);
  void CountLookup() { lookups_->Increment(); }
  void CountRetry() { retries_->Increment(); }
  // Counts an attempt at an upstream that gave no usable response.
  void CountUpstreamFailure(const std::string& cause);
  // Counts a request that no instance could take, by the cause that applied to
  // most of them.
  void CountRefusedPlacement(const std::string& cause);

  // Counts buffered bytes that were given up, by what they were for.
  void CountBufferReclaim(const std::string& cause);
  // Counts a run whose connection broke, by what it was taken for.
  void CountBrokenRun(const std::string& verdict);

  // Sets the share of a route's runs within the estimated upper quantile.
  void SetRunsWithinEstimate(const std::string& service,
                             const std::string& route, double share);

  // Registers a gauge whose value `read` supplies at each collection. Names of
  // values that only increase end in `_total`.
  // Gauges of one name differ in their labels.
  void AddGauge(const std::string& name, const std::string& help,
                std::function<double()> read,
                const std::map<std::string, std::string>& labels = {});

  std::string Collect();

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>* requests_;
  prometheus::Family<prometheus::Histogram>* latencies_;
  prometheus::Family<prometheus::Counter>* failures_;
  prometheus::Family<prometheus::Counter>* refused_placements_;
  prometheus::Family<prometheus::Counter>* broken_runs_;
  prometheus::Family<prometheus::Counter>* buffer_reclaims_;
  prometheus::Family<prometheus::Gauge>* runs_within_estimate_;
  prometheus::Counter* lookups_;
  prometheus::Counter* retries_;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*>
      request_counters_;
  std::map<std::string, prometheus::Histogram*> latency_histograms_;
  std::vector<std::pair<prometheus::Gauge*, std::function<double()>>> gauges_;
};

}  // namespace rwf
