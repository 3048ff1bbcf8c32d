#include "config/section_parser.h"

#include <utility>

namespace rwf {

Result<std::shared_ptr<const Config>> SectionParser::Parse(
    uint64_t generation, const std::map<std::string, std::string>& texts) {
  SectionIndex index;
  index.generation = generation;
  TextsByDigest by_digest;
  for (const auto& [name, text] : texts) {
    const Digest digest = Sha256(text);
    index.sections[name] = digest;
    by_digest.emplace(digest, text);
  }
  index.digest = IndexDigest(generation, index.sections);
  auto parsed = AssembleConfig(index, by_digest,
                               last_config_ == nullptr ? nullptr : &last_index_,
                               last_config_.get());
  if (!parsed) return parsed;
  last_index_ = std::move(index);
  last_config_ = *parsed;
  return parsed;
}

}  // namespace rwf
