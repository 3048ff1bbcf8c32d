#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "config/config.h"

namespace rwf {

// Largest text of one section: it has to fit into a value of the store and into
// one message between entry VMs.
inline constexpr size_t kMaxSectionBytes = 800'000;

// Most client blocks in one chunk. A block takes up to 110 bytes of text, so
// that a full chunk stays below half of kMaxSectionBytes. Half as many would
// halve what one changed block transfers but double the manifest, which every
// change transfers too.
inline constexpr size_t kMaxBlocksPerChunk = 4096;

// One part of a configuration as it is stored and transferred.
struct Section {
  std::string name;
  std::string text;  // canonical JSON
  Digest digest;     // SHA-256 of `text`
};

// Cuts a configuration into its sections. Client blocks are cut into chunks
// named "client_blocks" and the first bits of the hashes of their blocks, e.g.
// "client_blocks.01": a chunk with more than kMaxBlocksPerChunk blocks is split
// by the next bit. The chunks depend on the set of blocks only, and a changed
// block rewrites one chunk (an added or removed one also splits or joins at
// most the chunk it is in). Fails when a section is too large for the store.
Result<std::vector<Section>> SplitIntoSections(const Config& config);

// Names the sections of one generation.
struct SectionIndex {
  uint64_t generation = 0;
  Digest digest;  // of the whole configuration, see IndexDigest()
  std::map<std::string, Digest> sections;

  friend bool operator==(const SectionIndex&, const SectionIndex&) = default;
};

// SHA-256 over the generation and the digests of all sections: equal for equal
// configurations, whoever wrote them.
Digest IndexDigest(uint64_t generation,
                   const std::map<std::string, Digest>& sections);

SectionIndex MakeSectionIndex(uint64_t generation,
                              const std::vector<Section>& sections);

// The manifest that SplitIntoSections(config) leads to.
Result<SectionIndex> SectionIndexOf(const Config& config);

// Texts of sections by their digests.
using TextsByDigest = std::map<Digest, std::string>;

// Builds the configuration that `manifest` names. Every text is checked against
// its digest and the result is validated as ParseConfig() does. Sections that
// `base_index` names with the same digest are taken from `base`, the
// configuration assembled from it, and need no text; both are null for a
// complete assembly.
Result<std::shared_ptr<const Config>> AssembleConfig(
    const SectionIndex& index, const TextsByDigest& texts,
    const SectionIndex* base_index = nullptr, const Config* base = nullptr);

// Digests that `manifest` names and `base` (may be null) does not: what has to
// be transferred.
std::vector<Digest> MissingSections(const SectionIndex& index,
                                    const SectionIndex* base);

}  // namespace rwf
