#pragma once

#include <event2/buffer.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rwf {

// The bytes of a message body, in blocks of bounded size. Copies share the
// blocks, so that a body is held once for all attempts and connections that
// send it.
class Body {
 public:
  // A body wastes less than one block beyond its bytes.
  static constexpr size_t kBlockBytes = 16 << 10;

  Body() = default;
  explicit Body(std::string_view bytes) { Append(bytes); }

  // Appends a copy of the bytes. Blocks that other bodies or buffers share are
  // not changed.
  void Append(std::string_view bytes);
  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // Returns the bytes as one piece per block. Valid as long as this body is
  // unchanged.
  std::vector<std::string_view> Blocks() const;
  std::string ToString() const;
  // Appends the bytes to `out` by reference. The blocks live until `out` has
  // been drained of them. Returns false if memory ran out before the last
  // block.
  [[nodiscard]] bool AddTo(evbuffer* out) const;

  friend bool operator==(const Body& a, std::string_view b) {
    return a.size() == b.size() && a.ToString() == b;
  }

 private:
  using Block = std::shared_ptr<std::string>;

  std::vector<Block> blocks_;
  size_t size_ = 0;
};

}  // namespace rwf
