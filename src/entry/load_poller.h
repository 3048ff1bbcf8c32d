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

// Reads GET /load of upstream instances: those of the own zone, and those of
// both zones of a running move into the own zone.
class LoadPoller {
 public:
  static constexpr Duration kPollInterval = std::chrono::seconds(1);

  // Called with each report that can be read.
  using ReportCallback = std::function<void(const std::string& service,
                                            const std::string& upstream,
                                            const LoadReport& report)>;

  // `client` outlives the poller.
  LoadPoller(HttpClient* client, std::string own_zone,
             ReportCallback on_report);

  void SetConfig(std::shared_ptr<const Config> config);
  // Asks every instance once. Called every kPollInterval.
  void Poll();

  // The last report of an instance; nothing if there was none.
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
