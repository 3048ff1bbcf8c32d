#include "keys/withdrawal_set.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace rwf {
namespace {

// Margin added to the contact age that a peer reports. Peers may pass on the
// contact of others, and the reported age was measured on the clock of the peer
// and grows while the message is in transit.
constexpr Duration kReportDelayMargin = std::chrono::seconds(1);

}  // namespace

bool WithdrawalSet::Add(const Digest& digest) {
  if (!digests_.insert(digest).second) return false;
  // The set digest is the sum of the member digests, which does not depend on
  // their order. Members are hashed with a prefix first, so that the sum
  // reveals nothing about key digests.
  const std::string_view bytes(
      reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size());
  const Digest member = Sha256(std::string("withdrawn:") + std::string(bytes));
  unsigned carry = 0;
  for (size_t i = 0; i < member.bytes.size(); ++i) {
    const unsigned sum = set_digest_.bytes[i] + member.bytes[i] + carry;
    set_digest_.bytes[i] = static_cast<uint8_t>(sum & 0xff);
    carry = sum >> 8;
  }
  return true;
}

std::vector<Digest> WithdrawalSet::Merge(std::span<const Digest> digests) {
  std::vector<Digest> added;
  for (const Digest& digest : digests) {
    if (Add(digest)) added.push_back(digest);
  }
  return added;
}

std::vector<Digest> WithdrawalSet::MergeConfig(const Config& config) {
  return Merge(config.withdrawn_keys);
}

bool WithdrawalSet::Contains(const Digest& digest) const {
  return digests_.contains(digest);
}

std::vector<Digest> WithdrawalSet::All() const {
  return {digests_.begin(), digests_.end()};
}

std::vector<Digest> WithdrawalSet::MissingFrom(
    std::span<const Digest> other) const {
  const std::set<Digest> theirs(other.begin(), other.end());
  std::vector<Digest> out;
  std::set_difference(digests_.begin(), digests_.end(), theirs.begin(),
                      theirs.end(), std::back_inserter(out));
  return out;
}

bool KeysAreFresh(const Route& route, Duration contact_age) {
  return route.open || contact_age <= route.key_staleness_limit;
}

Duration StoreContactAge(TimePoint last_contact, TimePoint peer_report_received,
                         Duration peer_reported_age, TimePoint now) {
  const Duration own = now - last_contact;
  const Duration by_peer =
      now - peer_report_received + peer_reported_age + kReportDelayMargin;
  return std::min(own, by_peer);
}

}  // namespace rwf
