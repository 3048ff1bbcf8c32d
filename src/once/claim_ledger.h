#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "wire/messages_generated.h"

namespace rwf {

// A process of an entry VM.
struct VmProcess {
  std::string vm;
  uint64_t incarnation = 0;

  friend bool operator==(const VmProcess&, const VmProcess&) = default;
};

// Home side of at-most-once execution: the only place that grants runs for the
// keys minted by this process. A claim has at most one granted run at a time,
// and none after a run that completed or may have run.
class ClaimLedger {
 public:
  static constexpr size_t kMaxOutcomeBytes = 16 * 1024;
  static constexpr size_t kMaxStoredBytes = 16 * 1024 * 1024;
  // Outcomes with larger bodies are dropped before any smaller one.
  static constexpr size_t kLargeOutcomeBytes = 1024;
  // 100,000 claims take about 35 MB without outcomes and suffice for 166 claims
  // per second over the lifetime of a key. At higher rates, the oldest keys
  // expire early.
  static constexpr size_t kMaxClaims = 100'000;
  // A granted run without a result for this long has an unknown outcome. Longer
  // than any request may take.
  static constexpr Duration kRunTimeout = std::chrono::seconds(120);

  // `incarnation` is part of the keys that this process mints. It is constant
  // for the process, and no other process of the VM ever has it. `max_claims`
  // bounds memory.
  explicit ClaimLedger(uint64_t incarnation, size_t max_claims = kMaxClaims);

  // Decides about a claim that `requester` wants to run. A repeated request
  // (same requester and request_id) gets the same grant again.
  wire::ClaimReplyT OnClaim(const VmProcess& requester,
                            const wire::ClaimRequestT& request, TimePoint now,
                            WallTime wall);
  // Records the result of a granted run. Ignores results of attempts other than
  // the granted one, and all but its first result.
  void OnResult(const wire::ClaimResultT& result, TimePoint now);
  // The process is dead, so its granted runs may have run. Older incarnations
  // of the VM are presumed dead as well.
  void OnPeerDead(const VmProcess& process, TimePoint now);
  // Removes expired claims. Called about once a second.
  void OnTick(TimePoint now, WallTime wall);

  // Mint time for prefixes issued now. Always later than the mint time of any
  // removed claim, even if the wall clock was set back.
  uint64_t MintTime(WallTime wall);
  uint64_t incarnation() const { return incarnation_; }

  size_t size() const { return claims_.size(); }
  size_t stored_bytes() const { return stored_bytes_; }
  uint64_t dropped_outcomes() const { return dropped_outcomes_; }

 private:
  enum class State : uint8_t {
    kReleased,            // not run, can be granted again
    kRunning,             // granted
    kRunnerPresumedDead,  // granted, but the result may never arrive
    kCompleted,           // ran
    kUnknown,             // may have run
  };
  using OutcomeList = std::list<Digest>;
  struct Claim {
    Digest body;
    State state = State::kReleased;
    uint64_t attempt = 0;
    uint64_t request_id = 0;
    VmProcess runner;
    TimePoint granted_at{};
    std::unique_ptr<wire::StoredOutcomeT> outcome;
    OutcomeList::iterator list_position{};  // only with an outcome
  };

  void AdvanceClock(WallTime wall);
  void AdvanceHorizon(uint64_t minted_unix_s);
  void Store(const Digest& id, Claim* claim,
             const wire::StoredOutcomeT& outcome);
  void DropOutcome(Claim* claim);
  OutcomeList& OutcomeListFor(const wire::StoredOutcomeT& outcome);

  const uint64_t incarnation_;
  const size_t max_claims_;
  std::unordered_map<Digest, Claim> claims_;
  std::map<uint64_t, std::vector<Digest>> claims_by_mint_time_;
  OutcomeList large_outcomes_;  // oldest first
  OutcomeList small_outcomes_;
  uint64_t last_attempt_ = 0;
  uint64_t latest_unix_s_ = 0;  // latest wall time observed
  // Claims minted at or before this time are refused, because they may have
  // been removed.
  uint64_t expiry_horizon_unix_s_ = 0;
  size_t stored_bytes_ = 0;
  uint64_t dropped_outcomes_ = 0;
};

}  // namespace rwf
