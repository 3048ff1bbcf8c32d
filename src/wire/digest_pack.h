#pragma once

#include <flatbuffers/flatbuffers.h>

#include "base/digest.h"

namespace rwf::wire {
struct Digest32;
}  // namespace rwf::wire

// Conversions between Digest32 and its native type Digest, called by the code
// generated from messages.fbs.
namespace flatbuffers {
rwf::wire::Digest32 Pack(const rwf::Digest& digest);
rwf::Digest UnPack(const rwf::wire::Digest32& packed);
}  // namespace flatbuffers
