#include "gateway/buffer_account.h"

#include <algorithm>
#include <utility>

namespace rwf {

const char* BufferUseName(BufferUse use) {
  switch (use) {
    case BufferUse::kReceiving:
      return "receiving";
    case BufferUse::kServed:
      return "served";
    case BufferUse::kResponse:
      return "response";
    case BufferUse::kSending:
      return "sending";
  }
  return "";
}

BufferAccount::Holder::Holder(BufferAccount* account, BufferUse use,
                              std::function<void()> reclaim)
    : account_(account), use_(use), reclaim_(std::move(reclaim)) {
  if (account_ != nullptr && reclaim_ != nullptr)
    account_->holders_.insert(this);
}

BufferAccount::Holder::~Holder() {
  if (account_ == nullptr) return;
  account_->bytes_ -= bytes_;
  account_->holders_.erase(this);
}

void BufferAccount::Holder::Set(size_t bytes, TimePoint now) {
  if (bytes_ == 0) progress_at_ = now;
  const size_t before = bytes_;
  bytes_ = bytes;
  if (account_ == nullptr || bytes == before) return;
  account_->bytes_ += bytes - before;
  if (bytes > before && account_->bytes_ > account_->limit_)
    account_->signal_exceeded.emit();
}

BufferAccount::BufferAccount(size_t limit) : limit_(limit) {}

size_t BufferAccount::LimitOf(int64_t memory_mb) {
  if (memory_mb <= 0) return kDefaultLimit;
  return static_cast<size_t>(static_cast<double>(memory_mb) * (1 << 20) *
                             kLimitFraction);
}

bool BufferAccount::is_scarce() const {
  return static_cast<double>(bytes_) >
         static_cast<double>(limit_) * kScarceFraction;
}

BufferAccount::Holder* BufferAccount::LargestProduct(Duration min_stall,
                                                     TimePoint now) const {
  Holder* out = nullptr;
  double largest = 0;
  for (Holder* it : holders_) {
    const Duration stall = now - it->progress_at_;
    if (it->bytes_ == 0 || stall < min_stall) continue;
    const double product = static_cast<double>(it->bytes_) *
                           ToSeconds(std::max(stall, kActiveTime));
    if (product <= largest) continue;
    largest = product;
    out = it;
  }
  return out;
}

void BufferAccount::ReclaimHolder(Holder* it) {
  signal_reclaim.emit(it->use_, it->bytes_);
  // The holder may be destroyed by it.
  const std::function<void()> reclaim = it->reclaim_;
  reclaim();
}

void BufferAccount::Reclaim(bool is_awaited, TimePoint now) {
  if (is_awaited && is_scarce()) {
    Holder* it = LargestProduct(kStallTime, now);
    if (it != nullptr) ReclaimHolder(it);
  }
  while (bytes_ > limit_) {
    Holder* it = LargestProduct(Duration::zero(), now);
    if (it == nullptr) return;
    const size_t before = bytes_;
    ReclaimHolder(it);
    // A holder that keeps its bytes would be picked again.
    if (bytes_ >= before) return;
  }
}

}  // namespace rwf
