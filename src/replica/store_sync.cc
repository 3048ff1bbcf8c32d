#include "replica/store_sync.h"

#include <algorithm>

#include "base/hash.h"
#include "replica/audit_chain.h"

namespace rwf {

bool IsStoreWatcher(const std::string& zone, const std::string& vm,
                    const std::vector<std::string>& live_vms) {
  const std::string key = "store-watch/" + zone;
  const auto rank = [&](const std::string& id) {
    return std::pair(RendezvousScore(key, id), id);
  };
  const auto own = rank(vm);
  return std::count_if(live_vms.begin(), live_vms.end(),
                       [&](const std::string& id) { return rank(id) < own; }) <
         2;
}

void StoreContact::OnResponse(TimePoint called_at) {
  Contact& own = contacts_[self_];
  if (own.sequence != 0 && called_at <= own.at) return;
  own = {++sequence_, called_at};
  if (newest_.empty() || contacts_[newest_].at < called_at) newest_ = self_;
}

void StoreContact::OnHeartbeat(const wire::HeartbeatT& heartbeat,
                               TimePoint now) {
  const std::string& vm = heartbeat.store_contact_vm;
  // Larger ages carry no useful information and are ignored.
  constexpr uint64_t kMaxAgeMs = 1'000'000'000;
  if (vm.empty() || vm == self_ || heartbeat.store_contact_age_ms > kMaxAgeMs) {
    return;
  }
  const TimePoint at =
      now - std::chrono::milliseconds(heartbeat.store_contact_age_ms);
  Contact& known = contacts_[vm];
  if (heartbeat.store_contact_sequence <= known.sequence) return;
  known = {heartbeat.store_contact_sequence, at};
  if (newest_.empty() || contacts_[newest_].at < at) newest_ = vm;
}

void StoreContact::AddToHeartbeat(wire::HeartbeatT* heartbeat,
                                  TimePoint now) const {
  if (newest_.empty()) return;
  const Contact& contact = contacts_.at(newest_);
  heartbeat->store_contact_vm = newest_;
  heartbeat->store_contact_sequence = contact.sequence;
  // Rounded up, so that no hop makes the contact look more recent.
  heartbeat->store_contact_age_ms = ToMillis(now - contact.at) + 1;
}

Duration StoreContact::Age(TimePoint now) const {
  if (newest_.empty()) return Duration::max();
  return now - contacts_.at(newest_).at;
}

StoreSync::StoreSync(Store* store, ConfigReplica* replica,
                     StoreContact* contact, CallBudget* budget, Random* random)
    : store_(store),
      replica_(replica),
      contact_(contact),
      budget_(budget),
      random_(random) {}

bool StoreSync::TryBegin(Call call, Duration timeout, TimePoint now) {
  if (!budget_->TryTake(now)) return false;
  call_ = call;
  ++call_number_;
  call_deadline_ = now + timeout;
  ++counters_.calls;
  return true;
}

void StoreSync::RecordFailure(TimePoint now) {
  ++counters_.failures;
  not_before_ = now + backoff_.Next(*random_);
}

bool StoreSync::End(uint64_t number, TimePoint called_at, const Error* error,
                    TimePoint now) {
  const bool awaited = number == call_number_ && call_ != Call::kNone;
  if (awaited) {
    call_ = Call::kNone;
  } else {
    ++counters_.late_responses;
  }
  if (error == nullptr) {
    contact_->OnResponse(called_at);
    if (awaited) backoff_.Reset();
  } else if (awaited) {
    RecordFailure(now);
  }
  return awaited;
}

template <typename T>
Store::Callback<T> StoreSync::MakeCallback(
    void (StoreSync::*handler)(const T&, bool, TimePoint),
    TimePoint called_at) {
  return [this, handler, called_at, number = call_number_,
          alive = std::weak_ptr<bool>(alive_)](const Result<T>& result,
                                               TimePoint now) {
    if (alive.expired()) return;
    const bool awaited =
        End(number, called_at, result ? nullptr : &result.error(), now);
    if (result) (this->*handler)(*result, awaited, now);
  };
}

void StoreSync::Tick(TimePoint now) {
  if (call_ != Call::kNone) {
    if (now < call_deadline_) return;
    call_ = Call::kNone;
    RecordFailure(now);
  }
  if (now < not_before_) return;
  if (FetchSection(now) || CheckAudit(now)) return;
  ReadManifest(now);
}

bool StoreSync::ReadManifest(TimePoint now) {
  if (is_watcher_) {
    if (!TryBegin(Call::kWatch, kWatchTimeout + kWatchGrace, now)) return false;
    ++counters_.watches;
    store_->Watch(kManifestKey, manifest_version_, kWatchTimeout,
                  MakeCallback(&StoreSync::OnManifest, now));
    return true;
  }
  const bool starting = replica_->generation() == 0;
  const Duration period = starting ? kStartupPollPeriod : kPollPeriod;
  const auto jittered = [&] {
    return period / 2 + Duration((*random_)() % (period.count() / 2));
  };
  if (!starting && contact_->Age(now) < kMaxContactAge) {
    next_poll_.reset();
    return false;
  }
  if (!next_poll_) {
    // The first poll is jittered, since all VMs of a fleet may start or lose
    // contact at the same time.
    next_poll_ =
        now + (starting
                   ? Duration((*random_)() % Backoff::kInitialDelay.count())
                   : jittered());
  }
  if (now < *next_poll_ ||
      !TryBegin(Call::kGet, Store::kCallTimeout * 2, now)) {
    return false;
  }
  next_poll_ = now + jittered();
  ++counters_.polls;
  store_->Get(kManifestKey, MakeCallback(&StoreSync::OnManifest, now));
  return true;
}

void StoreSync::OnManifest(const StoreValue& value, bool awaited,
                           TimePoint now) {
  if (value.version == 0) return;
  if (value.version < manifest_version_) {
    if (awaited) RecordFailure(now);  // stale read
    return;
  }
  manifest_version_ = value.version;
  if (replica_->OfferManifest(value.value, now)) {
    fetching_sections_ = true;
    next_section_ = 0;
  }
  if (awaited) FetchSection(now);
  auto manifest = ParseManifest(value.value);
  if (!manifest || manifest->generation <= latest_manifest_.generation) return;
  latest_manifest_ = std::move(*manifest);
  audit_missing_ = false;
  audit_check_at_ =
      now + kAuditDelay + Duration((*random_)() % kAuditDelay.count());
}

bool StoreSync::FetchSection(TimePoint now) {
  if (!fetching_sections_) return false;
  const auto missing = replica_->MissingSections();
  if (missing.empty()) {
    fetching_sections_ = false;
    return false;
  }
  if (!TryBegin(Call::kSection, Store::kCallTimeout * 2, now)) return true;
  store_->Get(SectionKey(missing[next_section_ % missing.size()]),
              MakeCallback(&StoreSync::OnSection, now));
  return true;
}

void StoreSync::OnSection(const StoreValue& value, bool awaited,
                          TimePoint now) {
  const bool still_missing = !replica_->MissingSections().empty();
  if (still_missing && !replica_->OfferSection(value.value, now)) {
    // The section is corrupt or stale in the store. Fetch the other sections
    // first; peers may provide this one.
    ++next_section_;
    if (awaited) RecordFailure(now);
    return;
  }
  if (awaited) Tick(now);
}

bool StoreSync::CheckAudit(TimePoint now) {
  if (!is_watcher_ || latest_manifest_.generation <= audited_generation_ ||
      now < audit_check_at_) {
    return false;
  }
  const std::string key = AuditKey(latest_manifest_.generation);
  if (!audit_missing_) {
    if (!TryBegin(Call::kAuditRead, Store::kCallTimeout * 2, now)) return true;
    store_->Get(key, MakeCallback(&StoreSync::OnAudit, now));
    return true;
  }
  if (!TryBegin(Call::kAuditWrite, Store::kCallTimeout * 2, now)) return true;
  audit_missing_ = false;  // a lost response is resolved by reading
  store_->CompareAndSwap(key, 0,
                         FormatAuditRecord(MakeAuditRecord(latest_manifest_)),
                         latest_manifest_.operation_id,
                         MakeCallback(&StoreSync::OnAuditWritten, now));
  return true;
}

void StoreSync::OnAudit(const StoreValue& value, bool awaited,
                        TimePoint /*now*/) {
  if (!awaited) return;
  audit_missing_ = value.version == 0;
  if (!audit_missing_) audited_generation_ = latest_manifest_.generation;
}

void StoreSync::OnAuditWritten(const SwapOutcome& outcome, bool awaited,
                               TimePoint /*now*/) {
  if (outcome.applied) ++counters_.audit_records_completed;
  if (awaited) audited_generation_ = latest_manifest_.generation;
}

}  // namespace rwf
