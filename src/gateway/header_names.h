#pragma once

#include <string>
#include <vector>

namespace rwf {

// Names of the header fields exchanged with callers and upstreams. The platform
// adapter fills them in.
struct HeaderNames {
  std::string request_id;         // identifies one attempt of a caller
  std::string deadline_ms;        // time left, in whole milliseconds
  std::string object;             // object that the request is about
  std::string server_stamp;       // proves that an instance sent the response
  std::string workspace;          // to upstreams: workspace of the caller
  std::string expected_instance;  // to upstreams: only instance that may run it
  std::string instance;           // from upstreams: instance id
  std::string load;               // from upstreams: running, waiting, slots
  std::string not_run;            // from upstreams: the request did not run
  std::string cold_ms;            // from upstreams: time until warm
  std::string retry_after;        // to callers: delay in seconds
  std::string key;                // from callers: "SCHEME KEY"
  std::string key_scheme;
  // From upstreams: what instances say of themselves. Not passed on to callers,
  // who do not choose the instance.
  std::vector<std::string> instance_notices;
  friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

}  // namespace rwf
