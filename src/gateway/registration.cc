#include "gateway/registration.h"

namespace rwf {

Registration::Registration(EventLoop* loop, RevisionStore* store,
                           std::string key, std::string value)
    : loop_(loop),
      store_(store),
      key_(std::move(key)),
      value_(std::move(value)) {}

void Registration::Start() { Grant(); }

void Registration::Stop() {
  is_stopped_ = true;
  is_seen_ = false;
  timer_.reset();
  if (lease_ != 0) store_->Release(lease_, [](const Result<bool>&) {});
}

void Registration::OnChange(const StoreItem& item) {
  // The watch may be behind this VM's own writes.
  const bool is_older = item.revision.era == latest_revision_.era &&
                        item.revision < latest_revision_;
  if (item.key != key_ || is_older) return;
  const bool was_seen = is_seen_;
  latest_revision_ = item.revision;
  revision_ = item.is_deleted ? StoreRevision{} : item.revision;
  is_seen_ = !is_stopped_ && !item.is_deleted && item.value == value_;
  if (is_seen_ && !was_seen) seen_since_ = EventLoop::Now();
  if (is_seen_ || !was_seen || is_stopped_) return;
  ++losses_;
  signal_lost.emit(item.is_deleted);
  // A removed entry has lost its lease.
  Schedule(Duration::zero(),
           item.is_deleted ? &Registration::Grant : &Registration::Write);
}

void Registration::OnLoaded() {
  if (is_loaded_) return;
  is_loaded_ = true;
  if (lease_ != 0 && !is_writing_) Write();
}

void Registration::Schedule(Duration delay, void (Registration::*step)()) {
  if (is_stopped_) return;
  timer_ = loop_->After(delay, [this, step] { (this->*step)(); });
}

void Registration::Grant() {
  const TimePoint started_at = EventLoop::Now();
  store_->Grant(kLeaseTtl, [this, started_at](const Result<GrantedLease>& it) {
    if (!it) {
      Schedule(kRetryDelay, &Registration::Grant);
      return;
    }
    lease_ = it->id;
    renewed_at_ = started_at;
    // The entry in the store belongs to an earlier lease.
    is_seen_ = false;
    Write();
  });
}

void Registration::Write() {
  if (is_stopped_ || !is_loaded_ || is_writing_) return;
  is_writing_ = true;
  // Processes of this VM may have writes on their way that take effect seconds
  // later. The condition lets only one of them win.
  store_->Write({key_, value_, lease_, true, revision_},
                [this](const Result<StoreRevision>& done) {
                  is_writing_ = false;
                  if (done && *done >= latest_revision_) {
                    revision_ = latest_revision_ = *done;
                    Schedule(kRenewInterval, &Registration::Renew);
                  } else if (done) {
                    // Replaced since then, as the watch has told.
                    Schedule(Duration::zero(), &Registration::Write);
                  } else if (done.error().code == StoreErrc::kNotHeld) {
                    Schedule(kRetryDelay, &Registration::Grant);
                  } else if (is_seen_) {
                    // The response was lost, or that of an earlier attempt.
                    Schedule(kRenewInterval, &Registration::Renew);
                  } else {
                    Schedule(kRetryDelay, &Registration::Write);
                  }
                });
}

void Registration::Renew() {
  const TimePoint started_at = EventLoop::Now();
  store_->KeepAlive(lease_, [this, started_at](const Result<bool>& done) {
    if (done) {
      renewed_at_ = started_at;
      // The lease may be held while the entry is not seen.
      if (is_seen_) {
        Schedule(kRenewInterval, &Registration::Renew);
      } else {
        Schedule(Duration::zero(), &Registration::Write);
      }
    } else if (done.error().code == StoreErrc::kNotHeld) {
      Grant();
    } else {
      Schedule(kRetryDelay, &Registration::Renew);
    }
  });
}

}  // namespace rwf
