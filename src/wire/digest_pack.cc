#include "wire/digest_pack.h"

#include <algorithm>

#include "wire/messages_generated.h"

namespace flatbuffers {

rwf::wire::Digest32 Pack(const rwf::Digest& digest) {
  return rwf::wire::Digest32(flatbuffers::make_span(digest.bytes));
}

rwf::Digest UnPack(const rwf::wire::Digest32& packed) {
  rwf::Digest out;
  std::copy(packed.bytes()->begin(), packed.bytes()->end(), out.bytes.begin());
  return out;
}

}  // namespace flatbuffers
