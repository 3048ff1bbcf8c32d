#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "config/config.h"

namespace rwf {

// Grow-only set of digests of withdrawn keys: an older copy of the
// configuration or a late message cannot restore a withdrawn key.
class WithdrawalSet {
 public:
  // Adds a digest; returns true if it is new.
  bool Add(const Digest& digest);

  // Adds all; returns the new ones, which must be sent on to the other peers.
  std::vector<Digest> Merge(std::span<const Digest> digests);

  // Adds the withdrawn_keys of a configuration; returns the new ones.
  std::vector<Digest> MergeConfig(const Config& config);

  bool Contains(const Digest& digest) const;

  // Digest of the set, independent of the order of insertion. Zero if empty.
  const Digest& set_digest() const { return set_digest_; }

  // All digests, sorted.
  std::vector<Digest> All() const;

  // Digests that `other` lacks, sorted.
  std::vector<Digest> MissingFrom(std::span<const Digest> other) const;

  size_t size() const { return digests_.size(); }

 private:
  std::set<Digest> digests_;
  Digest set_digest_;
};

// Whether keys are accepted on `route`, given the time since this VM last had
// contact with the store, directly or through a peer that had.
bool KeysAreFresh(const Route& route, Duration contact_age);

// Age of the last contact with the store: that of this VM, or, if lower, the
// age a peer reported plus the time since the report arrived and a margin for
// its transfer.
Duration StoreContactAge(TimePoint last_contact, TimePoint peer_report_received,
                         Duration peer_reported_age, TimePoint now);

}  // namespace rwf
