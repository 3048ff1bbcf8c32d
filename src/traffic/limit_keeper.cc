#include "traffic/limit_keeper.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace rwf {
namespace {

// Lower bound of a rate, in tokens per second, for estimates of a delay.
constexpr double kMinRate = 1e-3;
// Claims on a limit that another VM should keep are counted here as long as
// they come at least this often.
constexpr Duration kUnexpectedClaimsTimeout = std::chrono::seconds(5);

}  // namespace

void LimitKeeper::SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                            TimePoint now) {
  std::set<std::string> limited;
  for (const TrafficWorkspace& it : workspaces) {
    if (it.rate <= 0) continue;
    limited.insert(it.name);
    const auto [found, is_new] = buckets_.try_emplace(it.name);
    Bucket& bucket = found->second;
    if (is_new) bucket.refilled_at = now;
    Refill(&bucket, now);
    bucket.rate = it.rate;
    bucket.burst = std::max(1.0, it.burst);
    if (is_new) bucket.level = kInitialFraction * Tolerance(bucket);
    bucket.level = std::min(bucket.level, Capacity(bucket));
    UpdateScarcity(&bucket);
  }
  std::erase_if(buckets_,
                [&](const auto& it) { return !limited.contains(it.first); });
}

void LimitKeeper::SetParts(
    const std::function<LimitPart(const std::string&, Keeping)>& part_of,
    TimePoint now) {
  for (auto& [name, bucket] : buckets_) {
    const LimitPart part = part_of(name, bucket.keeping);
    if (part == bucket.part) continue;
    Refill(&bucket, now);
    bucket.part = part;
    // SetKept() has just begun to keep it, by the former part.
    if (bucket.restarted_at == now)
      bucket.level = std::min(bucket.level, InitialLevel(bucket));
  }
}

std::vector<LimitClaim> LimitKeeper::SetKept(
    const std::function<Keeping(const std::string&)>& keeping_of,
    TimePoint now) {
  std::vector<LimitClaim> out;
  for (auto& [name, bucket] : buckets_) {
    Refill(&bucket, now);
    const bool was_kept = bucket.keeping != Keeping::kNo;
    bucket.keeping = keeping_of(name);
    const bool is_kept = bucket.keeping != Keeping::kNo;
    if (is_kept && !was_kept) Restart(&bucket, false, now);
    if (!is_kept && was_kept) out.push_back(Handover(name, bucket, now));
  }
  return out;
}

LimitClaim LimitKeeper::Handover(const std::string& name, const Bucket& bucket,
                                 TimePoint now) const {
  LimitClaim out{name};
  if (now - bucket.restarted_at >= kHandoverTime) {
    out.handed_over = bucket.level;
  } else {
    // The next keeper has begun with initial tokens of its own.
    out.admitted = static_cast<uint32_t>(
        std::max(0.0, std::round(InitialLevel(bucket) - bucket.level)));
  }
  return out;
}

void LimitKeeper::Restart(bool has_predecessors, TimePoint now) {
  for (auto& [name, bucket] : buckets_) Restart(&bucket, has_predecessors, now);
}

double LimitKeeper::Tolerance(const Bucket& bucket) const {
  return tolerance_.requests +
         tolerance_.ratio *
             (bucket.rate * ToSeconds(tolerance_.window) + bucket.burst);
}

double LimitKeeper::InitialLevel(const Bucket& bucket) const {
  return kInitialFraction * Tolerance(bucket) * bucket.part.capacity;
}

double LimitKeeper::Capacity(const Bucket& bucket) const {
  return bucket.burst + kReserveFraction * Tolerance(bucket);
}

void LimitKeeper::Restart(Bucket* bucket, bool has_predecessor, TimePoint now) {
  Refill(bucket, now);
  bucket->level =
      std::min(bucket->level, has_predecessor ? 0 : InitialLevel(*bucket));
  bucket->awaits_handover = has_predecessor;
  bucket->restarted_at = now;
  UpdateScarcity(bucket);
}

void LimitKeeper::TakeOver(Bucket* bucket, double level, TimePoint now) {
  const bool is_first =
      bucket->awaits_handover && now - bucket->restarted_at < kHandoverTime;
  bucket->awaits_handover = false;
  bucket->level = is_first ? level : std::min(bucket->level, level);
}

void LimitKeeper::Refill(Bucket* bucket, TimePoint now) {
  const double seconds = std::max(0.0, ToSeconds(now - bucket->refilled_at));
  bucket->refilled_at = now;
  // One token may always be saved up, however few VMs are within reach:
  // otherwise a VM that is cut off could never spend its part of a small burst.
  const double max_level =
      std::max(1.0, Capacity(*bucket) * bucket->part.capacity);
  const double rate = bucket->rate * bucket->part.rate;
  bucket->level = std::min(max_level, bucket->level + rate * seconds);
  UpdateScarcity(bucket);
}

