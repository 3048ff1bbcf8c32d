#include "membership/link_plan.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "base/hash.h"

namespace rwf {
namespace {

// Symmetric in its arguments, so that two VMs tend to select each other. This
// keeps the number of links of a VM close to the number it selects.
uint64_t PairScore(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> pair = {std::min(a, b), std::max(a, b)};
  std::array<char, sizeof(pair)> bytes{};
  std::memcpy(bytes.data(), pair.data(), sizeof(pair));
  return Hash64({bytes.data(), bytes.size()});
}

void KeepHighest(std::vector<std::pair<uint64_t, size_t>>* scored, size_t n) {
  if (scored->size() <= n) return;
  std::nth_element(scored->begin(), scored->begin() + n, scored->end(),
                   std::greater<>());
  scored->resize(n);
}

}  // namespace

LinkPlan::LinkPlan(std::vector<std::pair<std::string, std::string>> vms)
    : vms_(std::move(vms)) {
  hashes_.reserve(vms_.size());
  for (const auto& [vm, zone] : vms_) hashes_.push_back(Hash64(vm));
}

std::vector<std::string> LinkPlan::PeersOf(const std::string& vm) const {
  const auto it = std::find_if(vms_.begin(), vms_.end(),
                               [&](const auto& x) { return x.first == vm; });
  if (it == vms_.end() || vms_.size() < 2) return {};
  const size_t self = it - vms_.begin();
  std::vector<std::pair<uint64_t, size_t>> in_zone;
  std::vector<std::pair<uint64_t, size_t>> other_zones;
  for (size_t n = 0; n < vms_.size(); ++n) {
    if (n == self) continue;
    auto& group = vms_[n].second == it->second ? in_zone : other_zones;
    group.emplace_back(PairScore(hashes_[self], hashes_[n]), n);
  }
  if (vms_.size() - 1 > kMaxSameZoneLinks + kMaxOtherZoneLinks) {
    KeepHighest(&in_zone, kMaxSameZoneLinks);
    KeepHighest(&other_zones, kMaxOtherZoneLinks);
  }
  std::vector<std::string> out = {vms_[(self + 1) % vms_.size()].first};
  for (const auto& [score, n] : in_zone) out.push_back(vms_[n].first);
  for (const auto& [score, n] : other_zones) out.push_back(vms_[n].first);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

bool LinkPlan::AreLinked(const std::string& a, const std::string& b) const {
  const auto chooses = [&](const std::string& x, const std::string& y) {
    const auto peers = PeersOf(x);
    return std::binary_search(peers.begin(), peers.end(), y);
  };
  return chooses(a, b) || chooses(b, a);
}

}  // namespace rwf
