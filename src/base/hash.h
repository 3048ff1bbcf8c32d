#pragma once

#include <cstdint>
#include <string_view>

namespace rwf {

// 64-bit xxHash of `data`, the same on every VM and in every build.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Rendezvous score of `candidate` for `key`. Every VM that ranks the same
// candidates by score gets the same order, and adding or removing one candidate
// leaves the order of the others as it was.
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

}  // namespace rwf
