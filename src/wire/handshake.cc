#include "wire/handshake.h"

#include <fmt/format.h>

#include "wire/wire_error.h"

namespace rwf {
namespace {

Digest ComputeProof(const std::string& secret, const std::string& transcript) {
  return HmacSha256(secret, "proof|" + transcript);
}

Digest DeriveKey(const std::string& secret, const std::string& transcript) {
  return HmacSha256(secret, "key|" + transcript);
}

}  // namespace

Handshake::Handshake(const LinkIdentity* identity, bool is_dialer)
    : identity_(identity),
      is_dialer_(is_dialer),
      nonce_(Sha256(RandomBytes(32))) {}

wire::HelloT Handshake::MakeHello() const {
  wire::HelloT out;
  out.protocol_version = kProtocolVersion;
  out.cluster = identity_->cluster;
  out.vm = identity_->vm;
  out.incarnation = identity_->incarnation;
  out.nonce = nonce_;
  return out;
}

Result<wire::HelloProofT> Handshake::OnHello(const wire::HelloT& hello) {
  if (has_hello_) return Fail(WireErrc::kUnexpected, "received a second hello");
  if (hello.protocol_version != kProtocolVersion) {
    return Fail(
        WireErrc::kVersion,
        fmt::format("peer {} uses protocol version {}, expected {}", hello.vm,
                    hello.protocol_version, kProtocolVersion));
  }
  if (hello.cluster != identity_->cluster) {
    return Fail(WireErrc::kCluster,
                fmt::format("peer {} belongs to cluster {}, expected {}",
                            hello.vm, hello.cluster, identity_->cluster));
  }
  if (hello.vm == identity_->vm &&
      hello.incarnation == identity_->incarnation) {
    return Fail(WireErrc::kUnexpected, "peer is this process");
  }
  peer_ = hello;
  has_hello_ = true;
  wire::HelloProofT out;
  out.proof = ComputeProof(identity_->secrets.front(), Transcript(is_dialer_));
  return out;
}

Result<void> Handshake::OnProof(const wire::HelloProofT& proof) {
  if (!has_hello_ || is_done_) {
    return Fail(WireErrc::kUnexpected, "received a proof out of order");
  }
  const std::string received = Transcript(!is_dialer_);
  for (const std::string& secret : identity_->secrets) {
    if (!ConstantTimeEqual(proof.proof, ComputeProof(secret, received)))
      continue;
    receive_key_ = DeriveKey(secret, received);
    send_key_ = DeriveKey(identity_->secrets.front(), Transcript(is_dialer_));
    is_done_ = true;
    return {};
  }
  return Fail(WireErrc::kProof,
              fmt::format("peer {} does not know the fleet secret", peer_.vm));
}

std::string Handshake::Transcript(bool from_dialer) const {
  const wire::HelloT mine = MakeHello();
  const wire::HelloT& dialer = is_dialer_ ? mine : peer_;
  const wire::HelloT& acceptor = is_dialer_ ? peer_ : mine;
  std::string out = from_dialer ? "dialer" : "acceptor";
  for (const wire::HelloT* it : {&dialer, &acceptor}) {
    out += fmt::format("|{}|{}:{}|{}:{}|{}|{}", it->protocol_version,
                       it->cluster.size(), it->cluster, it->vm.size(), it->vm,
                       it->incarnation, ToHex(it->nonce));
  }
  return out;
}

}  // namespace rwf
