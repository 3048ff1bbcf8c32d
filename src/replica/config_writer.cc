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
  deadline_ = now + kLimit;
  Step(now);
}

void ConfigWriter::Tick(TimePoint now) {
  if (finished()) return;
  if (now >= deadline_) {
    GiveUp();
    return;
  }
  if (!waiting_ && now >= not_before_) Step(now);
}

template <typename T>
Store::Callback<T> ConfigWriter::Answer(
    void (ConfigWriter::*handler)(const Result<T>&, TimePoint)) {
  return [this, handler, alive = std::weak_ptr<bool>(alive_)](
             const Result<T>& result, TimePoint now) {
    if (alive.expired() || finished()) return;
    waiting_ = false;
    (this->*handler)(result, now);
  };
}

void ConfigWriter::Step(TimePoint now) {
  if (!budget_->TryTake(now)) return;
  waiting_ = true;
  const std::string& id = request_.operation_id;
  switch (phase_) {
    case Phase::kReadManifest:
      store_->Get(kManifestKey, Answer(&ConfigWriter::OnManifest));
      break;
    case Phase::kReadPreviousAudit:
      store_->Get(AuditKey(before_.generation),
                  Answer(&ConfigWriter::OnPreviousAudit));
      break;
    case Phase::kWritePreviousAudit:
      store_->CompareAndSwap(
          AuditKey(before_.generation), 0, FormatAuditRecord(RecordOf(before_)),
          before_.operation_id, Answer(&ConfigWriter::OnPreviousAuditWritten));
      break;
    case Phase::kWriteSections: {
      const std::string& name = unwritten_.back();
      store_->CompareAndSwap(SectionKey(manifest_.sections[name]), 0,
                             request_.sections[name], id,
                             Answer(&ConfigWriter::OnSectionWritten));
      break;
    }
    case Phase::kSwap:
      store_->CompareAndSwap(kManifestKey, manifest_version_,
                             FormatManifest(manifest_), id,
                             Answer(&ConfigWriter::OnSwapped));
      break;
    case Phase::kResolve:
      store_->Get(kManifestKey, Answer(&ConfigWriter::OnResolved));
      break;
    case Phase::kResolveAudit:
      store_->Get(AuditKey(request_.from_generation + 1),
                  Answer(&ConfigWriter::OnResolvedAudit));
      break;
    case Phase::kWriteAudit:
      store_->CompareAndSwap(AuditKey(manifest_.generation), 0,
                             FormatAuditRecord(RecordOf(manifest_)), id,
                             Answer(&ConfigWriter::OnAuditWritten));
      break;
    case Phase::kWriteRejection:
      store_->CompareAndSwap(RejectedKey(id), 0, FormatAuditRecord(rejection_),
                             id, Answer(&ConfigWriter::OnRejectionWritten));
      break;
    case Phase::kFinished:
      break;
  }
}

void ConfigWriter::Advance(Phase phase, TimePoint now) {
  phase_ = phase;
  backoff_.Reset();
  not_before_ = now;
  Step(now);
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
      return Reject(
          "the manifest in the store can't be read: " + parsed.error().message,
          now);
    }
    before_ = std::move(*parsed);
  }
  if (before_.generation < request_.from_generation &&
      (++stale_reads_ < kStaleReads || request_.repeated)) {
    return Retry(Phase::kReadManifest, now);
  }
  if (before_.operation_id == request_.operation_id) {
    manifest_ = before_;  // an earlier writer of this operation committed it
    return Accept(false, now);
  }
  if (before_.generation > request_.from_generation) {
    return Advance(Phase::kResolveAudit, now);
  }
  std::string problem;
  if (!Prepare(&problem)) return Reject(problem, now);
  Advance(before_.generation == 0 ? Phase::kWriteSections
                                  : Phase::kReadPreviousAudit,
          now);
}

