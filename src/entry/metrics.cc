#include "entry/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace rwf {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

}  // namespace

Metrics::Metrics()
    : requests_(&prometheus::BuildCounter()
                     .Name("rwf_requests_total")
                     .Help("Requests by service and result")
                     .Register(registry_)),
      latencies_(&prometheus::BuildHistogram()
                      .Name("rwf_request_seconds")
                      .Help("Time from arrival to response by service")
                      .Register(registry_)),
      failures_(
          &prometheus::BuildCounter()
               .Name("rwf_upstream_failures_total")
               .Help("Upstream attempts without a usable response by cause")
               .Register(registry_)),
      refused_placements_(
          &prometheus::BuildCounter()
               .Name("rwf_refused_placements_total")
               .Help("Requests that no instance could take, by main cause")
               .Register(registry_)),
      broken_runs_(
          &prometheus::BuildCounter()
               .Name("rwf_broken_runs_total")
               .Help("Runs whose connection broke, by what they were taken for")
               .Register(registry_)),
      buffer_reclaims_(
          &prometheus::BuildCounter()
               .Name("rwf_buffer_reclaims_total")
               .Help("Holders of buffered bytes that were given up, by cause")
               .Register(registry_)),
      runs_within_estimate_(
          &prometheus::BuildGauge()
               .Name("rwf_runs_within_estimate_ratio")
               .Help(
                   "Share of runs within the estimated 0.95 quantile by route")
               .Register(registry_)),
      lookups_(&prometheus::BuildCounter()
                    .Name("rwf_lookups_total")
                    .Help("Look-ups served")
                    .Register(registry_)
                    .Add({})),
      retries_(&prometheus::BuildCounter()
                    .Name("rwf_retries_total")
                    .Help("Requests retried after a failed upstream attempt")
                    .Register(registry_)
                    .Add({})) {}

void Metrics::CountRequest(const std::string& service,
                           const std::string& result, Duration latency) {
  prometheus::Counter*& counter = request_counters_[{service, result}];
  if (counter == nullptr) {
    counter = &requests_->Add({{"service", service}, {"result", result}});
  }
  counter->Increment();
  prometheus::Histogram*& histogram = latency_histograms_[service];
  if (histogram == nullptr) {
    histogram = &latencies_->Add({{"service", service}}, kLatencySeconds);
  }
  histogram->Observe(ToSeconds(latency));
}

void Metrics::CountUpstreamFailure(const std::string& cause) {
  failures_->Add({{"cause", cause}}).Increment();
}

void Metrics::CountBrokenRun(const std::string& verdict) {
  broken_runs_->Add({{"verdict", verdict}}).Increment();
}

void Metrics::CountBufferReclaim(const std::string& cause) {
  buffer_reclaims_->Add({{"cause", cause}}).Increment();
}

void Metrics::CountRefusedPlacement(const std::string& cause) {
  refused_placements_->Add({{"cause", cause}}).Increment();
}

void Metrics::SetRunsWithinEstimate(const std::string& service,
                                    const std::string& route, double share) {
  runs_within_estimate_->Add({{"service", service}, {"route", route}})
      .Set(share);
}

void Metrics::AddGauge(const std::string& name, const std::string& help,
                       std::function<double()> read,
                       const std::map<std::string, std::string>& labels) {
  prometheus::Gauge& gauge =
      prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(
          labels);
  gauges_.emplace_back(&gauge, std::move(read));
}

std::string Metrics::Collect() {
  for (const auto& [gauge, read] : gauges_) gauge->Set(read());
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace rwf
