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

// Parses and checks a whole configuration document (JSON with comments). On
// failure the message lists every problem found, one to a line, each with its
// JSON pointer; nothing of a faulty document is returned. `source` names the
// text in messages.
Result<std::shared_ptr<const Config>> ParseConfig(std::string_view text,
                                                  std::string_view source);

// The same from parsed JSON, with the problems as a list.
std::shared_ptr<const Config> ReadConfig(const Json& document,
                                         std::vector<JsonProblem>* problems);

// The document as a JSON value.
Json ConfigToJson(const Config& config);

// Canonical JSON: members in alphabetical order, no white space. For a valid
// `config`, ParseConfig(SerializeConfig(config)) equals it.
std::string SerializeConfig(const Config& config);

// The failure that reports `problems`.
Error InvalidConfig(std::string_view source,
                    const std::vector<JsonProblem>& problems);

}  // namespace rwf
