#pragma once

#include <string>
#include <system_error>

#include "base/error.h"
#include "base/json_reader.h"

namespace rwf {

enum class EndpointErrc {
  kBadAddress = 1,
  kUnreachable,   // no response; the request may have taken effect
  kUnauthorized,  // the token was not accepted
  kRefused,       // another 4xx response: nothing was done
  kFailed,        // another status, e.g. 5xx, or a body that is not JSON
};
std::error_code make_error_code(EndpointErrc code);

// The operator endpoint of an entry VM.
class Endpoint {
 public:
  virtual ~Endpoint() = default;

  // Return the JSON body of a 2xx response, or of any response whose body has a
  // member `result`, which is more specific than the status.
  virtual Result<Json> Get(const std::string& path) = 0;
  virtual Result<Json> Post(const std::string& path, const Json& body) = 0;
};

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::EndpointErrc> : std::true_type {};
