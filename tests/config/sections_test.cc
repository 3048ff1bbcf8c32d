#include "config/sections.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

#include "config/config_error.h"
#include "config/parser.h"
#include "config/sample.h"

namespace rwf {
namespace {

Config ParsedSample() {
  const auto config = ParseConfig(SampleConfig().dump(), "sample");
  REQUIRE(config);
  return **config;
}

// The sample with `n_blocks` client blocks, by default the design target.
Config LargeConfig(uint32_t n_blocks = 360'000) {
  Config config = ParsedSample();
  config.client_blocks.clear();
  for (uint32_t i = 0; i < n_blocks; ++i)
    config.client_blocks.push_back(
        {0x0a000000 + (i << 4), 28, i % 2 == 0 ? "z1" : "z2"});
  return config;
}

TextsByDigest TextsOf(const std::vector<Section>& sections) {
  TextsByDigest out;
  for (const Section& it : sections) out[it.digest] = it.text;
  return out;
}

std::vector<Section> Split(const Config& config) {
  auto sections = SplitIntoSections(config);
  REQUIRE(sections);
  return std::move(*sections);
}

TEST_CASE(
    "AssembleConfig, all sections, gives the configuration that was split") {
  const Config config = ParsedSample();
  const auto sections = Split(config);
  const SectionIndex index = MakeSectionIndex(config.generation, sections);
  const auto assembled = AssembleConfig(index, TextsOf(sections));
  REQUIRE_MESSAGE(assembled, assembled.error().message);
  CHECK(**assembled == config);
  CHECK(SectionIndexOf(config)->digest == index.digest);
}

// Guards against an incomplete, corrupt or unrelated copy that replaces a valid
// one.
TEST_CASE("AssembleConfig, invalid copy, is refused with the reason") {
  const Config config = ParsedSample();
  const auto sections = Split(config);
  const SectionIndex index = MakeSectionIndex(7, sections);
  const TextsByDigest texts = TextsOf(sections);
  const auto code_of = [](const SectionIndex& m, const TextsByDigest& t) {
    const auto out = AssembleConfig(m, t);
    REQUIRE(!out);
    return out.error().code;
  };
  for (const Section& section : sections) {
    TextsByDigest damaged = texts;
    damaged[section.digest] += " ";
    CHECK(code_of(index, damaged) == ConfigErrc::kDigestMismatch);
    damaged.erase(section.digest);
    CHECK(code_of(index, damaged) == ConfigErrc::kMissingSection);
  }
  SectionIndex other = index;
  other.generation = 8;  // A digest covers the generation.
  CHECK(code_of(other, texts) == ConfigErrc::kDigestMismatch);

  // Correct digests of invalid contents.
  const auto with = [&](const std::string& name, const std::string& text) {
    SectionIndex m = index;
    TextsByDigest t = texts;
    m.sections[name] = Sha256(text);
    m.digest = IndexDigest(m.generation, m.sections);
    t[Sha256(text)] = text;
    return code_of(m, t);
  };
  CHECK(with("zones", "[]") == ConfigErrc::kInvalid);
  CHECK(with("zones", "[") == ConfigErrc::kInvalid);
  CHECK(with("limits", R"({"newer_setting":1})") == ConfigErrc::kInvalid);
  CHECK(with("newer_section", "[]") == ConfigErrc::kInvalid);
  CHECK(with("client_blocks.0x", "[]") == ConfigErrc::kInvalid);
  SectionIndex incomplete_index = index;
  incomplete_index.sections.erase("moves");
  incomplete_index.digest = IndexDigest(7, incomplete_index.sections);
  CHECK(code_of(incomplete_index, texts) == ConfigErrc::kMissingSection);
}

TEST_CASE(
    "SplitIntoSections, 360,000 client blocks, gives sections below 1 MB") {
  const Config config = LargeConfig();
  const auto sections = Split(config);
  size_t n_chunks = 0;
  for (const Section& it : sections) {
    CHECK(it.text.size() < kMaxSectionBytes);
    if (it.name.rfind("client_blocks", 0) == 0) ++n_chunks;
  }
  CHECK(n_chunks == 128);
  const SectionIndex index = MakeSectionIndex(7, sections);
  const auto assembled = AssembleConfig(index, TextsOf(sections));
  REQUIRE_MESSAGE(assembled, assembled.error().message);
  CHECK(**assembled == config);
}

// Guards against transfers that grow with the total number of blocks.
TEST_CASE(
    "MissingSections, one block changed, gives one chunk that assembles") {
  const Config before = LargeConfig(30'000);
  const SectionIndex base = MakeSectionIndex(7, Split(before));
  const auto edits = {
      +[](Config* c) { c->client_blocks[1000].zone = "z2"; },
      +[](Config* c) { c->client_blocks.erase(c->client_blocks.begin() + 9); },
      +[](Config* c) {
        c->client_blocks.push_back({0xc0a80000, 16, "z1"});
      },
  };
  for (const auto& edit : edits) {
    Config after = before;
    after.generation = 8;
    edit(&after);
    const auto sections = Split(after);
    const SectionIndex index = MakeSectionIndex(8, sections);
    const auto missing = MissingSections(index, &base);
    REQUIRE(missing.size() == 1);
    const TextsByDigest texts = {{missing[0], TextsOf(sections)[missing[0]]}};
    const auto assembled = AssembleConfig(index, texts, &base, &before);
    REQUIRE_MESSAGE(assembled, assembled.error().message);
    CHECK(**assembled == after);
    CHECK(AssembleConfig(index, texts).error().code ==
          ConfigErrc::kMissingSection);
  }
}

TEST_CASE("AssembleConfig, changed sections other than blocks, replaces them") {
  const Config before = LargeConfig(10'000);
  const SectionIndex base = MakeSectionIndex(7, Split(before));
  Config after = before;
  after.generation = 8;
  after.drains.clear();
  after.workspaces[0].rate = 99;
  const auto sections = Split(after);
  const SectionIndex index = MakeSectionIndex(8, sections);
  CHECK(MissingSections(index, &base).size() == 2);
  const auto assembled =
      AssembleConfig(index, TextsOf(sections), &base, &before);
  REQUIRE_MESSAGE(assembled, assembled.error().message);
  CHECK(**assembled == after);
}

TEST_CASE("SplitIntoSections, chunk that exceeds its limit, is split in two") {
  const auto chunks = [](const Config& config) {
    std::vector<std::string> out;
    for (const Section& it : Split(config)) {
      if (it.name.rfind("client_blocks", 0) == 0) out.push_back(it.name);
    }
    return out;
  };
  using Names = std::vector<std::string>;
  CHECK(chunks(LargeConfig(0)) == Names{"client_blocks"});
  CHECK(chunks(LargeConfig(4096)) == Names{"client_blocks"});
  CHECK(chunks(LargeConfig(4097)) ==
        Names{"client_blocks.0", "client_blocks.1"});
}

// Guards against blocks that are lost or wrongly retained when chunks split or
// merge.
TEST_CASE("AssembleConfig, chunks that split and merge, equals the original") {
  Config before = LargeConfig(4090);
  SectionIndex base = MakeSectionIndex(1, Split(before));
  std::mt19937 random(7);
  for (uint64_t generation = 2; generation < 30; ++generation) {
    // Alternately above and below the limit of one chunk.
    Config after = LargeConfig(
        4090 + (generation % 2 == 0 ? random() % 20 : random() % 5));
    after.generation = generation;
    after.client_blocks[random() % 4000].zone = "z1";
    const auto sections = Split(after);
    const SectionIndex index = MakeSectionIndex(generation, sections);
    TextsByDigest texts = TextsOf(sections);
    std::erase_if(texts, [&](const auto& it) {
      const auto missing = MissingSections(index, &base);
      return std::find(missing.begin(), missing.end(), it.first) ==
             missing.end();
    });
    const auto assembled = AssembleConfig(index, texts, &base, &before);
    REQUIRE_MESSAGE(assembled, assembled.error().message);
    REQUIRE(**assembled == after);
    before = after;
    base = index;
  }
}

TEST_CASE("SplitIntoSections, section above the store's limit, is refused") {
  Config config = ParsedSample();
  for (int i = 0; i < 20'000; ++i)
    config.withdrawn_keys.push_back(Sha256(std::to_string(i)));
  const auto sections = SplitIntoSections(config);
  REQUIRE(!sections);
  CHECK(sections.error().code == ConfigErrc::kTooLarge);
}

}  // namespace
}  // namespace rwf
