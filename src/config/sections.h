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

// Maximum size of a section's text: it must fit into one value of the store and
// one message between entry VMs.
inline constexpr size_t kMaxSectionBytes = 800'000;

// Maximum number of client blocks per chunk. A block takes up to 110 bytes of
// text, so a full chunk stays well below kMaxSectionBytes. Half the limit would
// halve the data that a changed block transfers but double the manifest, which
// every change transfers too.
inline constexpr size_t kMaxBlocksPerChunk = 4096;

// One part of a configuration, as it is stored and transferred.
struct Section {
  std::string name;
  std::string text;  // canonical JSON
  Digest digest;     // SHA-256 of `text`
};

// Splits a configuration into its sections. Client blocks are split into chunks
// named "client_blocks" plus the leading bits of the hashes of their blocks,
// e.g. "client_blocks.01": a chunk with more than kMaxBlocksPerChunk blocks is
// split by the next bit. The chunks depend only on the set of blocks. A changed
// block rewrites one chunk; an added or removed block also splits or merges at
// most the chunk that it is in. Fails if a section is too large for the store.
Result<std::vector<Section>> SplitIntoSections(const Config& config);

// Lists the sections of one generation by name.
struct SectionIndex {
  uint64_t generation = 0;
  Digest digest;  // of the whole configuration, see IndexDigest()
  std::map<std::string, Digest> sections;

  friend bool operator==(const SectionIndex&, const SectionIndex&) = default;
};

// SHA-256 of the generation and the digests of all sections. Equal
// configurations have equal digests, independent of their writer.
Digest IndexDigest(uint64_t generation,
                   const std::map<std::string, Digest>& sections);

SectionIndex MakeSectionIndex(uint64_t generation,
                              const std::vector<Section>& sections);

// Returns the index of the sections that SplitIntoSections(config) gives.
Result<SectionIndex> SectionIndexOf(const Config& config);

// Section texts by their digests.
using TextsByDigest = std::map<Digest, std::string>;

// Builds the configuration that `index` describes. Checks every text against
// its digest and validates the result as ParseConfig() does. Sections that have
// the same digest in `base_index` are taken from `base`, the configuration
// assembled from it, and need no text. Both are null for a complete assembly.
Result<std::shared_ptr<const Config>> AssembleConfig(
    const SectionIndex& index, const TextsByDigest& texts,
    const SectionIndex* base_index = nullptr, const Config* base = nullptr);

// Digests in `index` that are not in `base` (may be null): the sections to
// transfer.
std::vector<Digest> MissingSections(const SectionIndex& index,
                                    const SectionIndex* base);

}  // namespace rwf
