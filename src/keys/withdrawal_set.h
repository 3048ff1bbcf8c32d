#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "config/config.h"

namespace rwf {

// Digests of withdrawn keys. It only grows: no older configuration copy and no
// late message brings a withdrawn key back.
class WithdrawalSet {
 public:
  // Adds a digest; true if it is new.
  bool Add(const Digest& digest);

  // Adds all; returns those that were new here, to be flooded to other peers.
  std::vector<Digest> Merge(std::span<const Digest> digests);

  // Adds the withdrawn_keys of a configuration and returns those new here.
  std::vector<Digest> MergeConfig(const Config& config);

  bool Contains(const Digest& digest) const;

  // Equal for equal sets, whatever the order of insertion. Zero when empty.
  const Digest& set_digest() const { return set_digest_; }

  // All digests, sorted.
  std::vector<Digest> All() const;

  // Those of this set that `other` lacks, sorted.
  std::vector<Digest> MissingFrom(std::span<const Digest> other) const;

  size_t size() const { return digests_.size(); }

 private:
  std::set<Digest> digests_;
  Digest set_digest_;
};

// Whether keys still count on `route`, given the time since this VM was last in
// contact with the store, or with a peer that itself was.
bool KeysAreFresh(const Route& route, Duration contact_age);

// Age of contact that a VM may claim after a peer reported its own: never
// younger than the report plus the time it has been here.
Duration StoreContactAge(TimePoint last_contact, TimePoint peer_report_received,
                         Duration peer_reported_age, TimePoint now);

}  // namespace rwf
