#pragma once

#include <flatbuffers/flatbuffers.h>

#include "base/digest.h"

namespace rwf::wire {
struct Digest32;
}  // namespace rwf::wire

// Conversions that the generated code of messages.fbs calls for its native
// Digest type.
namespace flatbuffers {
rwf::wire::Digest32 Pack(const rwf::Digest& digest);
rwf::Digest UnPack(const rwf::wire::Digest32& packed);
}  // namespace flatbuffers
