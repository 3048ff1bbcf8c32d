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
// message, and the message as a FlatBuffer. The sequence number is not sent:
// each side counts it, so a replayed or reordered frame fails authentication.
inline constexpr size_t kMaxMessageBytes = 1 << 20;

// Serializes a message to a FlatBuffer.
std::string PackMessage(const wire::MessageT& message);

// Serializes the frames of one direction of a link. The key is all zero until
// the handshake has finished.
class FrameWriter {
 public:
  void SetKey(const Digest& key);
  // The packed message must not exceed kMaxMessageBytes.
  std::string Write(const wire::MessageT& message);
  // As above for a message packed by PackMessage, so that a message for many
  // peers is packed only once.
  std::string WritePacked(std::string_view packed);

 private:
  Digest key_;
  uint64_t sequence_ = 0;
};

// Parses the frames of one direction of a link.
class FrameReader {
 public:
  void SetKey(const Digest& key);
  // Appends bytes received from the socket.
  void Append(std::string_view bytes) { buf_.append(bytes); }
  // Returns the next complete message, nullopt if more bytes are needed, or an
  // error after which the link must be closed.
  Result<std::optional<wire::MessageT>> Next();

 private:
  Digest key_;
  uint64_t sequence_ = 0;
  std::string buf_;
};

}  // namespace rwf
