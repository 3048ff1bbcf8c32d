#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/config.h"
#include "rates/borrower.h"
#include "rates/lender.h"
#include "rates/refusal_tracker.h"
#include "rates/resource.h"
#include "rates/share_assignment.h"
#include "wire/messages_generated.h"

namespace rwf {

// Identifies one resource of a ledger: the rate of a workspace, the slots of
// one upstream instance or the bytes of one link. Stays valid for the life of
// the ledger, also while the configuration in force lacks the resource.
struct ResourceHandle {
  uint32_t index = UINT32_MAX;

  bool IsValid() const { return index != UINT32_MAX; }
  friend bool operator==(const ResourceHandle&,
                         const ResourceHandle&) = default;
  friend auto operator<=>(const ResourceHandle&,
                          const ResourceHandle&) = default;
};

// Permission to have one request in flight at an upstream instance.
struct SlotToken {
  ResourceHandle handle;
  uint64_t id = 0;                          // unique within the ledger
  uint64_t loan_id = 0;                     // 0: own slot
  TimePoint held_until = TimePoint::max();  // at acquisition; see SlotDeadline
};

// Cumulative counts since the ledger was created.
struct LedgerCounters {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  uint64_t requests_sent = 0;
  uint64_t grants_sent = 0;
  uint64_t items_lent = 0;
  uint64_t items_borrowed = 0;
  uint64_t items_renewed = 0;
  uint64_t items_returned = 0;
  uint64_t grants_ignored = 0;  // late, duplicate or unknown
  uint64_t inherited = 0;       // VMs whose share was inherited
};

// Name of the resource of a link.
std::string LinkResourceName(std::string_view from, std::string_view to);

// The part of each rate, slot and link budget that this VM may use: its own
// share less what it lent, plus what it borrowed or inherited. Does no I/O;
// `now` is the monotonic clock of this process and must be read right before
// each call.
//
// The process must have bound its peer port before `start` and must keep it
// bound until it exits: other VMs take a refused connection as proof that no
// process with this identity runs.
class ShareLedger {
 public:
  ShareLedger(std::string vm_id, uint64_t incarnation, TimePoint start);
  ShareLedger(const ShareLedger&) = delete;
  ShareLedger& operator=(const ShareLedger&) = delete;

  // Applies a configuration unless its generation is older than or equal to the
  // one in force. `entry_vms_since` is the generation that last changed
  // entry_vms, 0 if unknown. It matters only for the first configuration: a new
  // process does not know which older entry_vms lists are still in force
  // elsewhere, so its own share stays unused until each VM of the list has
  // confirmed that generation (this one, if unknown) or is absent.
  void ApplyConfig(const Config& config, TimePoint now,
                   uint64_t entry_vms_since = 0);

  // The newest known process of `vm` has announced ConfirmedGeneration() ==
  // generation. Own shares grow once all VMs of the older entry_vms lists have
  // confirmed. Of a heartbeat, pass on the entries for other VMs before the one
  // for its sender: a VM that restarted may confirm less than before.
  void SetConfirmed(const std::string& vm, uint64_t generation, TimePoint now);

  // The newest generation to which all that this ledger uses and lends
  // conforms. It trails the generation in force while loans or held slots of a
  // former, larger share last. Must be announced to all peers.
  uint64_t ConfirmedGeneration(TimePoint now);

  // Whether the next generation may change entry_vms and retire the given VMs:
  // true once all VMs have confirmed the current list. Must be asked on a VM
  // with the newest generation in force, before the change is written. Such a
  // change may omit only VMs that were retired or had weight 0. The limits
  // depend on both rules: with them, no VM skips a list. An instance that moves
  // to another zone must get a new id.
  bool MayChangeEntryVms(const std::vector<std::string>& retiring,
                         TimePoint now) const;

  // Sets the peers to borrow from, best first (own zone first). Without a call,
  // these are the entry VMs of the configuration, own zone first.
  void SetNeighbours(std::vector<std::string> peers);

  // False while another process with this identity and an older incarnation
  // runs: the own share is then neither used nor lent. A change to true starts
  // the quarantine.
  void SetOwnShareAllowed(bool allowed, TimePoint now);

  // Finds a resource by workspace name, upstream id or LinkResourceName. The
  // handle is invalid if no configuration so far had the resource.
  ResourceHandle Find(wire::ResourceKind kind, std::string_view name) const;

  // Takes one request from the rate of a workspace. `retry` marks a further
  // attempt of a waiting request, which does not count as new demand.
  bool TryAdmit(ResourceHandle handle, TimePoint now, bool retry = false);

  // Takes bytes from the budget of a link.
  bool TryTake(ResourceHandle handle, int64_t bytes, TimePoint now,
               bool retry = false);

