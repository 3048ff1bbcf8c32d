#include "wire/frame.h"

#include <cassert>
#include <cstring>

#include "wire/wire_error.h"

namespace rwf {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kMacBytes = 16;

uint32_t ReadLength(std::string_view bytes) {
  uint32_t n = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    n |= static_cast<uint32_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return n;
}

std::string ComputeMac(const Digest& key, uint64_t sequence,
                       std::string_view message) {
  std::string data(sizeof(sequence), '\0');
  std::memcpy(data.data(), &sequence, sizeof(sequence));
  data.append(message);
  const Digest mac = HmacSha256(
      {reinterpret_cast<const char*>(key.bytes.data()), key.bytes.size()},
      data);
  return {reinterpret_cast<const char*>(mac.bytes.data()), kMacBytes};
}

}  // namespace

void FrameWriter::SetKey(const Digest& key) {
  key_ = key;
  sequence_ = 0;
}

std::string PackMessage(const wire::MessageT& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Message::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string FrameWriter::Write(const wire::MessageT& message) {
  return WritePacked(PackMessage(message));
}

std::string FrameWriter::WritePacked(std::string_view body) {
  assert(body.size() <= kMaxMessageBytes);
  const auto n = static_cast<uint32_t>(kMacBytes + body.size());
  std::string out;
  out.reserve(kLengthBytes + n);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    out.push_back(static_cast<char>(n >> (8 * i)));
  }
  out += ComputeMac(key_, sequence_++, body);
  out += body;
  return out;
}

void FrameReader::SetKey(const Digest& key) {
  key_ = key;
  sequence_ = 0;
}

Result<std::optional<wire::MessageT>> FrameReader::Next() {
  if (buf_.size() < kLengthBytes) return std::nullopt;
  const size_t n = ReadLength(buf_);
  if (n > kMacBytes + kMaxMessageBytes) {
    return Fail(WireErrc::kTooLong, "frame length exceeds the limit");
  }
  if (n < kMacBytes) {
    return Fail(WireErrc::kMalformed, "frame length is below the minimum");
  }
  if (buf_.size() < kLengthBytes + n) return std::nullopt;
  const std::string_view frame(buf_.data() + kLengthBytes, n);
  const std::string_view mac = frame.substr(0, kMacBytes);
  // FlatBuffers are read in place and must be aligned, hence the copy.
  const std::string body(frame.substr(kMacBytes));
  if (!ConstantTimeEqual(mac, ComputeMac(key_, sequence_, body))) {
    return Fail(WireErrc::kBadMac, "frame authentication failed");
  }
  ++sequence_;
  buf_.erase(0, kLengthBytes + n);
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(body.data()),
                                 body.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return Fail(WireErrc::kMalformed, "message is not a valid FlatBuffer");
  }
  wire::MessageT message;
  wire::GetMessage(body.data())->UnPackTo(&message);
  if (message.body.value == nullptr) {
    return Fail(WireErrc::kMalformed, "message has no body");
  }
  return std::optional<wire::MessageT>(std::move(message));
}

}  // namespace rwf
