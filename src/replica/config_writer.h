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

// A configuration change requested by an operator.
struct ChangeRequest {
  std::string operation_id;  // unique; identifies the outcome later
  std::string who;
  std::string action;
  WallTime when{};
  uint64_t from_generation = 0;  // generation the change is based on
  SectionTexts sections;         // all sections of the new configuration
  // True if the operation id was used before and the outcome of that attempt is
  // unknown. If the store can't be reached, the outcome remains unknown, since
  // the earlier attempt may have succeeded.
  bool is_retry = false;
};

enum class ChangeOutcome { kAccepted, kRejected, kUnknown };

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  // If accepted, the new generation; if rejected, the one in force.
  uint64_t generation = 0;
  Digest digest;  // of `generation`
  // True if the outcome is certain but its audit record is not in the store
  // yet. For an accepted change, a VM that watches the store writes the record.
  bool audit_pending = false;
  // For the operator. If the outcome is kUnknown, explains how to determine it.
  std::string message;

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

// Writes one configuration change: writes the previous audit record if it is
// missing, writes the new sections, swaps the manifest (the commit point), then
// writes the audit record. If a response is lost, the state is read back. A
// swap is repeated only with the same expected version, so that it takes effect
// at most once.
class ConfigWriter {
 public:
  // After this time the writer finishes with what is known so far.
  static constexpr Duration kTimeout = std::chrono::seconds(10);
  // Number of reads that return a manifest older than the operator's copy
  // before the change is rejected. Reads from the store may be stale.
  static constexpr int kMaxStaleReads = 3;

  // `done` is called once, from Tick or from a callback of the store. All
  // pointers must outlive this object.
  ConfigWriter(Store* store, CallBudget* budget, Random* random,
               ParseSections parse, ChangeRequest request,
               std::function<void(const ChangeResult&)> done);

  void Start(TimePoint now);
  // Called about every 50 ms until finished.
  void Tick(TimePoint now);

  bool finished() const { return phase_ == Phase::kFinished; }
  // The manifest written. After kAccepted the VM offers it and its sections to
  // its replica, so that the change propagates without waiting for a watch.
  const Manifest& manifest() const { return manifest_; }
  const ChangeRequest& request() const { return request_; }

 private:
  enum class Phase {
    kReadManifest,
    kReadPreviousAudit,
    kWritePreviousAudit,
    kWriteSections,
    kSwap,
    kResolve,       // conflict or lost response: read the manifest
    kResolveAudit,  // newer manifest: read record of from_generation + 1
    kWriteAudit,
    kWriteRejection,
    kFinished
  };

  // Makes the store call of the current phase.
  void IssueCall(TimePoint now);
  // Returns a callback that runs `handler` unless the writer has finished or
  // was destroyed.
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
  bool in_flight_ = false;  // a store call is pending
  bool maybe_committed_ = false;
  int stale_reads_ = 0;
  TimePoint not_before_{};
  TimePoint deadline_{};
  uint64_t manifest_version_ = 0;
  Manifest stored_manifest_;  // last one read; generation 0 if none
  Manifest manifest_;
  std::vector<std::string> unwritten_sections_;  // section names
  ChangeResult result_;
  AuditRecord rejection_record_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rwf
