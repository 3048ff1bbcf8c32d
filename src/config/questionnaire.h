#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/config.h"

namespace rwf {

// A key generated for a workspace. The configuration has only its digest.
struct NewKey {
  std::string workspace;
  std::string key;

  friend bool operator==(const NewKey&, const NewKey&) = default;
};

// Result of GenerateConfig().
struct GeneratedConfig {
  std::shared_ptr<const Config> config;
  std::vector<NewKey> new_keys;
  // Requests per second that all slots can handle at the typical service times,
  // and the sum of the workspaces' rates.
  double capacity = 0;
  double rate_sum = 0;
};

// Returns a random key of 32 hexadecimal characters (128 bits).
std::string MakeKey();

// Generates generation 1 of a site's configuration from a questionnaire (JSON
// with comments; docs/operators/configuration.md describes it). Workspaces
// without keys get one from `make_key`. Equal input gives equal output. On
// failure the message lists every problem, as with ParseConfig().
Result<GeneratedConfig> GenerateConfig(
    std::string_view text, std::string_view source,
    const std::function<std::string()>& make_key);

}  // namespace rwf
