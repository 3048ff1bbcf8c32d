#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace rwf {

// A loan lasts this long on the lender's clock, from the moment of the grant.
inline constexpr Duration kLoanDuration = std::chrono::milliseconds(1500);

// A fresh process uses none of its own share for this long: its predecessor may
// have lent it up to kLoanDuration ago, on a clock that drifts.
inline constexpr Duration kQuarantine = std::chrono::seconds(2);

// The same wait after the first refused connection, for the dead VM's loans.
inline constexpr Duration kInheritDelay = kQuarantine;

// Renewals leave two chances before a loan ends.
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(500);
inline constexpr Duration kProbeInterval = std::chrono::milliseconds(500);

// Units of a workspace's level in one request.
inline constexpr int64_t kUnitsPerRequest = 1'000'000;

// All rates are scaled down by this, so that clocks that run up to 200 ppm fast
// refill no more than the configured rate in true time.
inline constexpr int64_t kDriftNumerator = 9998;
inline constexpr int64_t kDriftDenominator = 10000;

// How long a borrower may use what is lent for `duration`, counted from the
// moment it sent its request: 0.1% less, which covers 200 ppm on both clocks.
constexpr Duration BorrowerDuration(Duration duration) {
  return duration - duration / 1000;
}

// floor(amount * part / whole) without overflow.
constexpr int64_t FloorShare(int64_t amount, int64_t part, int64_t whole) {
  return whole <= 0 ? 0
                    : static_cast<int64_t>(static_cast<__int128>(amount) *
                                           part / whole);
}

// A part of a bucket: refill a second and capacity, in millionths of a request
// or in bytes. For slots the capacity is their number and the rate is 0.
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

// The slice with negative parts set to 0.
inline Slice NotNegative(const Slice& a) {
  return {std::max<int64_t>(a.rate, 0), std::max<int64_t>(a.capacity, 0)};
}

}  // namespace rwf
