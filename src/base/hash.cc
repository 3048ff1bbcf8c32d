#include "base/hash.h"

#include <xxhash.h>

namespace rwf {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

uint64_t RendezvousScore(std::string_view key, std::string_view candidate) {
  return Hash64(candidate, Hash64(key));
}

}  // namespace rwf
