#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "rwf/endpoint.h"

namespace rwf {

// HTTP client of an operator endpoint. Each call opens a connection, waits for
// the response and closes it, since the program makes few calls and has no
// event loop of its own.
class OperatorClient : public Endpoint {
 public:
  // Timeout of a call. The endpoint responds to a change only after it has
  // written it to the store, which may be slow.
  static constexpr Duration kTimeout = std::chrono::seconds(15);

  // `url` is http://ADDRESS:PORT. With a malformed URL every call fails.
  OperatorClient(const std::string& url, std::string token);

  Result<Json> Get(const std::string& path) override;
  Result<Json> Post(const std::string& path, const Json& body) override;

 private:
  Result<Json> Call(bool is_post, const std::string& path,
                    const std::string& body);

  std::string url_;
  std::string address_;
  uint16_t port_ = 0;  // 0 if the URL is malformed
  std::string token_;
};

}  // namespace rwf
