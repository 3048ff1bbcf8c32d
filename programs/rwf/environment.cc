#include "rwf/environment.h"

namespace rwf {

ExitStatus ExitStatusOf(const Error& error) {
  if (error.code == EndpointErrc::kUnreachable ||
      error.code == EndpointErrc::kFailed)
    return kUnknown;
  if (error.code == EndpointErrc::kUnauthorized ||
      error.code == EndpointErrc::kRefused)
    return kRefused;
  return kBadInput;
}

}  // namespace rwf
