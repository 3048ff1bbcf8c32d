#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "wire/messages_generated.h"

namespace rwf {

inline constexpr uint32_t kProtocolVersion = 1;

// The identity that this process presents to its peers.
struct LinkIdentity {
  std::string cluster;
  std::string vm;
  uint64_t incarnation = 0;
  // Fleet secrets. This process proves with the first one and accepts proofs
  // made with any of them, so that a new secret can be rolled out VM by VM.
  std::vector<std::string> secrets;
};

// Handshake of a link: each side sends a Hello with a fresh nonce, then a proof
// that it knows a fleet secret. The proof covers both hellos and the role of
// its sender, so it can be neither replayed nor reflected.
class Handshake {
 public:
  // `identity` must outlive the handshake.
  Handshake(const LinkIdentity* identity, bool is_dialer);

  wire::HelloT MakeHello() const;
  // Checks the peer's hello and returns the proof to send.
  Result<wire::HelloProofT> OnHello(const wire::HelloT& hello);
  // Checks the peer's proof. After success the keys below are valid.
  Result<void> OnProof(const wire::HelloProofT& proof);

  const std::string& peer_vm() const { return peer_.vm; }
  uint64_t peer_incarnation() const { return peer_.incarnation; }
  const Digest& send_key() const { return send_key_; }
  const Digest& receive_key() const { return receive_key_; }
  bool is_done() const { return is_done_; }

 private:
  // Returns the input from which the proof and the key of one direction are
  // computed.
  std::string Transcript(bool from_dialer) const;

  const LinkIdentity* identity_;
  bool is_dialer_;
  Digest nonce_;
  wire::HelloT peer_;
  bool has_hello_ = false;
  bool is_done_ = false;
  Digest send_key_;
  Digest receive_key_;
};

}  // namespace rwf
