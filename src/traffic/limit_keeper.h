#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/catalog.h"
#include "traffic/limit_messages.h"

namespace rwf {

// Whether a VM keeps a limit.
enum class Keeping : uint8_t {
  kNo,
  kYes,
  kUncertain,  // another VM may be keeping it as well
};

// What this VM may use of a limit, as fractions.
struct LimitPart {
  double capacity = 1;
  double rate = 1;
  friend bool operator==(const LimitPart&, const LimitPart&) = default;
};

// Keeps the token buckets of those workspaces whose limits this VM keeps for
// the whole fleet.
//
// While a bucket holds plenty of tokens, the VMs admit requests on their own
// and tell the keeper afterwards. Once it is scarce, each request needs a
// grant. What the VMs admit before they learn of the scarcity is bounded by the
// requests of the workspace that arrive in that time, not by the number of VMs.
class LimitKeeper {
 public:
  // Fraction of the tolerance that a bucket may hold beyond its burst.
  static constexpr double kReserveFraction = 0.3;
  // Fraction of the tolerance that a bucket holds when this VM begins to keep
  // it: what the keeper before it admitted is unknown.
  static constexpr double kInitialFraction = 0.25;
  // A bucket is scarce below this many seconds of its rate, which cover the
  // requests admitted before all VMs know of the scarcity.
  static constexpr double kScarceSeconds = 0.3;
  // The same as a fraction of the capacity, for small bursts.
  static constexpr double kMaxScarceFraction = 0.5;
  // It is plentiful again at this multiple of the threshold.
  static constexpr double kPlentyFactor = 1.5;
  // Part of the rate that is used while another VM may be keeping the limit.
  static constexpr double kUncertainFraction = 0.25;
  // Time for which a VM must have kept a limit to know its level. For as long
  // after a restart, the first handover tells the level.
  static constexpr Duration kHandoverTime = std::chrono::seconds(2);
  // Seconds of refill by which a level may fall below zero.
  static constexpr double kMaxDebtSeconds = 1;
  // Callers refused beyond this time would be held back for longer than the
  // demand can be foreseen.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

  void SetTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }
  // Applies the limits of a configuration. Known buckets keep their level.
  void SetLimits(const std::vector<TrafficWorkspace>& workspaces,
                 TimePoint now);
  // Sets which part of each limit belongs to the VMs that send their claims to
  // this one. The rest belongs to the others.
  void SetParts(
      const std::function<LimitPart(const std::string&, Keeping)>& part_of,
      TimePoint now);
  // Sets which limits this VM is to keep. Returns what the next keepers of the
  // others must know.
  std::vector<LimitClaim> SetKept(
      const std::function<Keeping(const std::string&)>& keeping_of,
      TimePoint now);
  // Forgets what all limits have saved up. If other VMs have kept them, they
  // hand over what is left.
  void Restart(bool has_predecessors, TimePoint now);

  bool HasLimit(const std::string& name) const {
    return buckets_.contains(name);
  }
  // Takes a token for a request of this VM. Returns false if there is none.
  bool TryTake(const std::string& name, TimePoint now);
  void Return(const std::string& name, TimePoint now);
  // Returns when a request that is refused now should come again. Each call
  // reserves a later token.
  Duration RetryAfter(const std::string& name, TimePoint now);
  // Returns one verdict for each claim on a known limit.
  std::vector<LimitVerdict> OnClaims(const std::vector<LimitClaim>& claims,
                                     TimePoint now);
  // Returns the scarce limits on which claims come here.
  std::vector<std::string> ScarceLimits(TimePoint now);
  // Returns the limits with claims here that have become scarce or plentiful
  // since the last call.
  std::vector<LimitVerdict> TakeChanges(TimePoint now);
  size_t kept() const;
  double Level(const std::string& name, TimePoint now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint refilled_at{};
    Keeping keeping = Keeping::kNo;
    LimitPart part;
    bool is_scarce = false;
    bool was_scarce = false;  // as of the last TakeChanges()
    bool awaits_handover = false;
    TimePoint restarted_at{};
    TimePoint claimed_at{};     // last claim of another VM
    TimePoint next_token_at{};  // not reserved by refused callers
  };
  static bool IsUsed(const Bucket& bucket, TimePoint now);
  double Tolerance(const Bucket& bucket) const;
  double Capacity(const Bucket& bucket) const;
  double InitialLevel(const Bucket& bucket) const;
  // Returns what the next keeper must know.
  LimitClaim Handover(const std::string& name, const Bucket& bucket,
                      TimePoint now) const;
  void Refill(Bucket* bucket, TimePoint now);
  void UpdateScarcity(Bucket* bucket);
  void Restart(Bucket* bucket, bool has_predecessor, TimePoint now);
  void TakeOver(Bucket* bucket, double level, TimePoint now);
  Duration Reserve(Bucket* bucket, TimePoint now);

  std::map<std::string, Bucket> buckets_;
  LimitTolerance tolerance_;
};

}  // namespace rwf
