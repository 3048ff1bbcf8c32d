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

// Names one resource of a ledger: the rate of a workspace, the slots of one
// upstream instance or the bytes of one link. Stays valid for the life of the
// ledger, also while the configuration in force lacks the resource.
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
  TimePoint held_until = TimePoint::max();  // when acquired; see SlotDeadline
};

// Monotonic counts since the ledger was built.
struct LedgerCounters {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  uint64_t requests_sent = 0;
  uint64_t grants_sent = 0;
  uint64_t items_lent = 0;
  uint64_t items_borrowed = 0;
  uint64_t items_renewed = 0;
  uint64_t items_returned = 0;
  uint64_t grants_ignored = 0;  // late, doubled or of another incarnation
  uint64_t inherited = 0;       // VMs whose share has been in use here
};

// Name of the bytes resource of a link.
std::string LinkResourceName(std::string_view from, std::string_view to);

// The part of each rate, slot and link budget that this VM may use: its own
// share less what it lent, plus what it borrowed or inherited. No I/O; `now` is
// the monotonic clock of this process and must be read right before each call.
//
// The process must have bound its peer port before `start` and keep it bound
// until it exits: other VMs take a refused connection as proof that no process
// with this identity runs.
class ShareLedger {
 public:
  ShareLedger(std::string vm_id, uint64_t incarnation, TimePoint start);
  ShareLedger(const ShareLedger&) = delete;
  ShareLedger& operator=(const ShareLedger&) = delete;

  // Puts a configuration in force. An older or the same generation is ignored.
  // `entry_vms_since` is the generation that last changed entry_vms, 0 if not
  // known. It matters for the first configuration only: a fresh process does
  // not know which older lists are still in force elsewhere, so its own share
  // stays unused until all VMs of the list have confirmed that generation or
  // were refused; without it, until they have confirmed this one.
  void ApplyConfig(const Config& config, TimePoint now,
                   uint64_t entry_vms_since = 0);

  // The newest known process of `vm` has announced ConfirmedGeneration() ==
  // generation. Own shares grow once all VMs of the older entry_vms lists have.
  // What a heartbeat tells of other VMs is to be passed on before what it tells
  // of its sender: a VM that restarted may confirm less than before.
  void SetConfirmed(const std::string& vm, uint64_t generation, TimePoint now);

  // The newest generation that all that this ledger uses and lends conforms to.
  // It trails the generation in force while loans or held slots of a former,
  // larger share last. To be announced to all peers.
  uint64_t ConfirmedGeneration(TimePoint now);

  // Whether the next generation may change entry_vms, and retire the VMs given:
  // true once all VMs have confirmed the list in force. To be asked on a VM
  // that has the newest generation in force, before that change is written.
  // Such a change may leave out only VMs that were retired or had weight 0.
  // With both rules no VM passes over a list, on which the bound depends. An
  // instance that moves to another zone must get a new id.
  bool MayChangeEntryVms(const std::vector<std::string>& retiring,
                         TimePoint now) const;

  // Peers to borrow from, best first (own zone first). Without a call: all
  // entry VMs of the configuration, own zone first.
  void SetNeighbours(std::vector<std::string> peers);

  // False while another process with this identity and an older incarnation
  // runs: the own share is neither used nor lent. True again starts quarantine.
  void SetOwnShareAllowed(bool allowed, TimePoint now);

  // The handle of a resource. Names: workspace name, upstream id, or
  // LinkResourceName. Invalid if no configuration so far had it.
  ResourceHandle Find(wire::ResourceKind kind, std::string_view name) const;

  // Takes one request from a workspace's rate. `retry` marks a further attempt
  // of a request that waits, which is not counted as new demand.
  bool TryAdmit(ResourceHandle handle, TimePoint now, bool retry = false);

  // Takes bytes from a link's budget.
  bool TryTake(ResourceHandle handle, int64_t bytes, TimePoint now,
               bool retry = false);

  // Takes a slot: an own one if there is one, else the borrowed one that may be
  // held longest. ReleaseSlot accepts tokens that have ended and ignores those
  // it does not know.
  std::optional<SlotToken> TryAcquireSlot(ResourceHandle handle, TimePoint now);
  void ReleaseSlot(const SlotToken& token, TimePoint now);

  // Until when the slot may be held now; renewals move it later, and a slot
  // that came free may replace a borrowed one. The past for unknown tokens.
  TimePoint SlotDeadline(const SlotToken& token) const;

  // Tokens whose slot has ended since the last call: cancel their requests. The
  // slots are no longer held.
  std::vector<SlotToken> TakeExpiredSlots(TimePoint now);

  // Slots free to TryAcquireSlot now.
  int64_t FreeSlots(ResourceHandle handle, TimePoint now);

  // What this VM may use of a resource now: refill a second and capacity in
  // millionths of a request or in bytes, or the number of slots as capacity.
  Slice Usable(ResourceHandle handle, TimePoint now);

  // Number of requests (bytes for a link) that wait for this resource. Call
  // Tick right after a rise, once for all arrivals of one event loop turn.
  void SetWaiting(ResourceHandle handle, int64_t n);

  // How long until one request would be admitted if none came before it. Zero
  // if it would be now. At most kMaxRetryAfter.
  Duration RetryAfter(ResourceHandle handle, TimePoint now);

  // Requests for what is short, renewals and returns. Call it every 10 ms while
  // something waits, else every 100 ms, and at once when NeedsTick.
  std::vector<LoanMessages> Tick(TimePoint now);

  // True if a peer waits for loans that Tick would return, or requests wait
  // that Tick has not seen.
  bool NeedsTick() const { return needs_tick_ || borrower_.HasReturns(); }

  // What is lent for a peer's request. The messages of one peer may come late,
  // doubled or out of order. The answer must be sent on the link the request
  // came from.
  wire::LoanGrantT OnLoanRequest(const std::string& peer,
                                 const wire::LoanRequestT& request,
                                 TimePoint now);
  void OnLoanGrant(const std::string& peer, const wire::LoanGrantT& grant,
                   TimePoint now);
  void OnLoanReturn(const std::string& peer,
                    const wire::LoanReturnT& loan_return, TimePoint now);

  // VMs whose peer port to connect to now, each at most every 0.5 s. Probe a VM
  // also, without waiting for this, when its link breaks.
  std::vector<std::string> VmsToProbe(TimePoint now);

  // The outcome of a connection attempt begun at `attempted_at`: refused by the
  // kernel of the VM, or accepted. A time-out or another error is neither.
  void OnPeerRefused(const std::string& vm, TimePoint attempted_at,
                     TimePoint now);
  void OnPeerAccepted(const std::string& vm, TimePoint now);

  // VMs whose share is in use here by inheritance.
  std::vector<std::string> InheritedVms(TimePoint now);

  // Level of a rate or link in millionths of a request or in bytes.
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
  // The part of a resource that `vm` owns.
  Slice ShareOf(const std::string& vm, const Resource& resource) const;
  // Brings own and inherited shares in line with the window.
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
  std::vector<std::string> neighbours_;  // empty: chosen from the ring
  std::map<std::string, TimePoint> probed_at_;
  std::map<std::string, bool> inheriting_;
  uint64_t last_slot_id_ = 0;
  bool needs_tick_ = false;
  LedgerCounters counters_;
};

}  // namespace rwf
