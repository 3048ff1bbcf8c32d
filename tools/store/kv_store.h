#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// Values and leases of the store double. The versions of a key start at 1;
// version 0 means that the key does not exist.
class KvStore {
 public:
  // Old versions stay readable this long, for stale reads.
  static constexpr Duration kHistoryRetention = std::chrono::minutes(2);

  struct Value {
    int64_t version = 0;
    std::string text;
  };
  struct ListEntry {
    std::string key;
    Value value;
  };
  struct Lease {
    std::string holder;
    TimePoint expires_at{};
    int64_t fence = 0;  // increases with each new holder
  };

  // Returns the value as of `at`; version 0 if there was none.
  Value Get(const std::string& key, TimePoint at) const;

  // Returns up to `limit` keys that begin with `prefix` and sort after `after`,
  // as of `at`.
  std::vector<ListEntry> List(const std::string& prefix,
                              const std::string& after, size_t limit,
                              TimePoint at) const;

  // Writes `text` if the current version is `expected`.
  struct PutResult {
    bool is_written = false;
    int64_t version = 0;  // after the call
  };
  PutResult Put(const std::string& key, int64_t expected, std::string text,
                TimePoint now);

  // Each returns whether `holder` has (or had) the lease; `lease` receives the
  // state after the call.
  bool Acquire(const std::string& name, const std::string& holder, Duration ttl,
               TimePoint now, Lease* lease);
  bool Renew(const std::string& name, const std::string& holder, Duration ttl,
             TimePoint now, Lease* lease);
  bool Release(const std::string& name, const std::string& holder,
               TimePoint now, Lease* lease);

 private:
  struct Version {
    TimePoint written_at;
    Value value;
  };

  std::map<std::string, std::deque<Version>> values_;
  std::map<std::string, Lease> leases_;
};

}  // namespace rwf
