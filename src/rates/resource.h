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

// A resource of a ledger with what the borrower and the lender side remember.
struct Resource {
  Resource(wire::ResourceKind kind_in, std::string name_in, TimePoint now,
           TimePoint own_active_from)
      : kind(kind_in),
        name(std::move(name_in)),
        account(kind_in == wire::ResourceKind::kUpstreamSlots, now,
                own_active_from) {}

  bool IsSlots() const { return kind == wire::ResourceKind::kUpstreamSlots; }
  // Units of one request.
  int64_t Unit() const {
    return kind == wire::ResourceKind::kWorkspaceRate ? kUnitsPerRequest : 1;
  }

  // How a peer answered the last request for more of this resource.
  struct PeerBackoff {
    TimePoint not_before = TimePoint::min();
    Duration backoff{};
  };
  // A peer that lately wanted more than it got from here.
  struct PeerDemand {
    TimePoint last_request_at;
    bool is_unmet = false;
  };

  wire::ResourceKind kind;
  std::string name;
  ResourceAccount account;
  Demand demand;
  Slice fleet_total;    // of all VMs together, by the configuration in force
  std::string region;   // source region of a link
  int64_t waiting = 0;  // in requests or bytes
  // Until when a promised Retry-After counts on the present pieces.
  TimePoint keep_loans_until = TimePoint::min();
  std::vector<std::string> candidates;  // peers that may have some to lend
  std::map<std::string, PeerBackoff> backoffs;
  std::map<std::string, PeerDemand> peer_demands;
};

// Gives null for unknown resources.
using FindResource =
    std::function<Resource*(wire::ResourceKind, const std::string&)>;

// What this VM itself needs of a resource: its recent use with some reserve, as
// rate and capacity; for slots also what waits for one.
Slice OwnNeed(const Resource& resource, TimePoint now);

// Tokens that may go to requests that wait at a peer: what an idle VM has, and
// what a VM in use has above half its capacity.
int64_t LendableTokens(const Resource& resource, TimePoint now);

// Tokens that waiting requests lack.
int64_t TokenShortfall(const Resource& resource);

}  // namespace rwf
