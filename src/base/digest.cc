#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cassert>
#include <cstdlib>

namespace rwf {
namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

Digest Sha256(std::string_view data) {
  Digest out;
  unsigned int n = 0;
  EVP_Digest(data.data(), data.size(), out.bytes.data(), &n, EVP_sha256(),
             nullptr);
  assert(n == out.bytes.size());
  return out;
}

Digest HmacSha256(std::string_view key, std::string_view data) {
  Digest out;
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       out.bytes.data(), &n);
  assert(n == out.bytes.size());
  return out;
}

bool ConstantTimeEqual(const Digest& a, const Digest& b) {
  return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out.push_back(kDigits[byte >> 4]);
    out.push_back(kDigits[byte & 15]);
  }
  return out;
}

std::string ToHex(const Digest& digest) {
  return ToHex(std::string_view(
      reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size()));
}

bool FromHex(std::string_view text, Digest* out) {
  Digest parsed;
  if (text.size() != parsed.bytes.size() * 2) return false;
  for (size_t i = 0; i < parsed.bytes.size(); ++i) {
    const int high = HexValue(text[2 * i]);
    const int low = HexValue(text[2 * i + 1]);
    if (high < 0 || low < 0) return false;
    parsed.bytes[i] = static_cast<uint8_t>(high * 16 + low);
  }
  *out = parsed;
  return true;
}

std::string RandomBytes(size_t n) {
  std::string out(n, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()),
                 static_cast<int>(n)) != 1) {
    std::abort();  // Keys and nonces must never be predictable.
  }
  return out;
}

uint64_t RandomU64() {
  const std::string bytes = RandomBytes(sizeof(uint64_t));
  uint64_t out;
  std::memcpy(&out, bytes.data(), sizeof(out));
  return out;
}

}  // namespace rwf
