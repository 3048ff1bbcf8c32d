#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/error.h"
#include "wire/messages_generated.h"

namespace rwf {

// A frame is a 4-byte little-endian length of what follows, a 16-byte
// truncated HMAC-SHA-256 of the session key over the sequence number and the
// message, and the message as a FlatBuffer. The sequence number is counted on
// both sides and not sent, so a replayed or reordered frame fails the check.
inline constexpr size_t kMaxMessageBytes = 1 << 20;

// The FlatBuffer of a message.
std::string PackMessage(const wire::MessageT& message);

// Makes the frames of one direction of a link. Before the handshake is done the
// key is all zero.
class FrameWriter {
 public:
  void SetKey(const Digest& key);
  // The message must be smaller than kMaxMessageBytes.
  std::string Write(const wire::MessageT& message);
  // The same for a message that PackMessage has packed, so that one message for
  // many peers is packed once.
  std::string WritePacked(std::string_view packed);

 private:
  Digest key_;
  uint64_t sequence_ = 0;
};

// Takes frames apart in one direction of a link.
class FrameReader {
 public:
  void SetKey(const Digest& key);
  // Adds bytes as they come from the socket.
  void Append(std::string_view bytes) { buf_.append(bytes); }
  // The next whole message, nothing if more bytes are needed, or an error after
  // which the link has to be closed.
  Result<std::optional<wire::MessageT>> Next();

 private:
  Digest key_;
  uint64_t sequence_ = 0;
  std::string buf_;
};

}  // namespace rwf