void LimitKeeper::UpdateScarcity(Bucket* bucket) {
  const double threshold =
      std::max(1.0, std::min(bucket->rate * kScarceSeconds,
                             Capacity(*bucket) * kMaxScarceFraction));
  if (bucket->level < threshold) {
    bucket->is_scarce = true;
  } else if (bucket->level >=
             std::min(threshold * kPlentyFactor,
                      Capacity(*bucket) * bucket->part.capacity)) {
    bucket->is_scarce = false;
  }
}

bool LimitKeeper::TryTake(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  Refill(&bucket, now);
  if (bucket.level < 1) return false;
  bucket.level -= 1;
  UpdateScarcity(&bucket);
  return true;
}

void LimitKeeper::Return(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return;
  Refill(&it->second, now);
  it->second.level = std::min(Capacity(it->second), it->second.level + 1);
  UpdateScarcity(&it->second);
}

Duration LimitKeeper::Reserve(Bucket* bucket, TimePoint now) {
  const double rate = std::max(kMinRate, bucket->rate * bucket->part.rate);
  const TimePoint next_token =
      now + FromSeconds(std::max(0.0, (1 - bucket->level) / rate));
  const TimePoint at = std::max(next_token, bucket->next_token_at);
  bucket->next_token_at =
      std::min(at + FromSeconds(1 / rate), now + kMaxRetryAfter);
  return std::clamp<Duration>(at - now, kMinRetryAfter, kMaxRetryAfter);
}

Duration LimitKeeper::RetryAfter(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return kMinRetryAfter;
  Refill(&it->second, now);
  return Reserve(&it->second, now);
}

std::vector<LimitVerdict> LimitKeeper::OnClaims(
    const std::vector<LimitClaim>& claims, TimePoint now) {
  std::vector<LimitVerdict> out;
  for (const LimitClaim& it : claims) {
    const auto found = buckets_.find(it.name);
    if (found == buckets_.end()) {
      // The sender has a newer configuration, or this VM has none yet.
      out.push_back({it.name, it.wanted, {}, false});
      continue;
    }
    Bucket& bucket = found->second;
    if (!IsUsed(bucket, now)) Restart(&bucket, false, now);
    bucket.claimed_at = now;
    Refill(&bucket, now);
    if (it.handed_over) TakeOver(&bucket, *it.handed_over, now);
    bucket.level += it.returned;
    bucket.level -= it.admitted;
    bucket.level = std::clamp(bucket.level, -bucket.rate * kMaxDebtSeconds,
                              Capacity(bucket));
    LimitVerdict verdict{it.name, 0, {}, false};
    while (verdict.granted < it.wanted && bucket.level >= 1) {
      bucket.level -= 1;
      ++verdict.granted;
    }
    if (verdict.granted < it.wanted)
      verdict.retry_after = Reserve(&bucket, now);
    UpdateScarcity(&bucket);
    verdict.is_scarce = bucket.is_scarce;
    out.push_back(std::move(verdict));
  }
  return out;
}

// VMs that cannot reach the keeper of a limit send their claims here, and must
// learn of scarcity too.
bool LimitKeeper::IsUsed(const Bucket& bucket, TimePoint now) {
  return bucket.keeping != Keeping::kNo ||
         now - bucket.claimed_at <= kUnexpectedClaimsTimeout;
}

std::vector<std::string> LimitKeeper::ScarceLimits(TimePoint now) {
  std::vector<std::string> out;
  for (auto& [name, bucket] : buckets_) {
    if (!IsUsed(bucket, now)) continue;
    Refill(&bucket, now);
    if (bucket.is_scarce) out.push_back(name);
  }
  return out;
}

std::vector<LimitVerdict> LimitKeeper::TakeChanges(TimePoint now) {
  std::vector<LimitVerdict> out;
  for (auto& [name, bucket] : buckets_) {
    if (!IsUsed(bucket, now)) continue;
    Refill(&bucket, now);
    if (bucket.is_scarce == bucket.was_scarce) continue;
    bucket.was_scarce = bucket.is_scarce;
    out.push_back({name, 0, {}, bucket.is_scarce});
  }
  return out;
}

size_t LimitKeeper::kept() const {
  return static_cast<size_t>(std::count_if(
      buckets_.begin(), buckets_.end(),
      [](const auto& it) { return it.second.keeping != Keeping::kNo; }));
}

double LimitKeeper::Level(const std::string& name, TimePoint now) {
  const auto it = buckets_.find(name);
  if (it == buckets_.end()) return 0;
  Refill(&it->second, now);
  return it->second.level;
}

}  // namespace rwf
