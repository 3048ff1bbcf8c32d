#pragma once

#include <openssl/evp.h>

#include <memory>
#include <string_view>

#include "base/digest.h"

namespace rwf {

// Computes the SHA-256 value of bytes that arrive in pieces.
class Sha256Hasher {
 public:
  Sha256Hasher();

  void Update(std::string_view bytes);
  // Must be called once, after the last piece.
  Digest Finish();

 private:
  struct Deleter {
    void operator()(EVP_MD_CTX* it) const { EVP_MD_CTX_free(it); }
  };
  std::unique_ptr<EVP_MD_CTX, Deleter> context_;
};

}  // namespace rwf
