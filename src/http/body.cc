#include "http/body.h"

#include <algorithm>

namespace rwf {

void Body::Append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    const bool has_room = !blocks_.empty() && blocks_.back().use_count() == 1 &&
                          blocks_.back()->size() < kBlockBytes;
    if (!has_room) {
      blocks_.push_back(std::make_shared<std::string>());
      // Small bodies, which have one block, take no more than they need.
      if (blocks_.size() > 1) blocks_.back()->reserve(kBlockBytes);
    }
    std::string& block = *blocks_.back();
    const size_t n = std::min(bytes.size(), kBlockBytes - block.size());
    block.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
  }
}

std::vector<std::string_view> Body::Blocks() const {
  std::vector<std::string_view> out;
  out.reserve(blocks_.size());
  for (const Block& it : blocks_) out.emplace_back(*it);
  return out;
}

std::string Body::ToString() const {
  std::string out;
  out.reserve(size_);
  for (const Block& it : blocks_) out.append(*it);
  return out;
}

bool Body::AddTo(evbuffer* out) const {
  for (const Block& it : blocks_) {
    // The buffer owns one reference to the block until it has sent its bytes.
    auto owned = std::make_unique<Block>(it);
    const int ec = evbuffer_add_reference(
        out, it->data(), it->size(),
        [](const void*, size_t, void* arg) { delete static_cast<Block*>(arg); },
        owned.get());
    if (ec != 0) return false;
    static_cast<void>(owned.release());
  }
  return true;
}

}  // namespace rwf
