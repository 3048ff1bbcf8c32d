#include "replica/store_sync.h"

#include <algorithm>

#include "base/hash.h"
#include "replica/audit_chain.h"

namespace rwf {

bool IsStoreWatcher(const std::string& zone, const std::string& vm,
                    const std::vector<std::string>& live_in_zone) {
  const std::string key = "store-watch/" + zone;
  const auto rank = [&](const std::string& id) {
    return std::pair(RendezvousScore(key, id), id);
  };
  const auto own = rank(vm);
  return std::count_if(live_in_zone.begin(), live_in_zone.end(),
                       [&](const std::string& id) { return rank(id) < own; }) <
         2;
}

void StoreContact::OnAnswer(TimePoint asked_at) {
  Contact& own = contacts_[self_];
  if (own.sequence != 0 && asked_at <= own.at) return;
  own = {++sequence_, asked_at};
  if (newest_.empty() || contacts_[newest_].at < asked_at) newest_ = self_;
}

void StoreContact::OnHeartbeat(const wire::HeartbeatT& heartbeat,
                               TimePoint now) {
  const std::string& vm = heartbeat.store_contact_vm;
  // An age beyond this says nothing that matters.
  constexpr uint64_t kLongest = 1'000'000'000;
  if (vm.empty() || vm == self_ || heartbeat.store_contact_age_ms > kLongest) {
    return;
  }
  const TimePoint at =
      now - std::chrono::milliseconds(heartbeat.store_contact_age_ms);
  Contact& known = contacts_[vm];
  if (heartbeat.store_contact_sequence <= known.sequence) return;
  known = {heartbeat.store_contact_sequence, at};
  if (newest_.empty() || contacts_[newest_].at < at) newest_ = vm;
}

void StoreContact::Fill(wire::HeartbeatT* heartbeat, TimePoint now) const {
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

bool StoreSync::Begin(Call call, Duration give_up_after, TimePoint now) {
  if (!budget_->TryTake(now)) return false;
  call_ = call;
  ++call_number_;
  give_up_at_ = now + give_up_after;
  ++counters_.calls;
  return true;
}

void StoreSync::Fail(TimePoint now) {
  ++counters_.failures;
  not_before_ = now + backoff_.Next(*random_);
}

bool StoreSync::End(uint64_t number, TimePoint asked_at, const Error* error,
                    TimePoint now) {
  const bool awaited = number == call_number_ && call_ != Call::kNone;
  if (awaited) {
    call_ = Call::kNone;
  } else {
    ++counters_.late_answers;
  }
  if (error == nullptr) {
    contact_->OnAnswer(asked_at);
    if (awaited) backoff_.Reset();
  } else if (awaited) {
    Fail(now);
  }
  return awaited;
}

template <typename T>
Store::Callback<T> StoreSync::Answer(void (StoreSync::*handler)(const T&, bool,
                                                                TimePoint),
                                     TimePoint asked_at) {
  return [this, handler, asked_at, number = call_number_,
          alive = std::weak_ptr<bool>(alive_)](const Result<T>& result,
                                               TimePoint now) {
    if (alive.expired()) return;
    const bool awaited =
        End(number, asked_at, result ? nullptr : &result.error(), now);
    if (result) (this->*handler)(*result, awaited, now);
  };
}

void StoreSync::Tick(TimePoint now) {
  if (call_ != Call::kNone) {
    if (now < give_up_at_) return;
    call_ = Call::kNone;
    Fail(now);
  }
  if (now < not_before_) return;
  if (FetchSection(now) || CheckAudit(now)) return;
  ReadManifest(now);
}

bool StoreSync::ReadManifest(TimePoint now) {
  if (watcher_) {
    if (!Begin(Call::kWatch, kWatchTimeout + kWatchGrace, now)) return false;
    ++counters_.watches;
    store_->Watch(kManifestKey, manifest_version_, kWatchTimeout,
                  Answer(&StoreSync::OnManifest, now));
    return true;
  }
  const bool starting = replica_->generation() == 0;
  const Duration period = starting ? kStartPeriod : kPollPeriod;
  const auto jittered = [&] {
    return period / 2 + Duration((*random_)() % (period.count() / 2));
  };
  if (!starting && contact_->Age(now) < kQuietLimit) {
    next_poll_.reset();
    return false;
  }
  if (!next_poll_) {
    // All VMs of a fleet may start or lose contact at the same moment.
    next_poll_ =
        now + (starting ? Duration((*random_)() % Backoff::kFirst.count())
                        : jittered());
  }
  if (now < *next_poll_ || !Begin(Call::kGet, Store::kCallTimeout * 2, now)) {
    return false;
  }
  next_poll_ = now + jittered();
  ++counters_.polls;
  store_->Get(kManifestKey, Answer(&StoreSync::OnManifest, now));
  return true;
}

void StoreSync::OnManifest(const StoreValue& value, bool awaited,
                           TimePoint now) {
  if (value.version == 0) return;
  if (value.version < manifest_version_) {
    if (awaited) Fail(now);  // a stale answer
    return;
  }
  manifest_version_ = value.version;
  if (replica_->OfferManifest(value.value, now)) {
    fetching_ = true;
    next_section_ = 0;
  }
  if (awaited) FetchSection(now);
  auto manifest = ParseManifest(value.value);
  if (!manifest || manifest->generation <= seen_.generation) return;
  seen_ = std::move(*manifest);
  audit_missing_ = false;
  audit_at_ = now + kAuditDelay + Duration((*random_)() % kAuditDelay.count());
}

bool StoreSync::FetchSection(TimePoint now) {
  if (!fetching_) return false;
  const auto missing = replica_->MissingSections();
  if (missing.empty()) {
    fetching_ = false;
    return false;
  }
  if (!Begin(Call::kSection, Store::kCallTimeout * 2, now)) return true;
  store_->Get(SectionKey(missing[next_section_ % missing.size()]),
              Answer(&StoreSync::OnSection, now));
  return true;
}

void StoreSync::OnSection(const StoreValue& value, bool awaited,
                          TimePoint now) {
  const bool still_missing = !replica_->MissingSections().empty();
  if (still_missing && !replica_->OfferSection(value.value, now)) {
    // Corrupt or stale in the store: peers may have it, others come first.
    ++next_section_;
    if (awaited) Fail(now);
    return;
  }
  if (awaited) Tick(now);
}

bool StoreSync::CheckAudit(TimePoint now) {
  if (!watcher_ || seen_.generation <= audited_ || now < audit_at_) {
    return false;
  }
  const std::string key = AuditKey(seen_.generation);
  if (!audit_missing_) {
    if (!Begin(Call::kAuditRead, Store::kCallTimeout * 2, now)) return true;
    store_->Get(key, Answer(&StoreSync::OnAudit, now));
    return true;
  }
  if (!Begin(Call::kAuditWrite, Store::kCallTimeout * 2, now)) return true;
  audit_missing_ = false;  // a lost answer is resolved by reading
  store_->CompareAndSwap(key, 0, FormatAuditRecord(RecordOf(seen_)),
                         seen_.operation_id,
                         Answer(&StoreSync::OnAuditWritten, now));
  return true;
}

void StoreSync::OnAudit(const StoreValue& value, bool awaited,
                        TimePoint /*now*/) {
  if (!awaited) return;
  audit_missing_ = value.version == 0;
  if (!audit_missing_) audited_ = seen_.generation;
}

void StoreSync::OnAuditWritten(const SwapOutcome& outcome, bool awaited,
                               TimePoint /*now*/) {
  if (outcome.applied) ++counters_.audit_completed;
  if (awaited) audited_ = seen_.generation;
}

}  // namespace rwf
