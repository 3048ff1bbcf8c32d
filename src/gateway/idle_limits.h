#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// Learns for how long connections to instances may rest before reuse. The
// instance decides when it closes an idle connection, and a request sent at
// that moment is lost. What an instance advertises and the rests after which it
// closed connections bound the reuse; rests that connections survived extend
// it.
class IdleLimits {
 public:
  // An idle connection is closed after this time if nothing is known of the
  // instance.
  static constexpr Duration kMaxIdle = std::chrono::seconds(30);
  // A non-idempotent request reuses a connection that rested this long even if
  // nothing is known of the instance.
  static constexpr Duration kMinIdleForNonIdempotent =
      std::chrono::milliseconds(1000);
  // Margin before a rest that closes connections: the round trip and the
  // instance's timer. The fraction bounds it for short timeouts.
  static constexpr Duration kMargin = std::chrono::seconds(1);
  static constexpr double kMarginFraction = 0.5;
  // A non-idempotent request keeps at least this fraction as margin, since it
  // is not repeated and the timeouts of an instance may vary.
  static constexpr double kNonIdempotentMargin = 0.3;
  // An observed close counts for this many times its rest, and at least for
  // kMinEvidenceTime.
  static constexpr int kEvidenceFactor = 30;
  static constexpr Duration kMinEvidenceTime = std::chrono::seconds(20);
  // If this many instances close connections after rests of under
  // kMinIdleForNonIdempotent, the others are expected to do the same. A single
  // instance that ends also closes its connections early.
  static constexpr size_t kEarlyInstances = 3;
  // Limit after a request was lost on a reused connection that rested for less:
  // instances may drop idle connections without closing them.
  static constexpr Duration kCautionTime = std::chrono::seconds(20);
  static constexpr Duration kCautiousIdle = std::chrono::seconds(4);

  // `instance` closed a connection that rested for `idle`.
  void OnClosed(const std::string& instance, Duration idle, TimePoint now);
  // A connection to `instance` has rested for `idle` and is still open.
  void OnSurvived(const std::string& instance, Duration idle);
  // A request on a connection to `instance` that rested for `idle` got no byte
  // of a response.
  void OnLost(const std::string& instance, Duration idle, TimePoint now);
  // Forgets what no longer counts. Must be called a few times per second.
  void Tick(TimePoint now);
  void Forget(const std::string& instance) { by_instance_.erase(instance); }

  // Returns the longest rest after which a connection is reused. `advertised`
  // is the idle timeout that the instance named, or zero.
  Duration ReuseLimit(const std::string& instance, Duration advertised,
                      bool is_idempotent, TimePoint now) const;
  // Returns the time for which an idle connection is kept.
  Duration KeepLimit(const std::string& instance, Duration advertised,
                     TimePoint now) const;

 private:
  struct Close {
    Duration idle{};
    TimePoint at{};
    bool Counts(TimePoint now) const;
  };
  struct Evidence {
    std::vector<Close> closes;
    Duration survived{};
    // Returns the shortest rest that was closed, or kUnknown.
    Duration ShortestClose(TimePoint now) const;
  };
  static constexpr Duration kUnknown = Duration::max();
  static constexpr size_t kMaxCloses = 8;

  // Returns the shortest rest that is known to close a connection.
  Duration ClosesAfter(const std::string& instance, Duration advertised,
                       TimePoint now) const;

  std::map<std::string, Evidence> by_instance_;
  // Shortest early close if kEarlyInstances show one.
  Duration common_close_ = kUnknown;
  TimePoint cautious_until_{};
};

}  // namespace rwf
