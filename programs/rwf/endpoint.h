#pragma once

#include <string>
#include <system_error>

#include "base/error.h"
#include "base/json_reader.h"

namespace rwf {

enum class EndpointErrc {
  kBadAddress = 1,
  kUnreachable,   // no response; a request sent may have taken effect
  kUnauthorized,  // the token was not accepted
  kRefused,       // another 4xx response: nothing was done
  kFailed,        // a 5xx response or one that is no JSON
};
std::error_code make_error_code(EndpointErrc code);

// The operators' endpoint of one entry VM.
class Endpoint {
 public:
  virtual ~Endpoint() = default;

  // The JSON body of a 2xx response, or of a response of any status whose body
  // has a member `result`, which then says more than the status.
  virtual Result<Json> Get(const std::string& path) = 0;
  virtual Result<Json> Post(const std::string& path, const Json& body) = 0;
};

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::EndpointErrc> : std::true_type {};
