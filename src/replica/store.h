#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace rwf {

// Errors of store calls. After kUnavailable, kThrottled and kTooLarge the call
// had no effect. After kUnknownOutcome it may have taken effect or may still do
// so. kConflict means that a lease is held by another holder or token.
// kBadResponse means that the response could not be parsed, so the outcome of a
// write is unknown as well.
enum class StoreErrc {
  kUnavailable = 1,
  kConflict,
  kUnknownOutcome,
  kTooLarge,
  kThrottled,
  kBadResponse,
  kHistoryGone,  // the requested changes are no longer retained
  kNotHeld       // the lease does not exist or has expired
};
std::error_code make_error_code(StoreErrc code);

// Returns true if a write that failed with `error` may still take effect.
bool IsOutcomeUnknown(const Error& error);

// A value and its version. If the key does not exist, the version is 0 and the
// value empty. Versions of a key only increase, also across deletion and
// re-creation.
struct StoreValue {
  std::string value;
  uint64_t version = 0;

  friend bool operator==(const StoreValue&, const StoreValue&) = default;
};

// Result of a completed compare-and-swap. `version` is the new version if the
// swap was applied, otherwise the current version, which differs from the
// expected one.
struct SwapOutcome {
  bool applied = false;
  uint64_t version = 0;

  friend bool operator==(const SwapOutcome&, const SwapOutcome&) = default;
};

struct StoreEntry {
  std::string key;
  StoreValue value;

  friend bool operator==(const StoreEntry&, const StoreEntry&) = default;
};

// One page of a listing in key order. If `has_more`, the next page begins after
// the last key.
struct StorePage {
  std::vector<StoreEntry> entries;
  bool has_more = false;

  friend bool operator==(const StorePage&, const StorePage&) = default;
};

// A held lease. `token` is a fencing token: it increases with each new holder.
struct StoreLease {
  std::string name;
  std::string holder;
  uint64_t token = 0;
  Duration ttl{};

  friend bool operator==(const StoreLease&, const StoreLease&) = default;
};

// A VM in the platform's list, which lags behind the actual state.
struct PlatformVm {
  std::string id;
  bool leaving = false;

  friend bool operator==(const PlatformVm&, const PlatformVm&) = default;
};

// The platform's key-value store. Calls are asynchronous: each returns
// immediately, and its callback runs exactly once, never within the call, and
// receives the current time. An implementation fails a call that has no
// response within kCallTimeout (for a watch, its timeout plus kCallTimeout)
// with kUnavailable for reads and kUnknownOutcome for writes. A write that
// failed with kUnknownOutcome may still take effect later.
class Store {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T> result, TimePoint now)>;

  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr size_t kMaxValueBytes = 1'000'000;

  virtual ~Store() = default;

  virtual void Get(const std::string& key, Callback<StoreValue> done) = 0;

  // Writes `value` if the key has `expected_version` (0 if it must not exist).
  // The operation id is stored for diagnostics only. It is not used for
  // deduplication, so a repeated swap ends in a conflict.
  virtual void CompareAndSwap(const std::string& key, uint64_t expected_version,
                              const std::string& value,
                              const std::string& operation_id,
                              Callback<SwapOutcome> done) = 0;

  // Lists up to `limit` keys that start with `prefix` and sort after `after`.
  virtual void List(const std::string& prefix, const std::string& after,
                    size_t limit, Callback<StorePage> done) = 0;

  // Returns the value once the version of the key differs from `after_version`,
  // or the current value after `timeout`.
  virtual void Watch(const std::string& key, uint64_t after_version,
                     Duration timeout, Callback<StoreValue> done) = 0;

  virtual void Acquire(const std::string& name, const std::string& holder,
                       Duration ttl, Callback<StoreLease> done) = 0;
  // Extends the lease by its TTL from now. Fails with kConflict if it is lost.
  virtual void Renew(const StoreLease& lease, Callback<StoreLease> done) = 0;
  virtual void Release(const StoreLease& lease, Callback<bool> done) = 0;

  virtual void ListVms(Callback<std::vector<PlatformVm>> done) = 0;
};

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::StoreErrc> : std::true_type {};
