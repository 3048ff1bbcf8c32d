#include "replica/withdrawal_writer.h"

#include <algorithm>

#include "replica/manifest.h"

namespace rwf {

std::string FormatWithdrawn(const std::set<Digest>& digests) {
  std::string out;
  for (const Digest& digest : digests) out += ToHex(digest) + "\n";
  return out;
}

Result<std::set<Digest>> ParseWithdrawn(const std::string& text) {
  constexpr size_t kLine = 65;
  std::set<Digest> out;
  for (size_t at = 0; at < text.size(); at += kLine) {
    Digest digest;
    if (text.size() - at < kLine || text[at + kLine - 1] != '\n' ||
        !FromHex(std::string_view(text).substr(at, kLine - 1), &digest)) {
      return Fail(StoreErrc::kBadAnswer,
                  "keys/withdrawn holds no list of digests");
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

void WithdrawalWriter::Fail(TimePoint now) {
  not_before_ = now + backoff_.Next(*random_);
}

void WithdrawalWriter::Tick(TimePoint now) {
  if (waiting_ || now < not_before_ || (read_ && pending_.empty())) return;
  if (!budget_->TryTake(now)) return;
  waiting_ = true;
  store_->Get(kWithdrawnKey,
              [this, alive = std::weak_ptr<bool>(alive_)](
                  const Result<StoreValue>& result, TimePoint at) {
                if (!alive.expired()) OnValue(result, at);
              });
}

void WithdrawalWriter::OnValue(const Result<StoreValue>& result,
                               TimePoint now) {
  waiting_ = false;
  if (!result) return Fail(now);
  auto merged = ParseWithdrawn(result->value);
  // What can't be read may hold withdrawals of others and is not replaced.
  if (!merged) return Fail(now);
  read_ = true;
  if (on_read_) on_read_(*merged);
  std::erase_if(pending_,
                [&](const Digest& digest) { return merged->contains(digest); });
  if (pending_.empty()) {
    backoff_.Reset();
    return;
  }
  merged->insert(pending_.begin(), pending_.end());
  const std::string text = FormatWithdrawn(*merged);
  full_ = text.size() > Store::kMaxValueBytes;
  if (full_ || !budget_->TryTake(now)) return Fail(now);
  waiting_ = true;
  store_->CompareAndSwap(
      kWithdrawnKey, result->version, text,
      "withdraw-" + std::to_string((*random_)()),
      [this, merged = std::move(*merged), alive = std::weak_ptr<bool>(alive_)](
          const Result<SwapOutcome>& swapped, TimePoint at) {
        if (!alive.expired()) OnSwapped(swapped, merged, at);
      });
}

void WithdrawalWriter::OnSwapped(const Result<SwapOutcome>& result,
                                 const std::set<Digest>& merged,
                                 TimePoint now) {
  waiting_ = false;
  // After a conflict or a lost answer the next read shows what is there.
  if (!result || !result->applied) return Fail(now);
  backoff_.Reset();
  std::erase_if(pending_,
                [&](const Digest& digest) { return merged.contains(digest); });
}

}  // namespace rwf
