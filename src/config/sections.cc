#include "config/sections.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/json_reader.h"
#include "config/codec.h"
#include "config/config_error.h"
#include "config/parser.h"
#include "config/validator.h"

namespace rwf {
namespace {

constexpr std::string_view kClientBlocks = "client_blocks";
constexpr size_t kMaxChunkBits = 32;

// Decides the chunk of a block. Its bits are used from the highest one on.
uint64_t BlockHash(const ClientBlock& block) {
  const std::array<char, 5> bytes = {
      static_cast<char>(block.address >> 24),
      static_cast<char>(block.address >> 16),
      static_cast<char>(block.address >> 8),
      static_cast<char>(block.address),
      static_cast<char>(block.prefix_length),
  };
  return Hash64({bytes.data(), bytes.size()});
}

// The hashes that start with the bits of a chunk's name.
struct HashRange {
  uint64_t first = 0;
  uint64_t mask = 0;

  bool Contains(uint64_t hash) const { return (hash & mask) == first; }
};

// Nothing when `name` is not that of a chunk.
std::optional<HashRange> RangeOfChunk(std::string_view name) {
  if (!name.starts_with(kClientBlocks)) return std::nullopt;
  name.remove_prefix(kClientBlocks.size());
  if (name.empty()) return HashRange{};
  if (name.front() != '.') return std::nullopt;
  name.remove_prefix(1);
  if (name.empty() || name.size() > kMaxChunkBits) return std::nullopt;
  HashRange out;
  for (size_t i = 0; i < name.size(); ++i) {
    if (name[i] != '0' && name[i] != '1') return std::nullopt;
    const uint64_t bit = uint64_t{1} << (63 - i);
    out.mask |= bit;
    if (name[i] == '1') out.first |= bit;
  }
  return out;
}

using HashedBlock = std::pair<uint64_t, const ClientBlock*>;
using HashedIterator = std::vector<HashedBlock>::iterator;

// One object per block, as WriteClientBlock() and dump() would write it; names
// of zones need no escapes.
std::string WriteChunk(HashedIterator begin, HashedIterator end) {
  std::sort(begin, end, [](const HashedBlock& a, const HashedBlock& b) {
    return *a.second < *b.second;
  });
  std::string out = "[";
  for (auto it = begin; it != end; ++it) {
    fmt::format_to(std::back_inserter(out), R"({}{{"block":"{}","zone":"{}"}})",
                   it == begin ? "" : ",", FormatBlock(*it->second),
                   it->second->zone);
  }
  out += "]";
  return out;
}

// Appends the chunks of the blocks in [begin, end), which are sorted by hash
// and share the bits of `bits`.
void CutChunks(const std::string& bits, HashedIterator begin,
               HashedIterator end, std::vector<Section>* out) {
  const auto n = static_cast<size_t>(end - begin);
  if (n > kMaxBlocksPerChunk && bits.size() < kMaxChunkBits) {
    const uint64_t bit = uint64_t{1} << (63 - bits.size());
    const auto middle = std::partition_point(
        begin, end,
        [&](const HashedBlock& it) { return (it.first & bit) == 0; });
    CutChunks(bits + "0", begin, middle, out);
    CutChunks(bits + "1", middle, end, out);
    return;
  }
  std::string name(kClientBlocks);
  if (!bits.empty()) name += "." + bits;
  out->push_back({std::move(name), WriteChunk(begin, end), {}});
}

// Reads one section or chunk into `config`.
void ReadSection(const std::string& name, const std::string& text,
                 Config* config, std::vector<JsonProblem>* problems) {
  const auto range = RangeOfChunk(name);
  const SectionCodec* codec =
      FindSectionCodec(range ? kClientBlocks : std::string_view(name));
  if (codec == nullptr) {
    problems->push_back({"/" + name, "is an unknown section"});
    return;
  }
  auto parsed = ParseJson(text, name);
  if (!parsed) {
    problems->push_back({"/" + name, parsed.error().message});
    return;
  }
  // Chunks add up to one list, so nothing is reset for them.
  if (!range) codec->reset(config);
  const size_t before = config->client_blocks.size();
  Json document = Json::object();
  document[codec->name] = std::move(*parsed);
  JsonReader reader(document, "", problems);
  codec->read(&reader, config);
  if (!range) return;
  for (size_t i = before; i < config->client_blocks.size(); ++i) {
    const ClientBlock& it = config->client_blocks[i];
    if (!range->Contains(BlockHash(it)))
      problems->push_back(
          {"/" + name, fmt::format("found {}, which belongs to another chunk",
                                   FormatBlock(it))});
  }
}

// Removes the blocks outside the chunks that are kept. Blocks stay sorted.
void KeepBlocks(const std::vector<HashRange>& kept, Config* config) {
  const auto bits = [](const HashRange& it) { return it.first; };
  // Chunks do not overlap: the one that may hold a hash is the last whose first
  // hash is not above it.
  std::vector<HashRange> sorted = kept;
  std::ranges::sort(sorted, {}, bits);
  std::erase_if(config->client_blocks, [&](const ClientBlock& block) {
    const uint64_t hash = BlockHash(block);
    const auto it = std::ranges::upper_bound(sorted, hash, {}, bits);
    return it == sorted.begin() || !std::prev(it)->Contains(hash);
  });
}

size_t ChunkCount(const SectionIndex& manifest) {
  return static_cast<size_t>(std::ranges::count_if(
      manifest.sections,
      [](const auto& it) { return RangeOfChunk(it.first).has_value(); }));
}

// The section names that a manifest must have, apart from chunks.
std::vector<std::string> MissingNames(const SectionIndex& manifest) {
  std::vector<std::string> out;
  for (const SectionCodec& it : SectionCodecs()) {
    if (it.name == kClientBlocks) continue;
    if (!manifest.sections.contains(it.name)) out.emplace_back(it.name);
  }
  if (ChunkCount(manifest) == 0) out.emplace_back(kClientBlocks);
  return out;
}

// The text of a section, checked against its digest.
Result<const std::string*> FindText(const std::string& name,
                                    const Digest& digest,
                                    const TextsByDigest& texts) {
  const auto it = texts.find(digest);
  if (it == texts.end())
    return Fail(ConfigErrc::kMissingSection,
                fmt::format("section {} ({}) is missing", name, ToHex(digest)));
  if (Sha256(it->second) != digest)
    return Fail(ConfigErrc::kDigestMismatch,
                fmt::format("the text of section {} has digest {}, expected {}",
                            name, ToHex(Sha256(it->second)), ToHex(digest)));
  return &it->second;
}

}  // namespace

Result<std::vector<Section>> CutSections(const Config& config) {
  std::vector<Section> out;
  for (const SectionCodec& it : SectionCodecs()) {
    if (it.name == kClientBlocks) continue;
    out.push_back({it.name, it.write(config).dump(), {}});
  }
  std::vector<HashedBlock> blocks;
  blocks.reserve(config.client_blocks.size());
  for (const ClientBlock& it : config.client_blocks)
    blocks.emplace_back(BlockHash(it), &it);
  std::sort(blocks.begin(), blocks.end(),
            [](const HashedBlock& a, const HashedBlock& b) {
              return a.first < b.first;
            });
  CutChunks("", blocks.begin(), blocks.end(), &out);
  for (Section& it : out) {
    if (it.text.size() > kMaxSectionBytes)
      return Fail(ConfigErrc::kTooLarge,
                  fmt::format("section {} has {} bytes, at most {} are allowed",
                              it.name, it.text.size(), kMaxSectionBytes));
    it.digest = Sha256(it.text);
  }
  return out;
}

Digest IndexDigest(uint64_t generation,
                   const std::map<std::string, Digest>& sections) {
  std::string text = fmt::format("{}\n", generation);
  for (const auto& [name, digest] : sections)
    text += fmt::format("{} {}\n", name, ToHex(digest));
  return Sha256(text);
}

SectionIndex MakeIndex(uint64_t generation,
                       const std::vector<Section>& sections) {
  SectionIndex out;
  out.generation = generation;
  for (const Section& it : sections) out.sections[it.name] = it.digest;
  out.digest = IndexDigest(generation, out.sections);
  return out;
}

Result<SectionIndex> IndexOf(const Config& config) {
  const auto sections = CutSections(config);
  if (!sections) return tl::unexpected<Error>(sections.error());
  return MakeIndex(config.generation, *sections);
}

Result<std::shared_ptr<const Config>> AssembleConfig(
    const SectionIndex& manifest, const TextsByDigest& texts,
    const SectionIndex* base_index, const Config* base) {
  assert((base_index == nullptr) == (base == nullptr));
  if (IndexDigest(manifest.generation, manifest.sections) != manifest.digest)
    return Fail(ConfigErrc::kDigestMismatch,
                "the digest of the manifest is not that of its sections");
  const auto missing = MissingNames(manifest);
  if (!missing.empty())
    return Fail(ConfigErrc::kMissingSection,
                fmt::format("the manifest has no section {}",
                            fmt::join(missing, ", ")));

  auto config = base == nullptr ? std::make_shared<Config>()
                                : std::make_shared<Config>(*base);
  config->generation = manifest.generation;
  std::vector<std::pair<std::string, const std::string*>> changed;
  std::vector<HashRange> kept;
  for (const auto& [name, digest] : manifest.sections) {
    if (base_index != nullptr) {
      const auto it = base_index->sections.find(name);
      if (it != base_index->sections.end() && it->second == digest) {
        if (const auto range = RangeOfChunk(name)) kept.push_back(*range);
        continue;
      }
    }
    const auto text = FindText(name, digest, texts);
    if (!text) return tl::unexpected<Error>(text.error());
    changed.emplace_back(name, *text);
  }
  if (base_index != nullptr && kept.size() != ChunkCount(*base_index))
    KeepBlocks(kept, config.get());
  const auto n_kept = static_cast<ptrdiff_t>(config->client_blocks.size());

  std::vector<JsonProblem> problems;
  for (const auto& [name, text] : changed) {
    ReadSection(name, *text, config.get(), &problems);
  }
  const auto middle = config->client_blocks.begin() + n_kept;
  std::sort(middle, config->client_blocks.end());
  std::inplace_merge(config->client_blocks.begin(), middle,
                     config->client_blocks.end());
  if (problems.empty()) ValidateConfig(*config, &problems);
  if (!problems.empty())
    return tl::unexpected<Error>(InvalidConfig(
        fmt::format("generation {}", manifest.generation), problems));
  SortUnordered(config.get());
  return config;
}

std::vector<Digest> MissingSections(const SectionIndex& manifest,
                                    const SectionIndex* base) {
  std::set<Digest> known;
  if (base != nullptr) {
    for (const auto& [name, digest] : base->sections) known.insert(digest);
  }
  std::vector<Digest> out;
  for (const auto& [name, digest] : manifest.sections) {
    if (known.insert(digest).second) out.push_back(digest);
  }
  return out;
}

}  // namespace rwf
