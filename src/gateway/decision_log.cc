#include "gateway/decision_log.h"

namespace rwf {

void LogNotice(EventLog* log, const std::string& process,
               const InstanceNotice& notice, const std::string& peer,
               Duration age) {
  log->State("instance_notice")
      .Text("instance", process)
      .Text("heard_by", peer.empty() ? "self" : peer)
      .Millis("age_ms", age)
      .Real("rate_limit", notice.rate_limit.value_or(-1))
      .Flag("leaving", notice.is_leaving)
      .Millis("wait_ms", notice.wait.value_or(Duration::zero()));
}

const char* RefusalCauseName(const PlacementChoice& refusal) {
  return refusal.reason == PlacementRefusal::kNoInstance
             ? "no-instance"
             : RejectionCauseName(refusal.details.MainCause());
}

void LogRefusedPlacement(EventLog* log, const std::string& request_id,
                         const PlacementRequest& request,
                         const PlacementChoice& refusal) {
  const RefusalDetails& details = refusal.details;
  EventLog::Line line = log->Request("no_place", request_id);
  line.Text("service", request.service)
      .Text("route", request.route)
      .Real("home_load", refusal.local_load)
      .Real("away_load", refusal.remote_load)
      .Millis("left_ms", request.time_left)
      .Number("priority", request.priority)
      .Flag("has_object", request.object != 0)
      .Flag("is_retry", request.is_retry)
      .Millis("expected_ms", details.expected)
      .Millis("allowed_ms", details.allowed)
      .Flag("measured", details.is_time_measured)
      .Millis("run_ms", details.estimate.run)
      .Text("estimate", EstimateOriginName(details.estimate.origin))
      .Real("measured_runs", details.estimate.measured_runs);
  for (size_t n = 0; n < details.rejected.size(); ++n) {
    if (details.rejected[n] == 0) continue;
    line.Number(RejectionCauseName(static_cast<RejectionCause>(n)),
                details.rejected[n]);
  }
}

void LogLongRun(EventLog* log, const std::string& request_id,
                const PlacementRequest& request, const std::string& instance,
                const RunReport& report, Duration run) {
  if (!report.is_in_effect || run <= report.upper) return;
  log->Request("long_run", request_id)
      .Text("instance", instance)
      .Text("route", request.route)
      .Millis("took_ms", run)
      .Millis("upper_ms", report.upper)
      .Real("factor", report.factor)
      .Real("trust", report.trust);
}

}  // namespace rwf
