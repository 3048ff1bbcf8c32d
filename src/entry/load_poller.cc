#include "entry/load_poller.h"

#include <algorithm>

#include "base/json_reader.h"

namespace rwf {
namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(800);
// A report is discarded if its age_ms is greater than this or negative.
constexpr int64_t kMaxReportAgeMs = 60'000;

std::optional<LoadReport> ParseLoadReport(const HttpOutcome& outcome) {
  if (outcome.ec || outcome.response.status != 200) return std::nullopt;
  const Json body = Json::parse(outcome.response.body, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  std::vector<JsonProblem> problems;
  JsonReader reader(body, "", &problems);
  LoadReport out;
  out.in_flight = reader.Number("in_flight", 0, 1e6);
  out.capacity = reader.Number("slots", 0, 1e6);
  const int64_t age_ms = reader.Integer("age_ms", 0, kMaxReportAgeMs);
  if (!problems.empty()) return std::nullopt;
  out.at = EventLoop::Now() - std::chrono::milliseconds(age_ms);
  return out;
}

}  // namespace

LoadPoller::LoadPoller(HttpClient* client, std::string own_zone,
                       ReportCallback on_report)
    : client_(client),
      own_zone_(std::move(own_zone)),
      on_report_(std::move(on_report)) {}

void LoadPoller::SetConfig(std::shared_ptr<const Config> config) {
  config_ = std::move(config);
}

bool LoadPoller::ShouldPoll(const Service& service,
                            const Upstream& upstream) const {
  if (upstream.zone == own_zone_) return true;
  return std::any_of(
      config_->moves.begin(), config_->moves.end(), [&](const Move& it) {
        return it.state == MoveState::kRunning && it.service == service.name &&
               it.to == own_zone_ && it.from == upstream.zone;
      });
}

void LoadPoller::Poll() {
  if (config_ == nullptr) return;
  for (const Service& service : config_->services) {
    for (const Upstream& it : service.upstreams) {
      if (ShouldPoll(service, it)) PollInstance(service.name, it);
    }
  }
}

void LoadPoller::PollInstance(const std::string& service,
                              const Upstream& upstream) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/load";
  client_->Send({upstream.address, upstream.port}, request, kTimeout,
                [this, service, id = upstream.id](const HttpOutcome& outcome) {
                  const auto report = ParseLoadReport(outcome);
                  if (!report) return;
                  reports_[id] = *report;
                  on_report_(service, id, *report);
                });
}

std::optional<LoadReport> LoadPoller::Find(const std::string& upstream) const {
  const auto it = reports_.find(upstream);
  if (it == reports_.end()) return std::nullopt;
  return it->second;
}

}  // namespace rwf
