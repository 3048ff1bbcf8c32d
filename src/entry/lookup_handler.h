#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/metrics.h"
#include "entry/serving_view.h"
#include "entry/settings.h"
#include "membership/roster.h"
#include "net/http_server.h"
#include "once/claim_ledger.h"

namespace rwf {

// Serves look-ups, by which callers find the entry VMs to use for a service.
class LookupHandler {
 public:
  // All pointers outlive the handler.
  struct Dependencies {
    const Settings* settings;
    const Roster* roster;
    ClaimLedger* claim_ledger;
    Metrics* metrics;
    std::function<bool()> is_leaving;
  };

  explicit LookupHandler(Dependencies deps) : deps_(std::move(deps)) {}

  // Serves GET /v1/lookup?service=NAME. If `view` is null, the status is 503.
  HttpResponse MakeResponse(const ServingView* view, const HttpRequest& request,
                            WallTime wall) const;

  // Whether callers may use the entry VM with this index in config.entry_vms.
  bool IsUsable(const Config& config, size_t vm) const;

 private:
  // Prefix of idempotency keys whose claims are kept by `vm`; empty if the
  // incarnation of its process is not known.
  std::string IdempotencyPrefix(const std::string& vm, WallTime wall) const;

  Dependencies deps_;
};

}  // namespace rwf
