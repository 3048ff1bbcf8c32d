#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "replica/audit_chain.h"
#include "replica/call_budget.h"
#include "replica/config_replica.h"
#include "replica/store.h"

namespace rwf {

// What an operator asks for.
struct ChangeRequest {
  std::string operation_id;  // unique; also how to find the outcome later
  std::string who;
  std::string action;
  WallTime when{};
  uint64_t from_generation = 0;  // the change was made on this one
  SectionTexts sections;         // all sections of the new configuration
  // The operation id was used before, and what came of it is not known. Then
  // not reaching the store proves nothing about the earlier attempt.
  bool is_retry = false;
};

enum class ChangeOutcome { kAccepted, kRejected, kUnknown };

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  uint64_t generation = 0;  // accepted: the new one; rejected: that in force
  Digest digest;            // of `generation`
  // The outcome is certain, but its audit record is not in the store yet. A VM
  // that watches the store completes that of an accepted change.
  bool audit_pending = false;
  std::string message;  // for the operator; of kUnknown: how to find out

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

// Writes one change: completes the audit record before, writes the new
// sections, swaps the manifest (the commit point), then writes the audit
// record. A lost answer is resolved by reading; a swap is only repeated with
// the same expected version, so that it can take effect once at most.
class ConfigWriter {
 public:
  // After this time the result is what is known by then.
  static constexpr Duration kTimeout = std::chrono::seconds(10);
  // A manifest older than the operator's copy is read again that many times,
  // since the store may have given a stale answer.
  static constexpr int kMaxStaleReads = 3;

  // `done` is called once, from Tick or from an answer of the store. All
  // pointers outlive this object.
  ConfigWriter(Store* store, CallBudget* budget, Random* random,
               ParseSections parse, ChangeRequest request,
               std::function<void(const ChangeResult&)> done);

  void Start(TimePoint now);
  // Called every 50 ms or so until the result is there.
  void Tick(TimePoint now);

  bool finished() const { return phase_ == Phase::kFinished; }
  // The manifest written. After kAccepted the VM offers it and the sections to
  // its replica, so that the change spreads without waiting for a watch.
  const Manifest& manifest() const { return manifest_; }
  const ChangeRequest& request() const { return request_; }

 private:
  enum class Phase {
    kReadManifest,
    kReadPreviousAudit,
    kWritePreviousAudit,
    kWriteSections,
    kSwap,
    kResolve,       // the answer to the swap was lost: read the manifest
    kResolveAudit,  // the manifest has moved on: read the record of ours
    kWriteAudit,
    kWriteRejection,
    kFinished
  };

  // Makes the call of the phase.
  void IssueCall(TimePoint now);
  // A callback that runs `handler` unless the result is already out.
  template <typename T>
  Store::Callback<T> MakeCallback(
      void (ConfigWriter::*handler)(const Result<T>&, TimePoint));
  void OnManifest(const Result<StoreValue>& result, TimePoint now);
  void OnPreviousAudit(const Result<StoreValue>& result, TimePoint now);
  void OnPreviousAuditWritten(const Result<SwapOutcome>& result, TimePoint now);
  void OnSectionWritten(const Result<SwapOutcome>& result, TimePoint now);
  void OnSwapped(const Result<SwapOutcome>& result, TimePoint now);
  void OnResolved(const Result<StoreValue>& result, TimePoint now);
  void OnResolvedAudit(const Result<StoreValue>& result, TimePoint now);
  void OnAuditWritten(const Result<SwapOutcome>& result, TimePoint now);
  void OnRejectionWritten(const Result<SwapOutcome>& result, TimePoint now);

  bool BuildManifest(std::string* problem);
  void Advance(Phase phase, TimePoint now);
  void Retry(Phase phase, TimePoint now);
  void Accept(bool audited, TimePoint now);
  void Reject(const std::string& reason, TimePoint now);
  void Finish(const ChangeResult& result);
  void OnTimeout();
  std::string UnknownOutcomeMessage() const;

  Store* store_;
  CallBudget* budget_;
  Random* random_;
  ParseSections parse_;
  ChangeRequest request_;
  std::function<void(const ChangeResult&)> done_;

  Phase phase_ = Phase::kReadManifest;
  Backoff backoff_{std::chrono::seconds(2)};
  bool in_flight_ = false;  // for an answer
  bool maybe_committed_ = false;
  int stale_reads_ = 0;
  TimePoint not_before_{};
  TimePoint deadline_{};
  uint64_t manifest_version_ = 0;
  Manifest stored_manifest_;  // generation 0: none
  Manifest manifest_;
  std::vector<std::string> unwritten_sections_;  // section names
  ChangeResult result_;
  AuditRecord rejection_record_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
