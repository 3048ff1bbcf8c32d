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
// Refusal code and HTTP status as on the design page.
const char* ClaimRefusalCode(ClaimRefusal refusal);
int ClaimRefusalStatus(ClaimRefusal refusal);

enum class RunOutcome : uint8_t { kNotRun, kUnknown };
const char* RunOutcomeName(RunOutcome outcome);

enum class ClaimAction : uint8_t {
  kWait,    // the home was asked; the decision follows
  kRun,     // run now, then report by ClaimClient::Finish
  kReplay,  // answer with the stored outcome
  kRefuse,
};

// What to do with a non-idempotent request.
struct ClaimDecision {
  ClaimAction action = ClaimAction::kWait;
  uint64_t request_id = 0;       // names the request in later calls
  wire::StoredOutcomeT outcome;  // only for kReplay
  ClaimRefusal refusal = ClaimRefusal::kOutcomeUnknown;  // only for kRefuse
  RunOutcome run_outcome = RunOutcome::kUnknown;         // only for kRefuse
};

// A message for a peer.
struct ClaimMessage {
  std::string vm;
  std::variant<wire::ClaimRequestT, wire::ClaimResultT> body;
};

// The asking side of at-most-once execution: turns a key into a decision, by
// the local ledger if this process is the home, by a request to the home VM
// otherwise. Messages for peers gather in an outbox, which the owner empties
// after every call. A refusal says "not run" only if no attempt with the same
// key can have run.
class ClaimClient {
 public:
  // First and longest pause between repeats of a request that was given up
  // without an answer; they bring a lost permission back to the home.
  static constexpr Duration kInitialRepeatInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxRepeatInterval = std::chrono::seconds(16);
  // Requests remembered after their decision, to recognise late and doubled
  // permissions.
  static constexpr size_t kMaxRetainedRequests = 16'384;
  // Results kept for OnReachable.
  static constexpr Duration kResultRetention = std::chrono::seconds(30);
  static constexpr size_t kMaxRetainedResults = 256;

  // `ledger` is this process's own and outlives the client.
  ClaimClient(VmProcess self, ClaimLedger* ledger);

  // Starts a request. With kWait the decision comes from OnReply, OnTick or
  // OnUnreachable (to be called if there is no link to the home); it is
  // refused as home-unreachable at `deadline`.
  ClaimDecision Begin(const IdempotencyKey& key, const Digest& claim,
                      const Digest& request, TimePoint deadline, TimePoint now,
                      WallTime wall);
  // Decision for a key that IdempotencyKey::Parse refused.
  static ClaimDecision RefuseKey(const std::error_code& code);

  // Decisions that a message of the home brings; none for late, doubled or
  // unasked replies.
  std::vector<ClaimDecision> OnReply(const std::string& vm,
                                     const wire::ClaimReplyT& reply,
                                     TimePoint now);
  // The VM cannot be reached: decisions of all requests that wait for it.
  std::vector<ClaimDecision> OnUnreachable(const std::string& vm,
                                           TimePoint now);
  // Decisions of requests whose deadline has passed; repeats as well.
  std::vector<ClaimDecision> OnTick(TimePoint now);
  // The waiting request's caller is gone; a late permission is given back.
  void Cancel(uint64_t request_id, TimePoint now);
  // Ends a permitted run, exactly once for each kRun. kNotRun only if no byte
  // of the request reached an upstream or the upstream said so.
  void Finish(uint64_t request_id, wire::ClaimEnd end,
              const wire::StoredOutcomeT* outcome, TimePoint now);

  // The link to the VM is up again: results that may have been lost with the
  // last one are sent once more. The home ignores those it has.
  void OnReachable(const std::string& vm, TimePoint now);

  // Messages gathered since the last call.
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
    TimePoint due{};                // deadline, or time of the next repeat
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
