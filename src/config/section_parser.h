#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/config.h"
#include "config/sections.h"

namespace rwf {

// Builds configurations from section texts. Remembers the last one that was
// valid, so that the next one costs only what has changed.
class SectionParser {
 public:
  // `texts` by section name. A failure leaves the remembered one alone.
  Result<std::shared_ptr<const Config>> Parse(
      uint64_t generation, const std::map<std::string, std::string>& texts);

 private:
  SectionIndex last_index_;
  std::shared_ptr<const Config> last_config_;
};

}  // namespace rwf
