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
  timer_.reset();
  if (lease_ != 0) store_->Release(lease_, [](const Result<bool>&) {});
}

void Registration::Schedule(Duration delay, void (Registration::*step)()) {
  if (is_stopped_) return;
  timer_ = loop_->After(delay, [this, step] { (this->*step)(); });
}

void Registration::Grant() {
  store_->Grant(kLeaseTtl, [this](const Result<GrantedLease>& lease) {
    if (!lease) {
      Schedule(kRetryDelay, &Registration::Grant);
      return;
    }
    lease_ = lease->id;
    Write();
  });
}

void Registration::Write() {
  if (is_stopped_) return;
  // The entry of an earlier process of this VM is replaced unconditionally:
  // each VM runs one process.
  store_->Write({key_, value_, lease_, false, 0},
                [this](const Result<uint64_t>& done) {
                  if (done) {
                    Schedule(kRenewInterval, &Registration::Renew);
                  } else if (done.error().code == StoreErrc::kNotHeld) {
                    Schedule(kRetryDelay, &Registration::Grant);
                  } else {
                    Schedule(kRetryDelay, &Registration::Write);
                  }
                });
}

void Registration::Renew() {
  store_->KeepAlive(lease_, [this](const Result<bool>& done) {
    if (done) {
      Schedule(kRenewInterval, &Registration::Renew);
    } else if (done.error().code == StoreErrc::kNotHeld) {
      Grant();
    } else {
      Schedule(kRetryDelay, &Registration::Renew);
    }
  });
}

}  // namespace rwf
