#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "config/config.h"
#include "keys/withdrawal_set.h"

namespace rwf {

enum class KeyVerdict { kValid, kUnknown, kWithdrawn };

struct KeyLookup {
  KeyVerdict verdict = KeyVerdict::kUnknown;
  uint32_t workspace = UINT32_MAX;  // index in Config::workspaces if kValid
  Digest digest;                    // of the key text, for a later Recheck
};

// The keys of one configuration, as digests only. Immutable.
class KeyTable {
 public:
  KeyTable() = default;
  explicit KeyTable(const Config& config);

  // Which workspace a key belongs to. The time taken depends on the table, not
  // on how much of a key's digest matches.
  KeyLookup Lookup(std::string_view key, const WithdrawalSet& withdrawn) const;

  // The same for a key digested before; for requests that leave a queue, and
  // after a change of configuration.
  KeyLookup Recheck(const Digest& digest, const WithdrawalSet& withdrawn) const;

  size_t size() const { return digests_.size(); }

 private:
  // Sorted by digest; parallel arrays keep the digests dense for the search.
  std::vector<Digest> digests_;
  std::vector<uint32_t> workspaces_;
};

}  // namespace rwf
