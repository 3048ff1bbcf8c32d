#pragma once

#include <string>

namespace rwf {

// Names of the header fields that callers, upstreams and this system exchange.
// The adapter of a platform fills them in.
struct HeaderNames {
  std::string request_id;         // names one attempt of a caller
  std::string deadline_ms;        // time left, in whole milliseconds
  std::string object;             // what the request is about
  std::string server_stamp;       // proof that the bytes come from an instance
  std::string workspace;          // towards upstreams: whose request it is
  std::string expected_instance;  // towards upstreams: who alone may run it
  std::string instance;           // of an instance: its id
  std::string load;               // of an instance: running, waiting, slots
  std::string not_run;            // of an instance: the request did not run
  std::string cold_ms;            // of an instance: time until it is warm
  std::string retry_after;        // towards callers, in seconds
  std::string key;                // of callers: "SCHEME KEY"
  std::string key_scheme;
  friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

}  // namespace rwf
