#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

#include "base/time.h"
#include "rwf/endpoint.h"

namespace rwf {

// Exit status of the program.
enum ExitStatus : int {
  kDone = 0,
  kRefused = 1,   // refused here or rejected by the endpoint
  kBadInput = 2,  // bad usage or bad input
  kUnknown = 3,   // outcome unknown, or endpoint unreachable
};

// Maps an error to the exit status of the program.
ExitStatus ExitStatusOf(const Error& error);

// External dependencies of the commands. Tests provide fakes.
struct Environment {
  std::ostream& out;
  std::ostream& err;
  std::function<std::unique_ptr<Endpoint>(const std::string& url,
                                          const std::string& token)>
      connect;
  std::function<void(Duration)> sleep;
  std::function<std::string()> make_key;
};

}  // namespace rwf
