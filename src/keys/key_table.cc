#include "keys/key_table.h"

#include <algorithm>
namespace rwf {

KeyTable::KeyTable(const Config& config) : secret_(RandomBytes(16)) {
  for (uint32_t i = 0; i < config.workspaces.size(); ++i) {
    for (const Digest& digest : config.workspaces[i].keys) {
      entries_.push_back({Blind(digest), digest, i});
    }
  }
  std::sort(
      entries_.begin(), entries_.end(),
      [](const Entry& a, const Entry& b) { return a.blinded < b.blinded; });
}

Digest KeyTable::Blind(const Digest& digest) const {
  std::string text = secret_;
  text.append(reinterpret_cast<const char*>(digest.bytes.data()),
              digest.bytes.size());
  return Sha256(text);
}

KeyLookup KeyTable::Lookup(std::string_view key,
                           const WithdrawalSet& withdrawn) const {
  return Recheck(Sha256(key), withdrawn);
}

KeyLookup KeyTable::Recheck(const Digest& digest,
                            const WithdrawalSet& withdrawn) const {
  KeyLookup out;
  out.digest = digest;
  const auto it =
      std::lower_bound(entries_.begin(), entries_.end(), Blind(digest),
                       [](const Entry& entry, const Digest& key) {
                         return entry.blinded < key;
                       });
  const bool found =
      it != entries_.end() && ConstantTimeEqual(it->digest, digest);
  if (withdrawn.Contains(digest)) {
    out.verdict = KeyVerdict::kWithdrawn;
    return out;
  }
  if (!found) return out;
  out.verdict = KeyVerdict::kValid;
  out.workspace = it->workspace;
  return out;
}

}  // namespace rwf
