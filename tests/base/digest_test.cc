#include "base/digest.h"

#include <doctest/doctest.h>

namespace rwf {
namespace {

TEST_CASE("Sha256, known input, gives the published value") {
  CHECK(ToHex(Sha256("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE(
    "FromHex, text of wrong length or alphabet, is rejected and leaves the "
    "output unchanged") {
  Digest out = Sha256("abc");
  const Digest before = out;
  CHECK_FALSE(FromHex("ab", &out));
  CHECK_FALSE(FromHex(std::string(64, 'g'), &out));
  CHECK(out == before);
  CHECK(FromHex(ToHex(Sha256("x")), &out));
  CHECK(out == Sha256("x"));
}

}  // namespace
}  // namespace rwf
