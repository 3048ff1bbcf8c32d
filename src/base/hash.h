#pragma once

#include <cstdint>
#include <string_view>

namespace rwf {

// 64-bit xxHash of `data`, identical on every VM and in every build.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Rendezvous hashing score of `candidate` for `key`. Every VM that ranks the
// same candidates by score gets the same order, and adding or removing a
// candidate does not change the relative order of the others.
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

}  // namespace rwf
