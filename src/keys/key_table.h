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
  Digest digest;                    // of the key, for Recheck
};

// The keys of one configuration, stored as digests only. Immutable.
class KeyTable {
 public:
  KeyTable() = default;
  explicit KeyTable(const Config& config);

  // Finds the workspace of a key. The time taken reveals nothing about the
  // digests in the table: the search uses a hash with a secret of this table,
  // and the digest found is compared in constant time.
  KeyLookup Lookup(std::string_view key, const WithdrawalSet& withdrawn) const;

  // Same for a known digest. Used for requests that leave a queue, and after a
  // change of the configuration.
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
