#include "config/sections.h"

#include <fmt/compile.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <functional>
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

// Determines the chunk of a block, from the most significant bit on.
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

// The hashes whose leading bits are those of a chunk's name.
struct HashRange {
  uint64_t first = 0;
  uint64_t mask = 0;

  bool Contains(uint64_t hash) const { return (hash & mask) == first; }
};

// Returns nullopt if `name` is not the name of a chunk.
std::optional<HashRange> ParseChunkName(std::string_view name) {
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

// Writes one object per block in the format of WriteClientBlock() and dump();
// zone names need no escaping. The blocks point into one sorted list, so their
// addresses in memory give their order.
std::string WriteChunk(HashedIterator begin, HashedIterator end) {
  std::sort(begin, end, [](const HashedBlock& a, const HashedBlock& b) {
    return std::less<>()(a.second, b.second);
  });
  fmt::memory_buffer out;
  out.push_back('[');
  for (auto it = begin; it != end; ++it) {
    if (it != begin) out.push_back(',');
    const ClientBlock& block = *it->second;
    const uint32_t n = block.address;
    fmt::format_to(std::back_inserter(out),
                   FMT_COMPILE(R"({{"block":"{}.{}.{}.{}/{}","zone":"{}"}})"),
                   n >> 24, n >> 16 & 255, n >> 8 & 255, n & 255,
                   block.prefix_length, block.zone);
  }
  out.push_back(']');
  return fmt::to_string(out);
}

// Appends the chunks of the blocks in [begin, end), which are sorted by hash
// and whose hashes start with `bits`.
void SplitIntoChunks(const std::string& bits, HashedIterator begin,
                     HashedIterator end, std::vector<Section>* out) {
  const auto n = static_cast<size_t>(end - begin);
  if (n > kMaxBlocksPerChunk && bits.size() < kMaxChunkBits) {
    const uint64_t bit = uint64_t{1} << (63 - bits.size());
    const auto middle = std::partition_point(
        begin, end,
        [&](const HashedBlock& it) { return (it.first & bit) == 0; });
    SplitIntoChunks(bits + "0", begin, middle, out);
    SplitIntoChunks(bits + "1", middle, end, out);
    return;
  }
  std::string name(kClientBlocks);
  if (!bits.empty()) name += "." + bits;
  out->push_back({std::move(name), WriteChunk(begin, end), {}});
}

// Reads one section or chunk into `config`.
void ReadSection(const std::string& name, const std::string& text,
                 Config* config, std::vector<JsonProblem>* problems) {
  const auto range = ParseChunkName(name);
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

// A set of chunks that do not overlap.
class ChunkSet {
 public:
  void Add(const HashRange& range) { ranges_.push_back(range); }
  // Must be called once, after the last Add() and before Contains().
  void Sort() { std::ranges::sort(ranges_, {}, &HashRange::first); }
  size_t size() const { return ranges_.size(); }

  // Only the last chunk whose first hash is not above `hash` can contain it.
  bool Contains(uint64_t hash) const {
    const auto it =
        std::ranges::upper_bound(ranges_, hash, {}, &HashRange::first);
    return it != ranges_.begin() && std::prev(it)->Contains(hash);
  }

 private:
  std::vector<HashRange> ranges_;
};

// Merges the blocks of `base` that are in chunks of `reused` with `added` in
// one pass. Both inputs and the result are sorted.
std::vector<ClientBlock> MergeBlocks(const std::vector<ClientBlock>& base,
                                     const ChunkSet& reused,
                                     std::vector<ClientBlock> added) {
  std::vector<ClientBlock> out;
  out.reserve(base.size() + added.size());
  auto next = added.begin();
  for (const ClientBlock& it : base) {
    if (!reused.Contains(BlockHash(it))) continue;
    while (next != added.end() && *next < it) out.push_back(std::move(*next++));
    out.push_back(it);
  }
  std::move(next, added.end(), std::back_inserter(out));
  return out;
}

size_t ChunkCount(const SectionIndex& index) {
  return static_cast<size_t>(std::ranges::count_if(
      index.sections,
      [](const auto& it) { return ParseChunkName(it.first).has_value(); }));
}

// Names of required sections that `index` lacks. Client blocks need at least
// one chunk.
std::vector<std::string> MissingSectionNames(const SectionIndex& index) {
  std::vector<std::string> out;
  for (const SectionCodec& it : SectionCodecs()) {
    if (it.name == kClientBlocks) continue;
    if (!index.sections.contains(it.name)) out.emplace_back(it.name);
  }
  if (ChunkCount(index) == 0) out.emplace_back(kClientBlocks);
  return out;
}

// Finds the text of a section and checks it against its digest.
Result<const std::string*> FindSectionText(const std::string& name,
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

Result<std::vector<Section>> SplitIntoSections(const Config& config) {
  std::vector<Section> out;
  for (const SectionCodec& it : SectionCodecs()) {
    if (it.name == kClientBlocks) continue;
    out.push_back({it.name, it.write(config).dump(), {}});
  }
  const std::vector<ClientBlock>* sorted = &config.client_blocks;
  std::vector<ClientBlock> copy;
  if (!std::is_sorted(sorted->begin(), sorted->end())) {
    copy = config.client_blocks;
    std::sort(copy.begin(), copy.end());
    sorted = &copy;
  }
  std::vector<HashedBlock> blocks;
  blocks.reserve(sorted->size());
  for (const ClientBlock& it : *sorted) blocks.emplace_back(BlockHash(it), &it);
  std::sort(blocks.begin(), blocks.end(),
            [](const HashedBlock& a, const HashedBlock& b) {
              return a.first < b.first;
            });
  SplitIntoChunks("", blocks.begin(), blocks.end(), &out);
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

SectionIndex MakeSectionIndex(uint64_t generation,
                              const std::vector<Section>& sections) {
  SectionIndex out;
  out.generation = generation;
  for (const Section& it : sections) out.sections[it.name] = it.digest;
  out.digest = IndexDigest(generation, out.sections);
  return out;
}

Result<SectionIndex> SectionIndexOf(const Config& config) {
  const auto sections = SplitIntoSections(config);
  if (!sections) return tl::unexpected<Error>(sections.error());
  return MakeSectionIndex(config.generation, *sections);
}

Result<std::shared_ptr<const Config>> AssembleConfig(
    const SectionIndex& index, const TextsByDigest& texts,
    const SectionIndex* base_index, const Config* base) {
  assert((base_index == nullptr) == (base == nullptr));
  if (IndexDigest(index.generation, index.sections) != index.digest)
    return Fail(ConfigErrc::kDigestMismatch,
                "the digest of the manifest does not match its sections");
  const auto missing = MissingSectionNames(index);
  if (!missing.empty())
    return Fail(ConfigErrc::kMissingSection,
                fmt::format("the manifest has no section {}",
                            fmt::join(missing, ", ")));

  auto config = std::make_shared<Config>();
  config->generation = index.generation;
  std::vector<std::pair<std::string, const std::string*>> changed;
  ChunkSet reused;
  for (const auto& [name, digest] : index.sections) {
    if (base_index != nullptr) {
      const auto it = base_index->sections.find(name);
      if (it != base_index->sections.end() && it->second == digest) {
        if (const auto range = ParseChunkName(name))
          reused.Add(*range);
        else if (const SectionCodec* codec = FindSectionCodec(name))
          codec->copy(*base, config.get());
        continue;
      }
    }
    const auto text = FindSectionText(name, digest, texts);
    if (!text) return tl::unexpected<Error>(text.error());
    changed.emplace_back(name, *text);
  }

  std::vector<JsonProblem> problems;
  for (const auto& [name, text] : changed)
    ReadSection(name, *text, config.get(), &problems);
  SortUnorderedLists(config.get());
  if (base_index != nullptr && reused.size() == ChunkCount(*base_index) &&
      config->client_blocks.empty()) {
    config->client_blocks = base->client_blocks;
  } else if (base != nullptr) {
    reused.Sort();
    config->client_blocks = MergeBlocks(base->client_blocks, reused,
                                        std::move(config->client_blocks));
  }
  if (problems.empty()) ValidateConfig(*config, &problems);
  if (!problems.empty())
    return tl::unexpected<Error>(InvalidConfig(
        fmt::format("generation {}", index.generation), problems));
  return config;
}

std::vector<Digest> MissingSections(const SectionIndex& index,
                                    const SectionIndex* base) {
  std::set<Digest> known;
  if (base != nullptr) {
    for (const auto& [name, digest] : base->sections) known.insert(digest);
  }
  std::vector<Digest> out;
  for (const auto& [name, digest] : index.sections) {
    if (known.insert(digest).second) out.push_back(digest);
  }
  return out;
}

}  // namespace rwf
