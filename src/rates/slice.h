#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace rwf {

// Duration of a loan on the clock of the lender, from the time of the grant.
inline constexpr Duration kLoanDuration = std::chrono::milliseconds(1500);

// A new process does not use its own share for this long: its predecessor may
// have lent the share up to kLoanDuration ago, on a clock that drifts.
inline constexpr Duration kQuarantine = std::chrono::seconds(2);

// Same delay after the first refused connection, for the loans of the failed
// VM.
inline constexpr Duration kInheritDelay = kQuarantine;

// A loan can be renewed at two intervals before it ends.
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(500);
inline constexpr Duration kProbeInterval = std::chrono::milliseconds(500);

// Units of the token level of a workspace in one request.
inline constexpr int64_t kUnitsPerRequest = 1'000'000;

// All rates are scaled by this ratio, so that clocks up to 200 ppm fast refill
// no more than the configured rate in true time.
inline constexpr int64_t kDriftNumerator = 9998;
inline constexpr int64_t kDriftDenominator = 10000;

// How long a borrower may use a loan of `duration`, from the time at which it
// sent the request: 0.1% less, which covers 200 ppm drift on both clocks.
constexpr Duration BorrowerDuration(Duration duration) {
  return duration - duration / 1000;
}

// Returns floor(amount * part / total) without overflow; 0 if `total` is not
// positive.
constexpr int64_t FloorShare(int64_t amount, int64_t part, int64_t total) {
  return total <= 0 ? 0
                    : static_cast<int64_t>(static_cast<__int128>(amount) *
                                           part / total);
}

// A part of a token bucket: refill rate per second and capacity, in millionths
// of a request or in bytes. For slots, the capacity is their number and the
// rate is 0.
struct Slice {
  int64_t rate = 0;
  int64_t capacity = 0;

  bool IsZero() const { return rate == 0 && capacity == 0; }
  bool Covers(const Slice& other) const {
    return rate >= other.rate && capacity >= other.capacity;
  }
  Slice& operator+=(const Slice& other) {
    rate += other.rate;
    capacity += other.capacity;
    return *this;
  }
  Slice& operator-=(const Slice& other) {
    rate -= other.rate;
    capacity -= other.capacity;
    return *this;
  }
  friend Slice operator+(Slice a, const Slice& b) { return a += b; }
  friend Slice operator-(Slice a, const Slice& b) { return a -= b; }
  friend bool operator==(const Slice&, const Slice&) = default;
  friend auto operator<=>(const Slice&, const Slice&) = default;
};

inline Slice Min(const Slice& a, const Slice& b) {
  return {std::min(a.rate, b.rate), std::min(a.capacity, b.capacity)};
}

// Returns the slice with negative values set to 0.
inline Slice NotNegative(const Slice& a) {
  return {std::max<int64_t>(a.rate, 0), std::max<int64_t>(a.capacity, 0)};
}

}  // namespace rwf
