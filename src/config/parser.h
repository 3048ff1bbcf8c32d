#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/json_reader.h"
#include "config/config.h"
#include "config/config_error.h"

namespace rwf {

// Parses and validates a configuration document (JSON with comments). On
// failure the message lists every problem, one per line, each with its JSON
// pointer; no part of an invalid document is returned. `source` identifies the
// text in messages.
Result<std::shared_ptr<const Config>> ParseConfig(std::string_view text,
                                                  std::string_view source);

// Like ParseConfig(), but reads parsed JSON and appends the problems to a list.
// Returns null if there are any.
std::shared_ptr<const Config> ReadConfig(const Json& document,
                                         std::vector<JsonProblem>* problems);

// Returns the configuration document as a JSON value.
Json ConfigToJson(const Config& config);

// Writes canonical JSON: members in alphabetical order, no white space. For a
// valid `config`, ParseConfig(SerializeConfig(config)) equals it.
std::string SerializeConfig(const Config& config);

// Returns an error that lists `problems`.
Error InvalidConfig(std::string_view source,
                    const std::vector<JsonProblem>& problems);

}  // namespace rwf
