#include "replica/config_writer.h"

#include <fmt/format.h>

namespace rwf {

ConfigWriter::ConfigWriter(Store* store, CallBudget* budget, Random* random,
                           ParseSections parse, ChangeRequest request,
                           std::function<void(const ChangeResult&)> done)
    : store_(store),
      budget_(budget),
      random_(random),
      parse_(std::move(parse)),
      request_(std::move(request)),
      done_(std::move(done)) {}

void ConfigWriter::Start(TimePoint now) {
  deadline_ = now + kTimeout;
  IssueCall(now);
}

void ConfigWriter::Tick(TimePoint now) {
  if (finished()) return;
  if (now >= deadline_) {
    OnTimeout();
    return;
  }
  if (!in_flight_ && now >= not_before_) IssueCall(now);
}

template <typename T>
Store::Callback<T> ConfigWriter::MakeCallback(
    void (ConfigWriter::*handler)(const Result<T>&, TimePoint)) {
  return [this, handler, alive = std::weak_ptr<bool>(alive_)](
             const Result<T>& result, TimePoint now) {
    if (alive.expired() || finished()) return;
    in_flight_ = false;
    (this->*handler)(result, now);
  };
}

void ConfigWriter::IssueCall(TimePoint now) {
  if (!budget_->TryTake(now)) return;
  in_flight_ = true;
  const std::string& id = request_.operation_id;
  switch (phase_) {
    case Phase::kReadManifest:
      store_->Get(kManifestKey, MakeCallback(&ConfigWriter::OnManifest));
      break;
    case Phase::kReadPreviousAudit:
      store_->Get(AuditKey(stored_manifest_.generation),
                  MakeCallback(&ConfigWriter::OnPreviousAudit));
      break;
    case Phase::kWritePreviousAudit:
      store_->CompareAndSwap(
          AuditKey(stored_manifest_.generation), 0,
          FormatAuditRecord(MakeAuditRecord(stored_manifest_)),
          stored_manifest_.operation_id,
          MakeCallback(&ConfigWriter::OnPreviousAuditWritten));
      break;
    case Phase::kWriteSections: {
      const std::string& name = unwritten_sections_.back();
      store_->CompareAndSwap(SectionKey(manifest_.sections[name]), 0,
                             request_.sections[name], id,
                             MakeCallback(&ConfigWriter::OnSectionWritten));
      break;
    }
    case Phase::kSwap:
      store_->CompareAndSwap(kManifestKey, manifest_version_,
                             FormatManifest(manifest_), id,
                             MakeCallback(&ConfigWriter::OnSwapped));
      break;
    case Phase::kResolve:
      store_->Get(kManifestKey, MakeCallback(&ConfigWriter::OnResolved));
      break;
    case Phase::kResolveAudit:
      store_->Get(AuditKey(request_.from_generation + 1),
                  MakeCallback(&ConfigWriter::OnResolvedAudit));
      break;
    case Phase::kWriteAudit:
      store_->CompareAndSwap(AuditKey(manifest_.generation), 0,
                             FormatAuditRecord(MakeAuditRecord(manifest_)), id,
                             MakeCallback(&ConfigWriter::OnAuditWritten));
      break;
    case Phase::kWriteRejection:
      store_->CompareAndSwap(RejectedAuditKey(id), 0,
                             FormatAuditRecord(rejection_record_), id,
                             MakeCallback(&ConfigWriter::OnRejectionWritten));
      break;
    case Phase::kFinished:
      break;
  }
}

void ConfigWriter::Advance(Phase phase, TimePoint now) {
  phase_ = phase;
  backoff_.Reset();
  not_before_ = now;
  IssueCall(now);
}

void ConfigWriter::Retry(Phase phase, TimePoint now) {
  phase_ = phase;
  not_before_ = now + backoff_.Next(*random_);
}

void ConfigWriter::OnManifest(const Result<StoreValue>& result, TimePoint now) {
  if (!result) return Retry(Phase::kReadManifest, now);
  manifest_version_ = result->version;
  if (result->version != 0) {
    auto parsed = ParseManifest(result->value);
    if (!parsed) {
      return Reject("failed to parse the manifest in the store: " +
                        parsed.error().message,
                    now);
    }
    stored_manifest_ = std::move(*parsed);
  }
  if (stored_manifest_.generation < request_.from_generation &&
      (++stale_reads_ < kMaxStaleReads || request_.is_retry)) {
    return Retry(Phase::kReadManifest, now);
  }
  if (stored_manifest_.operation_id == request_.operation_id) {
    // An earlier writer of this operation has committed it.
    manifest_ = stored_manifest_;
    return Accept(false, now);
  }
  if (stored_manifest_.generation > request_.from_generation) {
    return Advance(Phase::kResolveAudit, now);
  }
  std::string problem;
  if (!BuildManifest(&problem)) return Reject(problem, now);
  Advance(stored_manifest_.generation == 0 ? Phase::kWriteSections
                                           : Phase::kReadPreviousAudit,
          now);
}

bool ConfigWriter::BuildManifest(std::string* problem) {
  if (stored_manifest_.generation != request_.from_generation) {
    *problem =
        fmt::format("the change is based on generation {}, but {} is in force",
                    request_.from_generation, stored_manifest_.generation);
    return false;
  }
  manifest_ = {};
  manifest_.generation = stored_manifest_.generation + 1;
  manifest_.operation_id = request_.operation_id;
  manifest_.who = request_.who;
  manifest_.action = request_.action;
  manifest_.when = request_.when;
  manifest_.previous_digest = stored_manifest_.digest;
  if (stored_manifest_.generation != 0) {
    manifest_.previous_audit = AuditDigest(MakeAuditRecord(stored_manifest_));
  }
  for (const auto& [name, text] : request_.sections) {
    if (text.size() > kMaxSectionBytes) {
      *problem = fmt::format("section {} has {} bytes, the limit is {}", name,
                             text.size(), kMaxSectionBytes);
      return false;
    }
    const Digest digest = Sha256(text);
    manifest_.sections[name] = digest;
    const auto it = stored_manifest_.sections.find(name);
    if (it == stored_manifest_.sections.end() || it->second != digest) {
      unwritten_sections_.push_back(name);
    }
  }
  manifest_.digest = IndexDigest(manifest_.generation, manifest_.sections);
  const auto config = parse_(manifest_.generation, request_.sections);
  if (!config) {
    *problem = "the configuration is not valid: " + config.error().message;
    return false;
  }
  return true;
}

void ConfigWriter::OnPreviousAudit(const Result<StoreValue>& result,
                                   TimePoint now) {
  if (!result) return Retry(Phase::kReadPreviousAudit, now);
  Advance(result->version == 0          ? Phase::kWritePreviousAudit
          : unwritten_sections_.empty() ? Phase::kSwap
                                        : Phase::kWriteSections,
          now);
}

void ConfigWriter::OnPreviousAuditWritten(const Result<SwapOutcome>& result,
                                          TimePoint now) {
  if (!result) return Retry(Phase::kReadPreviousAudit, now);
  Advance(unwritten_sections_.empty() ? Phase::kSwap : Phase::kWriteSections,
          now);
}

void ConfigWriter::OnSectionWritten(const Result<SwapOutcome>& result,
                                    TimePoint now) {
  if (!result && result.error().code == StoreErrc::kTooLarge) {
    return Reject("section " + unwritten_sections_.back() + " is too large",
                  now);
  }
  // The key is the digest of the text, so the write is idempotent and a
  // conflict means that the section is already stored.
  if (!result) return Retry(Phase::kWriteSections, now);
  unwritten_sections_.pop_back();
  Advance(unwritten_sections_.empty() ? Phase::kSwap : Phase::kWriteSections,
          now);
}

void ConfigWriter::OnSwapped(const Result<SwapOutcome>& result, TimePoint now) {
  if (result) {
    if (result->applied) return Accept(false, now);
    return Advance(Phase::kResolve, now);
  }
  if (result.error().code == StoreErrc::kTooLarge) {
    return Reject("the manifest is too large", now);
  }
  if (IsOutcomeUnknown(result.error())) {
    maybe_committed_ = true;
    return Retry(Phase::kResolve, now);
  }
  Retry(Phase::kSwap, now);
}

void ConfigWriter::OnResolved(const Result<StoreValue>& result, TimePoint now) {
  if (!result) return Retry(Phase::kResolve, now);
  if (result->version < manifest_version_) return Retry(Phase::kResolve, now);
  if (result->version == manifest_version_) {
    // Not written yet, but the lost call may still take effect. Repeating the
    // swap is safe: only one of the two can succeed.
    return Retry(Phase::kSwap, now);
  }
  auto parsed = ParseManifest(result->value);
  if (!parsed) return Retry(Phase::kResolve, now);
  if (parsed->operation_id == request_.operation_id) return Accept(false, now);
  stored_manifest_ = std::move(*parsed);
  if (stored_manifest_.generation > manifest_.generation) {
    return Advance(Phase::kResolveAudit, now);
  }
  // Another change replaced the expected version, so the swap can't succeed.
  Reject(
      fmt::format("{} concurrently changed the configuration to generation {}",
                  stored_manifest_.who, stored_manifest_.generation),
      now);
}

void ConfigWriter::OnResolvedAudit(const Result<StoreValue>& result,
                                   TimePoint now) {
  // Each writer writes the previous audit record before it commits, so the
  // record must exist.
  if (!result || result->version == 0) {
    return Retry(Phase::kResolveAudit, now);
  }
  const auto record = ParseAuditRecord(result->value);
  if (record && record->operation_id == request_.operation_id) {
    manifest_.generation = record->generation();
    manifest_.digest = record->digest;
    return Accept(true, now);
  }
  Reject(fmt::format("the change is based on generation {}, but {} is in force",
                     request_.from_generation, stored_manifest_.generation),
         now);
}

void ConfigWriter::OnAuditWritten(const Result<SwapOutcome>& result,
                                  TimePoint now) {
  if (!result) return Retry(Phase::kWriteAudit, now);
  result_.audit_pending = false;
  Finish(result_);
}

void ConfigWriter::OnRejectionWritten(const Result<SwapOutcome>& result,
                                      TimePoint now) {
  if (!result) return Retry(Phase::kWriteRejection, now);
  result_.audit_pending = false;
  Finish(result_);
}

void ConfigWriter::Accept(bool audited, TimePoint now) {
  result_.outcome = ChangeOutcome::kAccepted;
  result_.generation = manifest_.generation;
  result_.digest = manifest_.digest;
  result_.audit_pending = !audited;
  result_.message =
      fmt::format("accepted as generation {}", manifest_.generation);
  if (audited) return Finish(result_);
  Advance(Phase::kWriteAudit, now);
}

void ConfigWriter::Reject(const std::string& reason, TimePoint now) {
  result_.outcome = ChangeOutcome::kRejected;
  result_.generation = stored_manifest_.generation;
  result_.digest = stored_manifest_.digest;
  result_.audit_pending = true;
  result_.message = fmt::format("rejected: {}; generation {} is in force",
                                reason, stored_manifest_.generation);
  rejection_record_ = {};
  rejection_record_.who = request_.who;
  rejection_record_.action = request_.action;
  rejection_record_.when = request_.when;
  rejection_record_.operation_id = request_.operation_id;
  rejection_record_.from_generation = request_.from_generation;
  rejection_record_.outcome = "rejected";
  rejection_record_.reason = reason;
  rejection_record_.previous_digest = stored_manifest_.digest;
  rejection_record_.digest = stored_manifest_.digest;
  if (stored_manifest_.generation != 0) {
    rejection_record_.previous_audit =
        AuditDigest(MakeAuditRecord(stored_manifest_));
  }
  Advance(Phase::kWriteRejection, now);
}

void ConfigWriter::OnTimeout() {
  if (phase_ == Phase::kWriteAudit || phase_ == Phase::kWriteRejection) {
    return Finish(result_);
  }
  ChangeResult out;
  if (maybe_committed_ || request_.is_retry || phase_ == Phase::kResolve ||
      phase_ == Phase::kResolveAudit ||
      (phase_ == Phase::kSwap && in_flight_)) {
    out.outcome = ChangeOutcome::kUnknown;
    out.message = UnknownOutcomeMessage();
  } else {
    out.outcome = ChangeOutcome::kRejected;
    out.audit_pending = true;
    out.generation = stored_manifest_.generation;
    out.digest = stored_manifest_.digest;
    out.message =
        "rejected: the store did not respond in time; nothing was changed";
  }
  Finish(out);
}

std::string ConfigWriter::UnknownOutcomeMessage() const {
  return fmt::format(
      "unknown: the store did not respond in time and the change may still "
      "take effect. Once the store is reachable, read {}: if its operation id "
      "is {}, the change was accepted; if it is another one, the change was "
      "rejected; if the record does not exist, look for the operation id in {}",
      AuditKey(request_.from_generation + 1), request_.operation_id,
      kManifestKey);
}

void ConfigWriter::Finish(const ChangeResult& result) {
  phase_ = Phase::kFinished;
  // The callback may destroy this object, including `result`.
  const auto done = std::move(done_);
  if (done) done(ChangeResult(result));
}

}  // namespace rwf
