#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "rates/demand.h"
#include "rates/resource_account.h"
#include "rates/slice.h"
#include "wire/messages_generated.h"

namespace rwf {

// A resource of a ledger with the state of its borrowing and lending sides.
struct Resource {
  Resource(wire::ResourceKind kind_in, std::string name_in, TimePoint now,
           TimePoint own_active_from)
      : kind(kind_in),
        name(std::move(name_in)),
        account(kind_in == wire::ResourceKind::kUpstreamSlots, now,
                own_active_from) {}

  bool IsSlots() const { return kind == wire::ResourceKind::kUpstreamSlots; }
  // Units that one request takes.
  int64_t Unit() const {
    return kind == wire::ResourceKind::kWorkspaceRate ? kUnitsPerRequest : 1;
  }

  // Back-off towards a peer, from its last reply to a request for this
  // resource.
  struct PeerBackoff {
    TimePoint not_before = TimePoint::min();
    Duration backoff{};
  };
  // The last request of a peer for this resource, and whether it was met in
  // full.
  struct PeerDemand {
    TimePoint last_request_at;
    bool is_unmet = false;
  };

  wire::ResourceKind kind;
  std::string name;
  ResourceAccount account;
  Demand demand;
  Slice fleet_total;    // over all VMs, by the configuration in force
  std::string region;   // source region of a link
  int64_t waiting = 0;  // in requests or bytes
  // No loan is returned before this time, because an announced Retry-After
  // relies on it.
  TimePoint keep_loans_until = TimePoint::min();
  std::vector<std::string> candidates;  // peers to request loans from
  std::map<std::string, PeerBackoff> backoffs;
  std::map<std::string, PeerDemand> peer_demands;
};

// Returns null for unknown resources.
using FindResource =
    std::function<Resource*(wire::ResourceKind, const std::string&)>;

// What this VM itself needs of a resource. Rates and links: rate and capacity
// from the recent demand with a reserve. Slots: the recent peak and the waiting
// requests.
Slice OwnNeed(const Resource& resource, TimePoint now);

// Tokens that may be lent for requests that wait at a peer: all tokens if this
// VM is idle, else those above half its capacity.
int64_t LendableTokens(const Resource& resource, TimePoint now);

// Tokens that are missing for the waiting requests.
int64_t TokenShortfall(const Resource& resource);

}  // namespace rwf
