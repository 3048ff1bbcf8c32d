#include "steering/client_table.h"

#include <doctest/doctest.h>

#include <pcg_random.hpp>

namespace rwf {
namespace {

ClientTable::Match FindByScan(const std::vector<ClientBlock>& blocks,
                              const std::vector<Zone>& zones,
                              uint32_t address) {
  ClientTable::Match best{address & 0xffffff00u, 24, false, 0};
  for (const ClientBlock& block : blocks) {
    const uint32_t mask = block.prefix_length == 0
                              ? 0
                              : ~uint32_t{0} << (32 - block.prefix_length);
    if ((address & mask) != block.address) continue;
    if (best.has_zone && block.prefix_length < best.prefix_length) continue;
    uint16_t zone = 0;
    while (zones[zone].name != block.zone) ++zone;
    best = {block.address, block.prefix_length, true, zone};
  }
  return best;
}

TEST_CASE("ClientTable, random nested blocks, agrees with a linear scan") {
  const std::vector<Zone> zones = {{"a", "r"}, {"b", "r"}, {"c", "s"}};
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    pcg32 rng(seed);
    std::vector<ClientBlock> blocks;
    for (int i = 0; i < 300; ++i) {
      // Few distinct high bits, so that blocks nest and occur repeatedly.
      const auto length = static_cast<uint8_t>(rng(33));
      const uint32_t mask = length == 0 ? 0 : ~uint32_t{0} << (32 - length);
      const uint32_t address = (rng(4) << 30 | rng(8) << 20 | rng(16) << 4);
      blocks.push_back({address & mask, length, zones[rng(3)].name});
      if (seed % 2 == 0 && length < 8) blocks.pop_back();
    }
    const ClientTable table(blocks, zones);
    for (int i = 0; i < 2000; ++i) {
      uint32_t address = rng();
      if (i % 2 == 0) address = blocks[rng(blocks.size())].address + rng(20);
      REQUIRE(table.Find(address) == FindByScan(blocks, zones, address));
    }
  }
}

TEST_CASE("ClientTable, blocks of unknown zones only, matches no zone") {
  const ClientTable table({{0x0a000000, 8, "nowhere"}}, {{"a", "r"}});
  CHECK(table.Find(0x0a000001) == ClientTable::Match{0x0a000000, 24, false, 0});
}

TEST_CASE("ParseIpv4, malformed text, is rejected") {
  uint32_t out = 0;
  CHECK(ParseIpv4("10.1.2.3", &out));
  CHECK(out == 0x0a010203);
  for (const char* text : {"", "1.2.3", "1.2.3.4.5", "1.2.3.256", "1..3.4",
                           "1.2.3.4 ", "a.b.c.d", "1.2.3.0004", "-1.2.3.4"}) {
    CAPTURE(std::string(text));
    CHECK_FALSE(ParseIpv4(text, &out));
  }
}

}  // namespace
}  // namespace rwf
