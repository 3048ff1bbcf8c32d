#include "wire/frame.h"

#include <doctest/doctest.h>

#include <random>

#include "wire/handshake.h"
#include "wire/wire_error.h"

namespace rwf {
namespace {

wire::MessageT ProbeMessage(uint64_t nonce) {
  wire::ProbeT probe;
  probe.vm = "delta-a-1";
  probe.nonce = nonce;
  wire::MessageT out;
  out.body.Set(std::move(probe));
  return out;
}

struct KeyedFixture {
  FrameWriter writer;
  FrameReader reader;
  KeyedFixture() {
    writer.SetKey(Sha256("k"));
    reader.SetKey(Sha256("k"));
  }
};

TEST_CASE_FIXTURE(
    KeyedFixture,
    "FrameReader, frames in fragments, returns each message once") {
  std::string bytes = writer.Write(ProbeMessage(1));
  bytes += writer.Write(ProbeMessage(2));
  std::vector<uint64_t> nonces;
  for (char c : bytes) {
    reader.Append({&c, 1});
    const auto it = reader.Next();
    REQUIRE(it.has_value());
    if (it->has_value()) nonces.push_back((*it)->body.AsProbe()->nonce);
  }
  CHECK(nonces == std::vector<uint64_t>{1, 2});
}

// Guards against accepting altered, replayed or reordered frames from an
// untrusted network path.
TEST_CASE_FIXTURE(KeyedFixture,
                  "FrameReader, frame altered or out of order, is rejected") {
  const std::string first = writer.Write(ProbeMessage(1));
  const std::string second = writer.Write(ProbeMessage(2));
  SUBCASE("replayed") {
    reader.Append(first + first);
    CHECK(reader.Next().has_value());
    CHECK(reader.Next().error().code == WireErrc::kBadMac);
  }
  SUBCASE("reordered") {
    reader.Append(second + first);
    CHECK(reader.Next().error().code == WireErrc::kBadMac);
  }
  SUBCASE("any bit flipped") {
    for (size_t n = 4; n < first.size(); ++n) {
      FrameReader fresh;
      fresh.SetKey(Sha256("k"));
      std::string altered = first;
      altered[n] = static_cast<char>(altered[n] ^ 1);
      fresh.Append(altered);
      CHECK(fresh.Next().error().code == WireErrc::kBadMac);
    }
  }
  SUBCASE("too long") {
    reader.Append(std::string("\xff\xff\xff\x7f", 4));
    CHECK(reader.Next().error().code == WireErrc::kTooLong);
  }
}

// Guards against a crash or an endless read on bytes that have a valid MAC but
// are not a valid message, as a peer with a faulty version may send them.
TEST_CASE(
    "FrameReader, random bytes with a valid MAC, are rejected without a "
    "crash") {
  std::mt19937_64 random(7);
  const std::string good = FrameWriter().Write(ProbeMessage(3));
  for (int round = 0; round < 20000; ++round) {
    std::string body = good.substr(20);
    for (int n = 0; n < 3; ++n)
      body[random() % body.size()] = static_cast<char>(random());
    const uint64_t sequence = 0;
    std::string data(reinterpret_cast<const char*>(&sequence),
                     sizeof(sequence));
    const Digest key;
    const Digest mac = HmacSha256(
        {reinterpret_cast<const char*>(key.bytes.data()), key.bytes.size()},
        data + body);
    FrameReader reader;
    reader.Append(
        good.substr(0, 4) +
        std::string(reinterpret_cast<const char*>(mac.bytes.data()), 16) +
        body);
    const auto it = reader.Next();
    if (!it) CHECK(it.error().code == WireErrc::kMalformed);
  }
}

struct HandshakeFixture {
  LinkIdentity a{"site", "vm-a", 1, {"new", "old"}};
  LinkIdentity b{"site", "vm-b", 2, {"old"}};
};

TEST_CASE_FIXTURE(HandshakeFixture,
                  "Handshake, peers with a common secret, agree on keys") {
  b.secrets = {"old", "new"};
  Handshake dialer(&a, true);
  Handshake acceptor(&b, false);
  const auto dialer_proof = dialer.OnHello(acceptor.MakeHello());
  const auto acceptor_proof = acceptor.OnHello(dialer.MakeHello());
  REQUIRE(acceptor.OnProof(*dialer_proof).has_value());
  REQUIRE(dialer.OnProof(*acceptor_proof).has_value());
  CHECK(dialer.send_key() == acceptor.receive_key());
  CHECK(dialer.receive_key() == acceptor.send_key());
  CHECK(dialer.send_key() != dialer.receive_key());
  CHECK(dialer.peer_vm() == "vm-b");
  CHECK(acceptor.peer_incarnation() == 1);
}

TEST_CASE_FIXTURE(
    HandshakeFixture,
    "Handshake, peer that must not connect, is rejected with the cause") {
  Handshake acceptor(&b, false);
  SUBCASE("other secret") {
    a.secrets = {"wrong"};
    Handshake dialer(&a, true);
    const auto proof = dialer.OnHello(acceptor.MakeHello());
    REQUIRE(acceptor.OnHello(dialer.MakeHello()).has_value());
    CHECK(acceptor.OnProof(*proof).error().code == WireErrc::kProof);
  }
  SUBCASE("own proof reflected") {
    Handshake dialer(&a, true);
    const auto own = acceptor.OnHello(dialer.MakeHello());
    CHECK(acceptor.OnProof(*own).error().code == WireErrc::kProof);
  }
  SUBCASE("proof of an older session") {
    Handshake dialer(&a, true);
    const auto old = dialer.OnHello(Handshake(&b, false).MakeHello());
    REQUIRE(acceptor.OnHello(dialer.MakeHello()).has_value());
    CHECK(acceptor.OnProof(*old).error().code == WireErrc::kProof);
  }
  SUBCASE("other cluster") {
    a.cluster = "other";
    CHECK(acceptor.OnHello(Handshake(&a, true).MakeHello()).error().code ==
          WireErrc::kCluster);
  }
  SUBCASE("other version") {
    wire::HelloT hello = Handshake(&a, true).MakeHello();
    hello.protocol_version = 9;
    CHECK(acceptor.OnHello(hello).error().code == WireErrc::kVersion);
  }
  SUBCASE("itself") {
    CHECK(acceptor.OnHello(Handshake(&b, true).MakeHello()).error().code ==
          WireErrc::kUnexpected);
  }
}

}  // namespace
}  // namespace rwf
