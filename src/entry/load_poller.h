#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "steering/upstream_selector.h"

namespace rwf {

// Polls GET /load of the upstream instances in the local zone and, during a
// move into the local zone, of those in the zone that the clients move from.
class LoadPoller {
 public:
  static constexpr Duration kPollInterval = std::chrono::seconds(1);

  // Called for each valid report.
  using ReportCallback = std::function<void(const std::string& service,
                                            const std::string& upstream,
                                            const LoadReport& report)>;

  // `client` outlives the poller.
  LoadPoller(HttpClient* client, std::string own_zone,
             ReportCallback on_report);

  void SetConfig(std::shared_ptr<const Config> config);
  // Sends one request to every instance. Called every kPollInterval.
  void Poll();

  // The last valid report of an instance; nullopt if there was none.
  std::optional<LoadReport> Find(const std::string& upstream) const;

 private:
  bool ShouldPoll(const Service& service, const Upstream& upstream) const;
  void PollInstance(const std::string& service, const Upstream& upstream);

  HttpClient* client_;
  std::string own_zone_;
  ReportCallback on_report_;
  std::shared_ptr<const Config> config_;
  std::map<std::string, LoadReport> reports_;  // by upstream id
};

}  // namespace rwf
