#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/config.h"
#include "config/sections.h"

namespace rwf {

// Builds configurations from section texts. Caches the last valid
// configuration, so that only changed sections are parsed.
class SectionParser {
 public:
  // `texts` is keyed by section name. A failure leaves the cached configuration
  // unchanged.
  Result<std::shared_ptr<const Config>> Parse(
      uint64_t generation, const std::map<std::string, std::string>& texts);

 private:
  SectionIndex last_index_;
  std::shared_ptr<const Config> last_config_;
};

}  // namespace rwf
