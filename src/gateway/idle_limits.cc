#include "gateway/idle_limits.h"

#include <algorithm>

namespace rwf {
namespace {

// Returns the rest that is safe for idempotent requests if connections close
// after `close`.
Duration WithMargin(Duration close) {
  return close -
         std::min(IdleLimits::kMargin,
                  FromSeconds(ToSeconds(close) * IdleLimits::kMarginFraction));
}

Duration WithLargeMargin(Duration close) {
  return std::min(
      WithMargin(close),
      close - FromSeconds(ToSeconds(close) * IdleLimits::kNonIdempotentMargin));
}

}  // namespace

bool IdleLimits::Close::Counts(TimePoint now) const {
  return now - at <
         std::max<Duration>(kMinEvidenceTime, idle * kEvidenceFactor);
}

Duration IdleLimits::Evidence::ShortestClose(TimePoint now) const {
  Duration out = kUnknown;
  for (const Close& it : closes) {
    if (it.Counts(now)) out = std::min(out, it.idle);
  }
  return out;
}

void IdleLimits::OnClosed(const std::string& instance, Duration idle,
                          TimePoint now) {
  Evidence& evidence = by_instance_[instance];
  evidence.survived = std::min(evidence.survived, idle);
  std::vector<Close>& closes = evidence.closes;
  std::erase_if(closes, [&](const Close& it) { return !it.Counts(now); });
  if (closes.size() >= kMaxCloses) {
    // The longest rest says least.
    const auto longest = std::max_element(
        closes.begin(), closes.end(),
        [](const Close& a, const Close& b) { return a.idle < b.idle; });
    closes.erase(longest);
  }
  closes.push_back({idle, now});
}

void IdleLimits::OnSurvived(const std::string& instance, Duration idle) {
  Duration& survived = by_instance_[instance].survived;
  survived = std::max(survived, idle);
}

void IdleLimits::OnLost(const std::string& instance, Duration idle,
                        TimePoint now) {
  if (idle < kCautiousIdle) {
    cautious_until_ = now + kCautionTime;
  } else {
    OnClosed(instance, idle, now);
  }
}

void IdleLimits::Tick(TimePoint now) {
  size_t early = 0;
  Duration shortest = kUnknown;
  for (auto& [instance, it] : by_instance_) {
    std::erase_if(it.closes, [&](const Close& c) { return !c.Counts(now); });
    const Duration close = it.ShortestClose(now);
    if (close >= kMinIdleForNonIdempotent) continue;
    ++early;
    shortest = std::min(shortest, close);
  }
  common_close_ = early >= kEarlyInstances ? shortest : kUnknown;
}

Duration IdleLimits::ClosesAfter(const std::string& instance,
                                 Duration advertised, TimePoint now) const {
  Duration out = advertised > Duration::zero() ? advertised : kUnknown;
  const auto it = by_instance_.find(instance);
  if (it == by_instance_.end()) return out;
  return std::min(out, it->second.ShortestClose(now));
}

Duration IdleLimits::KeepLimit(const std::string& instance, Duration advertised,
                               TimePoint now) const {
  const Duration close = ClosesAfter(instance, advertised, now);
  if (close == kUnknown) return kMaxIdle;
  return std::min(kMaxIdle, WithMargin(close));
}

Duration IdleLimits::ReuseLimit(const std::string& instance,
                                Duration advertised, bool is_idempotent,
                                TimePoint now) const {
  const bool is_cautious = now < cautious_until_;
  if (is_idempotent) {
    const Duration out = KeepLimit(instance, advertised, now);
    return is_cautious ? std::min(out, kCautiousIdle) : out;
  }
  const Duration close =
      std::min(ClosesAfter(instance, advertised, now), common_close_);
  Duration out = kMinIdleForNonIdempotent;
  if (close != kUnknown) {
    out = WithLargeMargin(std::min(close, kMaxIdle));
  } else if (const auto it = by_instance_.find(instance);
             it != by_instance_.end()) {
    out = std::max(out, WithLargeMargin(it->second.survived));
  }
  return is_cautious ? std::min(out, kMinIdleForNonIdempotent) : out;
}

}  // namespace rwf
