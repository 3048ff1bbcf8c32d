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

// Answers callers who ask which entry VMs to use for a service.
class LookupHandler {
 public:
  // All of it outlives the object.
  struct Dependencies {
    const Settings* settings;
    const Roster* roster;
    ClaimLedger* claim_ledger;
    Metrics* metrics;
    std::function<bool()> is_leaving;
  };

  explicit LookupHandler(Dependencies deps) : deps_(std::move(deps)) {}

  // GET /v1/lookup?service=NAME. `view` may be null: 503.
  HttpResponse MakeResponse(const ServingView* view, const HttpRequest& request,
                            WallTime wall) const;

  // Whether callers may be sent to the entry VM with this index.
  bool IsUsable(const Config& config, size_t vm) const;

 private:
  // Prefix for idempotency keys whose home is `vm`; empty if it is not known
  // which process runs there.
  std::string IdempotencyPrefix(const std::string& vm, WallTime wall) const;

  Dependencies deps_;
};

}  // namespace rwf
