#include "base/sha256_hasher.h"

#include <cassert>

namespace rwf {

Sha256Hasher::Sha256Hasher() : context_(EVP_MD_CTX_new()) {
  EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
}

void Sha256Hasher::Update(std::string_view bytes) {
  EVP_DigestUpdate(context_.get(), bytes.data(), bytes.size());
}

Digest Sha256Hasher::Finish() {
  Digest out;
  unsigned int n = 0;
  EVP_DigestFinal_ex(context_.get(), out.bytes.data(), &n);
  assert(n == out.bytes.size());
  return out;
}

}  // namespace rwf
