#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "rates/resource.h"
#include "wire/messages_generated.h"

namespace rwf {

// Messages to send to one peer; the return goes first. Either may be null.
struct LoanMessages {
  std::string peer;
  std::unique_ptr<wire::LoanReturnT> loan_return;
  std::unique_ptr<wire::LoanRequestT> request;
};

// Borrowing side of a ShareLedger: requests missing quota from peers, renews
// the loans in use and returns the others.
class Borrower {
 public:
  // References stay valid while resources are added.
  using Resources = std::deque<Resource>;

  explicit Borrower(uint64_t incarnation) : incarnation_(incarnation) {}

  std::vector<LoanMessages> Tick(Resources* resources, TimePoint now);

  // Applies a grant. Each item counts once, and its duration runs from the time
  // at which the request was sent.
  void OnGrant(const std::string& peer, const wire::LoanGrantT& grant,
               const FindResource& find, TimePoint now);

  // `peer` itself requests this resource: returns loans from it up to the
  // requested slice, except those with held slots.
  void OnRecall(const std::string& peer, const Slice& asked, Resource* resource,
                TimePoint now);

  bool HasReturns() const { return !returns_.empty(); }

  uint64_t requests_sent() const { return requests_sent_; }
  uint64_t items_borrowed() const { return items_borrowed_; }
  uint64_t items_renewed() const { return items_renewed_; }
  uint64_t items_returned() const { return items_returned_; }
  uint64_t grants_ignored() const { return grants_ignored_; }

 private:
  struct Ask {
    Resource* resource = nullptr;
    Slice asked;
    int64_t tokens = 0;  // for waiting requests, at most asked.capacity
  };
  struct OutstandingRequest {
    std::string peer;
    TimePoint sent_at;
    std::vector<Ask> asks;
    std::set<uint64_t> renewals;
    bool timed_out = false;
  };
  using Asks = std::map<std::string, std::vector<Ask>>;

  void PlanAsks(Resource* resource, TimePoint now, Asks* asks);
  void ReturnSurplus(Resource* resource, const Slice& want, TimePoint now);
  void ReturnLoan(Resource* resource, const BorrowedQuota& quota,
                  TimePoint now);
  // Backs off from peers that did not reply in time, for example because of a
  // partition.
  void MarkTimedOut(TimePoint now);
  void UpdateBackoff(Resource* resource, const std::string& peer,
                     const Slice& asked, const Slice& granted, TimePoint now);
  std::unique_ptr<wire::LoanRequestT> BuildRequest(const std::string& peer,
                                                   const std::vector<Ask>& asks,
                                                   Resources* resources,
                                                   TimePoint now);

  uint64_t incarnation_;
  uint64_t last_request_id_ = 0;
  std::map<uint64_t, OutstandingRequest> outstanding_requests_;
  std::map<std::string, TimePoint> renewed_at_;
  // Loan ids to return, keyed by lender and lender incarnation.
  std::map<std::pair<std::string, uint64_t>, std::vector<uint64_t>> returns_;
  uint64_t requests_sent_ = 0;
  uint64_t items_borrowed_ = 0;
  uint64_t items_renewed_ = 0;
  uint64_t items_returned_ = 0;
  uint64_t grants_ignored_ = 0;
};

}  // namespace rwf