  // Takes a slot: an own one if one is free, else the borrowed one that ends
  // last. ReleaseSlot accepts tokens that have expired and ignores unknown
  // ones.
  std::optional<SlotToken> TryAcquireSlot(ResourceHandle handle, TimePoint now);
  void ReleaseSlot(const SlotToken& token, TimePoint now);

  // Time until which the slot may be held. Renewals extend it, and a free own
  // slot may replace a borrowed one. In the past for unknown tokens.
  TimePoint SlotDeadline(const SlotToken& token) const;

  // Tokens whose slot has expired since the last call. The slots are no longer
  // held, and the caller must cancel their requests.
  std::vector<SlotToken> TakeExpiredSlots(TimePoint now);

  // Number of slots that are free now.
  int64_t FreeSlots(ResourceHandle handle, TimePoint now);

  // What this VM may use of a resource now: refill rate per second and capacity
  // in millionths of a request or in bytes, or the number of slots as capacity.
  Slice Usable(ResourceHandle handle, TimePoint now);

  // Sets the number of requests (bytes for a link) that wait for this resource.
  // Call Tick right after an increase, once for all arrivals of one turn of the
  // event loop.
  void SetWaiting(ResourceHandle handle, int64_t n);

  // Time until one request would be admitted if none came before it, at most
  // kMaxRetryAfter. Zero if it would be admitted now.
  Duration RetryAfter(ResourceHandle handle, TimePoint now);

  // Returns loan requests, renewals and returns to send. Must be called every
  // 10 ms while requests wait, else every 100 ms, and at once if NeedsTick.
  std::vector<LoanMessages> Tick(TimePoint now);

  // True if Tick would return loans that a peer waits for, or if the number of
  // waiting requests rose since the last Tick.
  bool NeedsTick() const { return needs_tick_ || borrower_.HasReturns(); }

  // Handles a loan request of a peer and returns the grant. Messages of one
  // peer may be late, duplicated or out of order. The grant must be sent over
  // the link of the request.
  wire::LoanGrantT OnLoanRequest(const std::string& peer,
                                 const wire::LoanRequestT& request,
                                 TimePoint now);
  void OnLoanGrant(const std::string& peer, const wire::LoanGrantT& grant,
                   TimePoint now);
  void OnLoanReturn(const std::string& peer,
                    const wire::LoanReturnT& loan_return, TimePoint now);

  // VMs whose peer port to connect to now, each at most every 0.5 s. When the
  // link to a VM breaks, also probe that VM at once.
  std::vector<std::string> VmsToProbe(TimePoint now);

  // Result of a connection attempt begun at `attempted_at`: refused by the
  // kernel of the VM, or accepted. A time-out or another error is neither.
  void OnPeerRefused(const std::string& vm, TimePoint attempted_at,
                     TimePoint now);
  void OnPeerAccepted(const std::string& vm, TimePoint now);

  // VMs whose inherited share is in use.
  std::vector<std::string> InheritedVms(TimePoint now);

  // Token level of a rate or link in millionths of a request or in bytes.
  int64_t Level(ResourceHandle handle, TimePoint now);

  LedgerCounters counters() const;

 private:
  using Key = std::pair<wire::ResourceKind, std::string>;

  Resource* Get(ResourceHandle handle);
  const Resource* Get(ResourceHandle handle) const;
  Resource* FindResource(wire::ResourceKind kind, const std::string& name);
  Resource* AddResource(wire::ResourceKind kind, const std::string& name,
                        TimePoint now);
  bool TakeTokens(ResourceHandle handle, int64_t amount, TimePoint now,
                  bool retry);
  // Share of `vm` in a resource.
  Slice ShareOf(const std::string& vm, const Resource& resource) const;
  // Updates own and inherited shares from assignment_.
  void RefreshShares(TimePoint now);
  void RefreshInheritance(TimePoint now);
  void RefreshCandidates();
  void RefreshMemberships(TimePoint now);

  std::string vm_id_;
  uint64_t incarnation_;
  TimePoint own_active_from_;
  bool own_share_allowed_ = true;
  uint64_t generation_ = 0;
  uint64_t confirmed_ = 0;
  ShareAssignment assignment_;
  RefusalTracker refusals_;
  Lender lender_;
  Borrower borrower_;
  Borrower::Resources resources_;
  std::map<Key, uint32_t, std::less<>> index_;
  std::vector<std::string> neighbours_;  // empty: selected from the ring
  std::map<std::string, TimePoint> probed_at_;
  std::map<std::string, bool> inheriting_;
  uint64_t last_slot_id_ = 0;
  bool needs_tick_ = false;
  LedgerCounters counters_;
};

}  // namespace rwf
