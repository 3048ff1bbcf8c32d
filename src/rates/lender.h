#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "rates/resource.h"
#include "wire/messages_generated.h"

namespace rwf {

// Lending side of a ShareLedger: lends what remains beyond the own need, renews
// loans while enough remains, and otherwise lets them expire.
class Lender {
 public:
  explicit Lender(uint64_t incarnation) : incarnation_(incarnation) {}

  // Returns the grant for a request; `find` returns null for unknown resources.
  // A request that is not newer than the latest one from the same borrower
  // incarnation gets an empty grant.
  wire::LoanGrantT HandleRequest(const std::string& peer,
                                 const wire::LoanRequestT& request,
                                 const FindResource& find, TimePoint now);

  uint64_t items_lent() const { return items_lent_; }

 private:
  struct LatestRequest {
    uint64_t incarnation = 0;
    uint64_t request_id = 0;
  };

  bool IsNewer(const std::string& peer, const wire::LoanRequestT& request);
  bool MayRenew(const Resource& resource, const LentQuota& quota,
                TimePoint now) const;
  // Lends from one source: the own share if `source` is empty, else the share
  // inherited from that VM. Subtracts what was lent from `wanted`.
  void LendFrom(Resource* resource, const std::string& source,
                const std::string& peer, Slice* wanted, const Slice& spare,
                int64_t tokens, TimePoint end, TimePoint now,
                wire::LoanGrantT* grant);

  uint64_t incarnation_;
  uint64_t last_loan_id_ = 0;
  std::map<std::string, LatestRequest> latest_requests_;
  uint64_t items_lent_ = 0;
};

}  // namespace rwf
