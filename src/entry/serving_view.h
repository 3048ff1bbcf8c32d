#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/config.h"
#include "keys/key_table.h"
#include "steering/entry_selector.h"

namespace rwf {

// Immutable data derived from one configuration generation, used to serve
// requests while it is in force.
class ServingView {
 public:
  struct RouteMatch {
    size_t service = 0;  // index into Config::services
    const Route* route = nullptr;
  };

  explicit ServingView(std::shared_ptr<const Config> config);

  const Config& config() const { return *config_; }
  const std::shared_ptr<const Config>& shared_config() const { return config_; }
  const KeyTable& keys() const { return keys_; }
  const EntrySelector& entry_selector() const { return entry_selector_; }

  // Finds the route for a path whose first segment names the service: the one
  // with that method and the longest matching prefix. `route` is null if there
  // is none.
  RouteMatch MatchRoute(const std::string& method,
                        const std::string& path) const;

 private:
  std::shared_ptr<const Config> config_;
  KeyTable keys_;
  EntrySelector entry_selector_;
  std::map<std::string, size_t> service_index_;
};

}  // namespace rwf
