#include "replica/withdrawal_writer.h"

#include <algorithm>

#include "replica/manifest.h"

namespace rwf {

std::string FormatWithdrawnKeys(const std::set<Digest>& digests) {
  std::string out;
  for (const Digest& digest : digests) out += ToHex(digest) + "\n";
  return out;
}

Result<std::set<Digest>> ParseWithdrawnKeys(const std::string& text) {
  constexpr size_t kLineBytes = 65;
  std::set<Digest> out;
  for (size_t at = 0; at < text.size(); at += kLineBytes) {
    Digest digest;
    if (text.size() - at < kLineBytes || text[at + kLineBytes - 1] != '\n' ||
        !FromHex(std::string_view(text).substr(at, kLineBytes - 1), &digest)) {
      return Fail(StoreErrc::kBadResponse,
                  "keys/withdrawn does not hold a list of digests");
    }
    out.insert(digest);
  }
  return out;
}

WithdrawalWriter::WithdrawalWriter(
    Store* store, CallBudget* budget, Random* random,
    std::function<void(const std::set<Digest>&)> on_read)
    : store_(store),
      budget_(budget),
      random_(random),
      on_read_(std::move(on_read)) {}

void WithdrawalWriter::Add(const Digest& digest) { pending_.insert(digest); }

void WithdrawalWriter::ScheduleRetry(TimePoint now) {
  not_before_ = now + backoff_.Next(*random_);
}

void WithdrawalWriter::Tick(TimePoint now) {
  if (in_flight_ || now < not_before_ || (loaded_ && pending_.empty())) return;
  if (!budget_->TryTake(now)) return;
  in_flight_ = true;
  store_->Get(kWithdrawnKeysKey,
              [this, alive = std::weak_ptr<bool>(alive_)](
                  const Result<StoreValue>& result, TimePoint at) {
                if (!alive.expired()) OnRead(result, at);
              });
}

void WithdrawalWriter::OnRead(const Result<StoreValue>& result, TimePoint now) {
  in_flight_ = false;
  if (!result) return ScheduleRetry(now);
  auto merged = ParseWithdrawnKeys(result->value);
  // A value that can't be parsed may hold withdrawals of other VMs, so it is
  // not overwritten.
  if (!merged) return ScheduleRetry(now);
  loaded_ = true;
  if (on_read_) on_read_(*merged);
  std::erase_if(pending_,
                [&](const Digest& digest) { return merged->contains(digest); });
  if (pending_.empty()) {
    backoff_.Reset();
    return;
  }
  merged->insert(pending_.begin(), pending_.end());
  const std::string text = FormatWithdrawnKeys(*merged);
  is_full_ = text.size() > Store::kMaxValueBytes;
  if (is_full_ || !budget_->TryTake(now)) return ScheduleRetry(now);
  in_flight_ = true;
  store_->CompareAndSwap(
      kWithdrawnKeysKey, result->version, text,
      "withdraw-" + std::to_string((*random_)()),
      [this, merged = std::move(*merged), alive = std::weak_ptr<bool>(alive_)](
          const Result<SwapOutcome>& swapped, TimePoint at) {
        if (!alive.expired()) OnSwapped(swapped, merged, at);
      });
}

void WithdrawalWriter::OnSwapped(const Result<SwapOutcome>& result,
                                 const std::set<Digest>& merged,
                                 TimePoint now) {
  in_flight_ = false;
  // After a conflict or a lost response the next read determines the state.
  if (!result || !result->applied) return ScheduleRetry(now);
  backoff_.Reset();
  std::erase_if(pending_,
                [&](const Digest& digest) { return merged.contains(digest); });
}

}  // namespace rwf