bool ConfigWriter::Prepare(std::string* problem) {
  if (before_.generation != request_.from_generation) {
    *problem =
        fmt::format("the change was made on generation {}, but {} is in force",
                    request_.from_generation, before_.generation);
    return false;
  }
  manifest_ = {};
  manifest_.generation = before_.generation + 1;
  manifest_.operation_id = request_.operation_id;
  manifest_.who = request_.who;
  manifest_.action = request_.action;
  manifest_.when = request_.when;
  manifest_.previous_digest = before_.digest;
  if (before_.generation != 0) {
    manifest_.previous_audit = AuditDigest(RecordOf(before_));
  }
  for (const auto& [name, text] : request_.sections) {
    if (text.size() > kMaxSectionBytes) {
      *problem = fmt::format("section {} has {} bytes, {} are allowed", name,
                             text.size(), kMaxSectionBytes);
      return false;
    }
    const Digest digest = Sha256(text);
    manifest_.sections[name] = digest;
    const auto it = before_.sections.find(name);
    if (it == before_.sections.end() || it->second != digest) {
      unwritten_.push_back(name);
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
  Advance(result->version == 0 ? Phase::kWritePreviousAudit
          : unwritten_.empty() ? Phase::kSwap
                               : Phase::kWriteSections,
          now);
}

void ConfigWriter::OnPreviousAuditWritten(const Result<SwapOutcome>& result,
                                          TimePoint now) {
  if (!result) return Retry(Phase::kReadPreviousAudit, now);
  Advance(unwritten_.empty() ? Phase::kSwap : Phase::kWriteSections, now);
}

void ConfigWriter::OnSectionWritten(const Result<SwapOutcome>& result,
                                    TimePoint now) {
  if (!result && result.error().code == StoreErrc::kTooLarge) {
    return Reject("section " + unwritten_.back() + " is too large", now);
  }
  // The key is the digest of the text, so repeating the write is harmless and a
  // conflict means that the text is there.
  if (!result) return Retry(Phase::kWriteSections, now);
  unwritten_.pop_back();
  Advance(unwritten_.empty() ? Phase::kSwap : Phase::kWriteSections, now);
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
    // Not written yet, but the lost call may still be under way. The same swap
    // again can't take effect in addition to it.
    return Retry(Phase::kSwap, now);
  }
  auto parsed = ParseManifest(result->value);
  if (!parsed) return Retry(Phase::kResolve, now);
  if (parsed->operation_id == request_.operation_id) return Accept(false, now);
  before_ = std::move(*parsed);
  if (before_.generation > manifest_.generation) {
    return Advance(Phase::kResolveAudit, now);
  }
  // Another change was written on this version, so the swap can't succeed.
  Reject(fmt::format("{} changed the configuration to generation {} meanwhile",
                     before_.who, before_.generation),
         now);
}

void ConfigWriter::OnResolvedAudit(const Result<StoreValue>& result,
                                   TimePoint now) {
  // A writer completes the record before its own, so it must be there.
  if (!result || result->version == 0) {
    return Retry(Phase::kResolveAudit, now);
  }
  const auto record = ParseAuditRecord(result->value);
  if (record && record->operation_id == request_.operation_id) {
    manifest_.generation = record->generation();
    manifest_.digest = record->digest;
    return Accept(true, now);
  }
  Reject(fmt::format("the change was made on generation {}, but {} is in force",
                     request_.from_generation, before_.generation),
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
  result_.generation = before_.generation;
  result_.digest = before_.digest;
  result_.audit_pending = true;
  result_.message = fmt::format("rejected: {}; generation {} is in force",
                                reason, before_.generation);
  rejection_ = {};
  rejection_.who = request_.who;
  rejection_.action = request_.action;
  rejection_.when = request_.when;
  rejection_.operation_id = request_.operation_id;
  rejection_.from_generation = request_.from_generation;
  rejection_.outcome = "rejected";
  rejection_.reason = reason;
  rejection_.previous_digest = before_.digest;
  rejection_.digest = before_.digest;
  if (before_.generation != 0) {
    rejection_.previous_audit = AuditDigest(RecordOf(before_));
  }
  Advance(Phase::kWriteRejection, now);
}

void ConfigWriter::GiveUp() {
  if (phase_ == Phase::kWriteAudit || phase_ == Phase::kWriteRejection) {
    return Finish(result_);
  }
  ChangeResult out;
  if (maybe_committed_ || request_.repeated || phase_ == Phase::kResolve ||
      phase_ == Phase::kResolveAudit || (phase_ == Phase::kSwap && waiting_)) {
    out.outcome = ChangeOutcome::kUnknown;
    out.message = HowToFindOut();
  } else {
    out.outcome = ChangeOutcome::kRejected;
    out.audit_pending = true;
    out.generation = before_.generation;
    out.digest = before_.digest;
    out.message =
        "rejected: the store did not answer in time; nothing was changed";
  }
  Finish(out);
}

std::string ConfigWriter::HowToFindOut() const {
  return fmt::format(
      "unknown: the store did not answer in time and the change may still take "
      "effect. Once the store answers, read {}: if its operation id is {}, the "
      "change was accepted; if it has another one, it was rejected; if there "
      "is no such record, look for the operation id in {}",
      AuditKey(request_.from_generation + 1), request_.operation_id,
      kManifestKey);
}

void ConfigWriter::Finish(const ChangeResult& result) {
  phase_ = Phase::kFinished;
  // The callback may destroy this object, and `result` with it.
  const auto done = std::move(done_);
  if (done) done(ChangeResult(result));
}

}  // namespace rwf
