#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace rwf {

// Failures of a store call. kUnavailable, kThrottled and kTooLarge say that the
// call had no effect; kUnknownOutcome says that it may have had, or may still
// have. kConflict: a lease is held by another holder or token. kBadResponse:
// the answer could not be understood, so the outcome of a write is unknown as
// well.
enum class StoreErrc {
  kUnavailable = 1,
  kConflict,
  kUnknownOutcome,
  kTooLarge,
  kThrottled,
  kBadResponse,
  kHistoryGone,  // the changes asked for are no longer kept
  kNotHeld       // there is no such lease any more
};
std::error_code make_error_code(StoreErrc code);

// True when a write that failed with `error` may nevertheless take effect.
bool IsOutcomeUnknown(const Error& error);

// A value and its version. Version 0 and an empty value: there is no such key.
// Versions of one key only grow, also over deletion and re-creation.
struct StoreValue {
  std::string value;
  uint64_t version = 0;

  friend bool operator==(const StoreValue&, const StoreValue&) = default;
};

// How a compare-and-swap that was answered ended. `version` is the new version
// when applied, else the current version that differs from the expected one.
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

// One page of a listing in key order. With `more`, the next page begins after
// the last key.
struct StorePage {
  std::vector<StoreEntry> entries;
  bool has_more = false;

  friend bool operator==(const StorePage&, const StorePage&) = default;
};

// A lease that is held. `token` grows with each new holder.
struct StoreLease {
  std::string name;
  std::string holder;
  uint64_t token = 0;
  Duration ttl{};

  friend bool operator==(const StoreLease&, const StoreLease&) = default;
};

// A VM in the platform's list, which lags behind the truth.
struct PlatformVm {
  std::string id;
  bool leaving = false;

  friend bool operator==(const PlatformVm&, const PlatformVm&) = default;
};

// The platform's key-value service. Every call returns at once; its callback
// runs exactly once, later, never within the call, and gets the time at which
// it runs. An implementation ends a call that stays unanswered for kCallTimeout
// (a watch: its timeout plus kCallTimeout) with kUnavailable for reads and
// kUnknownOutcome for writes. A write that ended with kUnknownOutcome may still
// take effect later.
class Store {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T> result, TimePoint now)>;

  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr size_t kMaxValueBytes = 1'000'000;

  virtual ~Store() = default;

  virtual void Get(const std::string& key, Callback<StoreValue> done) = 0;

  // Writes `value` if the key has `expected_version` (0: does not exist). The
  // operation id is kept with the write for diagnosis; a repeated swap is not
  // recognised by it and ends in a conflict.
  virtual void CompareAndSwap(const std::string& key, uint64_t expected_version,
                              const std::string& value,
                              const std::string& operation_id,
                              Callback<SwapOutcome> done) = 0;

  // Keys that start with `prefix` and sort after `after`, at most `limit`.
  virtual void List(const std::string& prefix, const std::string& after,
                    size_t limit, Callback<StorePage> done) = 0;

  // Ends once the version of the key differs from `after_version`, or after
  // `timeout` with the current value.
  virtual void Watch(const std::string& key, uint64_t after_version,
                     Duration timeout, Callback<StoreValue> done) = 0;

  virtual void Acquire(const std::string& name, const std::string& holder,
                       Duration ttl, Callback<StoreLease> done) = 0;
  // Extends the lease by its ttl from now; kConflict once it was lost.
  virtual void Renew(const StoreLease& lease, Callback<StoreLease> done) = 0;
  virtual void Release(const StoreLease& lease, Callback<bool> done) = 0;

  virtual void ListVms(Callback<std::vector<PlatformVm>> done) = 0;
};

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::StoreErrc> : std::true_type {};
