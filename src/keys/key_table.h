#pragma once

#include <cstdint>
#include <string>
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

  // Which workspace a key belongs to. The time taken tells nothing about
  // digests in the table: the search is by a hash with a secret of this table,
  // and the digest found is compared in constant time.
  KeyLookup Lookup(std::string_view key, const WithdrawalSet& withdrawn) const;

  // The same for a key digested before; for requests that leave a queue, and
  // after a change of configuration.
  KeyLookup Recheck(const Digest& digest, const WithdrawalSet& withdrawn) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Digest blinded;
    Digest digest;
    uint32_t workspace = 0;
  };

  Digest Blind(const Digest& digest) const;

  std::string secret_;
  std::vector<Entry> entries_;  // sorted by blinded digest
};

}  // namespace rwf
