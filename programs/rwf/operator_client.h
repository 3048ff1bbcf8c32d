#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "rwf/endpoint.h"

namespace rwf {

// Talks HTTP to an operators' endpoint. Each call opens a connection, waits for
// the response and closes it: the program makes few calls and keeps no loop.
class OperatorClient : public Endpoint {
 public:
  // Time until a call without response fails. A change has to be written to the
  // store, which may be slow, before the endpoint answers.
  static constexpr Duration kTimeout = std::chrono::seconds(15);

  // `url` is http://ADDRESS:PORT. A malformed one fails each call.
  OperatorClient(const std::string& url, std::string token);

  Result<Json> Get(const std::string& path) override;
  Result<Json> Post(const std::string& path, const Json& body) override;

 private:
  Result<Json> Call(bool is_post, const std::string& path,
                    const std::string& body);

  std::string url_;
  std::string address_;
  uint16_t port_ = 0;  // 0 when `url` is malformed
  std::string token_;
};

}  // namespace rwf
