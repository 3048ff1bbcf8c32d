#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "upstream/instance.h"
#include "upstream/run_ledger.h"

namespace rwf {

// Reads a list of instances; `defaults` supplies the options that it omits.
Result<std::vector<InstanceOptions>> ReadInstances(
    const Json& list, const InstanceOptions& defaults);

// Hosts all instances of a process and their admin port.
class UpstreamFleet {
 public:
  static constexpr size_t kLedgerPageSize = 20000;

  UpstreamFleet(EventLoop* loop, const std::vector<InstanceOptions>& instances);
  UpstreamFleet(const UpstreamFleet&) = delete;
  UpstreamFleet& operator=(const UpstreamFleet&) = delete;

  // Starts every instance, then the admin port; returns that port.
  Result<uint16_t> Start(const std::string& admin_address, uint16_t admin_port);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void HandleAdmin(const Exchange& exchange);
  void SetFault(const Exchange& exchange);
  std::string Stats() const;

  RunLedger ledger_;
  std::vector<std::unique_ptr<UpstreamInstance>> instances_;
  HttpServer admin_;
};

}  // namespace rwf
