#include "config/diff.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "config/parser.h"
#include "config/sample.h"

namespace rwf {
namespace {

Config ParsedSample() {
  const auto config = ParseConfig(SampleConfig().dump(), "sample");
  REQUIRE(config);
  return **config;
}

TEST_CASE("DiffConfigs, equal configurations, has no entries") {
  Config after = ParsedSample();
  after.generation = 99;
  CHECK(DiffConfigs(ParsedSample(), after).empty());
}

// Guards against changes that a diff does not show.
TEST_CASE("DiffConfigs, one change, gives one entry with element names") {
  struct Row {
    void (*edit)(Config*);
    DiffEntry entry;
  };
  using enum DiffKind;
  const Row rows[] = {
      {[](Config* c) { c->site = "x"; }, {"/site", kChanged, "sample", "x"}},
      {[](Config* c) { c->workspaces[1].rate = 6; },
       {"/workspaces/w2/rate", kChanged, 5.0, 6.0}},
      {[](Config* c) { c->services[0].upstreams[2].slots = 9; },
       {"/services/desk/upstreams/u3/slots", kChanged, 4, 9}},
      {[](Config* c) { c->services[0].routes[0].open = true; },
       {"/services/desk/routes/GET /status/open", kChanged, false, true}},
      {[](Config* c) { c->drains.clear(); },
       {"/drains/upstream u3",
        kRemoved,
        {{"id", "u3"}, {"kind", "upstream"}},
        nullptr}},
      {[](Config* c) { c->regions.push_back({"r3"}); },
       {"/regions/r3", kAdded, nullptr, {{"name", "r3"}}}},
      {[](Config* c) { c->client_blocks[0].zone = "z2"; },
       {"/client_blocks/10.0.0.0/8/zone", kChanged, "z1", "z2"}},
      {[](Config* c) { c->client_blocks.pop_back(); },
       {"/client_blocks/10.1.0.0/16", kRemoved, "z2", nullptr}},
      {[](Config* c) {
         c->client_blocks.push_back({0x0b000000, 8, "z1"});
       },
       {"/client_blocks/11.0.0.0/8", kAdded, nullptr, "z1"}},
      {[](Config* c) { c->withdrawn_keys.clear(); },
       {"/withdrawn_keys/" + std::string(62, '0') + "a2", kRemoved,
        std::string(62, '0') + "a2", nullptr}},
      {[](Config* c) { std::swap(c->entry_vms[0], c->entry_vms[1]); },
       {"/entry_vms", kChanged, {"vm1", "vm2", "vm3"}, {"vm2", "vm1", "vm3"}}},
      {[](Config* c) { c->limits.lookup_ttl = std::chrono::seconds(1); },
       {"/limits/lookup_ttl_ms", kChanged, 4000, 1000}},
  };
  for (const Row& row : rows) {
    Config after = ParsedSample();
    row.edit(&after);
    const auto entries = DiffConfigs(ParsedSample(), after);
    REQUIRE_MESSAGE(entries.size() == 1, row.entry.path);
    CHECK_MESSAGE(entries[0] == row.entry, ToJson(entries[0]).dump());
  }
}

TEST_CASE("DiffConfigs, VM inserted into the ring, shows the new order") {
  Config after = ParsedSample();
  EntryVm vm = after.entry_vms[0];
  vm.id = "vm9";
  after.entry_vms.insert(after.entry_vms.begin() + 1, vm);
  const auto entries = DiffConfigs(ParsedSample(), after);
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].path == "/entry_vms/vm9");
  CHECK(entries[1].after == Json({"vm1", "vm9", "vm2", "vm3"}));
}

}  // namespace
}  // namespace rwf
