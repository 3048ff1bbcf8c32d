#include "membership/link_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace rwf {
namespace {

LinkPlan Plan(size_t n, size_t zones, const std::set<size_t>& without = {}) {
  std::vector<std::pair<std::string, std::string>> vms;
  for (size_t it = 0; it < n; ++it) {
    if (without.contains(it)) continue;
    vms.emplace_back("vm" + std::to_string(it),
                     "zone" + std::to_string(it % zones));
  }
  return LinkPlan(vms);
}

// Guards against a link graph that is not connected, so that gossip does not
// reach all VMs.
TEST_CASE("LinkPlan, 680 VMs in 22 zones, is connected and bounded") {
  const LinkPlan plan = Plan(680, 22);
  std::map<std::string, std::set<std::string>> graph;
  for (size_t n = 0; n < 680; ++n) {
    const std::string vm = "vm" + std::to_string(n);
    const auto peers = plan.PeersOf(vm);
    CHECK(peers.size() <=
          LinkPlan::kMaxSameZoneLinks + LinkPlan::kMaxOtherZoneLinks + 1);
    for (const std::string& peer : peers) {
      CHECK(peer != vm);
      graph[vm].insert(peer);
      graph[peer].insert(vm);
    }
  }
  std::set<std::string> seen = {"vm0"};
  std::vector<std::string> next = {"vm0"};
  while (!next.empty()) {
    const std::string vm = next.back();
    next.pop_back();
    for (const std::string& peer : graph[vm]) {
      if (seen.insert(peer).second) next.push_back(peer);
    }
  }
  CHECK(seen.size() == 680);
  size_t links = 0;
  size_t max_links = 0;
  for (const auto& [vm, peers] : graph) {
    links += peers.size();
    max_links = std::max(max_links, peers.size());
  }
  MESSAGE("links per VM: mean " << links / 680.0 << ", max " << max_links);
  CHECK(max_links <= 40);
}

TEST_CASE("LinkPlan, 7 VMs, is a full mesh") {
  const LinkPlan plan = Plan(7, 6);
  for (size_t n = 0; n < 7; ++n) {
    CHECK(plan.PeersOf("vm" + std::to_string(n)).size() == 6);
  }
}

TEST_CASE("LinkPlan, VM removed, changes few links") {
  const LinkPlan before = Plan(680, 22);
  const LinkPlan after = Plan(680, 22, {100});
  size_t changed = 0;
  for (size_t n = 0; n < 680; ++n) {
    const std::string vm = "vm" + std::to_string(n);
    changed += n != 100 && before.PeersOf(vm) != after.PeersOf(vm);
  }
  CHECK(changed <= 30);
}

}  // namespace
}  // namespace rwf
