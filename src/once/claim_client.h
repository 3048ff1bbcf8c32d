#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <system_error>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/time.h"
#include "once/claim_ledger.h"
#include "once/idempotency_key.h"
#include "wire/messages_generated.h"

namespace rwf {

enum class ClaimRefusal : uint8_t {
  kInProgress,
  kOutcomeUnknown,
  kKeyReused,
  kKeyExpired,
  kKeyInvalid,
  kHomeUnreachable,
};
// Refusal code and HTTP status that the caller gets.
const char* ClaimRefusalCode(ClaimRefusal refusal);
int ClaimRefusalStatus(ClaimRefusal refusal);

enum class RunOutcome : uint8_t { kNotRun, kUnknown };
const char* RunOutcomeName(RunOutcome outcome);

enum class ClaimAction : uint8_t {
  kWait,    // the home VM was asked; the decision follows
  kRun,     // run now, then call ClaimClient::Finish
  kReplay,  // respond with the stored outcome
  kRefuse,
};

// Decision about a non-idempotent request.
struct ClaimDecision {
  ClaimAction action = ClaimAction::kWait;
  uint64_t request_id = 0;       // identifies the request in later calls
  wire::StoredOutcomeT outcome;  // only for kReplay
  ClaimRefusal refusal = ClaimRefusal::kOutcomeUnknown;  // only for kRefuse
  RunOutcome run_outcome = RunOutcome::kUnknown;         // only for kRefuse
};

// A message for a peer.
struct ClaimMessage {
  std::string vm;
  std::variant<wire::ClaimRequestT, wire::ClaimResultT> body;
};

// Client side of at-most-once execution: obtains the decision about a key from
// the local ledger if this VM is the home VM of the key, and otherwise by a
// request to the home VM. Messages for peers are queued in an outbox, which the
// owner empties after every call. A refusal says "not run" only if no attempt
// with the same key can have run.
class ClaimClient {
 public:
  // Interval between repeats of a claim request that was given up without a
  // reply. The repeats recover a grant whose reply was lost, so that it can be
  // returned to the home VM.
  static constexpr Duration kInitialRepeatInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxRepeatInterval = std::chrono::seconds(16);
  // Requests retained after their decision, to detect late and duplicate
  // grants.
  static constexpr size_t kMaxRetainedRequests = 16'384;
  // Results retained for OnReachable.
  static constexpr Duration kResultRetention = std::chrono::seconds(30);
  static constexpr size_t kMaxRetainedResults = 256;

  // `ledger` is the ledger of this process and outlives the client.
  ClaimClient(VmProcess self, ClaimLedger* ledger);

  // Starts a request. After kWait, the decision comes from OnReply, OnTick or
  // OnUnreachable, which must be called if there is no link to the home VM. At
  // `deadline` the request is refused as home-unreachable.
  ClaimDecision Begin(const IdempotencyKey& key, const Digest& claim,
                      const Digest& request, TimePoint deadline, TimePoint now,
                      WallTime wall);
  // Decision for a key that IdempotencyKey::Parse rejected with `code`.
  static ClaimDecision RefuseKey(const std::error_code& code);

  // Decisions that result from a reply of the home VM; none for late, duplicate
  // or unsolicited replies.
  std::vector<ClaimDecision> OnReply(const std::string& vm,
                                     const wire::ClaimReplyT& reply,
                                     TimePoint now);
  // The VM cannot be reached. Returns the decisions of all requests that wait
  // for it.
  std::vector<ClaimDecision> OnUnreachable(const std::string& vm,
                                           TimePoint now);
  // Returns the decisions of requests whose deadline has passed, and repeats
  // claim requests that are due.
  std::vector<ClaimDecision> OnTick(TimePoint now);
  // The caller of a waiting request has disconnected. A late grant is returned
  // to the home VM.
  void Cancel(uint64_t request_id, TimePoint now);
  // Ends a granted run; called exactly once for each kRun. `end` is kNotRun
  // only if no byte of the request reached an upstream or the upstream reported
  // that it did not run.
  void Finish(uint64_t request_id, wire::ClaimEnd end,
              const wire::StoredOutcomeT* outcome, TimePoint now);

  // The link to the VM is up again. Resends results that may have been lost
  // with the previous link; the home VM ignores duplicates.
  void OnReachable(const std::string& vm, TimePoint now);

  // Returns the messages queued since the last call.
  std::vector<ClaimMessage> TakeOutbox();

  size_t waiting() const { return waiting_; }
  size_t running() const { return running_; }

 private:
  enum class State : uint8_t { kWaiting, kRunning, kGivenUp, kDecided };
  struct Request {
    State state = State::kWaiting;
    std::string home;
    wire::ClaimRequestT message;
    uint64_t accepted_attempt = 0;  // zero: none
    TimePoint due{};                // deadline or time of the next repeat
    Duration repeat_interval{};
    TimePoint expires_at{};
  };
  struct SentResult {
    TimePoint at{};
    std::string home;
    wire::ClaimResultT message;
  };

  ClaimDecision Decide(uint64_t request_id, Request* request,
                       const wire::ClaimReplyT& reply);
  ClaimDecision GiveUp(uint64_t request_id, Request* request, TimePoint now);
  void SetTimer(uint64_t request_id, Request* request, TimePoint due);
  void ReleaseGrant(const std::string& home, const wire::ClaimReplyT& reply);
  void Retain(uint64_t request_id, Request* request, TimePoint now);
  void EvictExpired(TimePoint now);

  const VmProcess self_;
  ClaimLedger* const ledger_;
  std::unordered_map<uint64_t, Request> requests_;
  std::multimap<TimePoint, uint64_t> timers_;  // valid if equal to Request::due
  std::deque<uint64_t> retained_;  // decided or given up, oldest first
  std::deque<SentResult> sent_results_;
  std::vector<ClaimMessage> outbox_;
  uint64_t last_request_id_ = 0;
  size_t waiting_ = 0;
  size_t running_ = 0;
};

}  // namespace rwf
