#pragma once

#include <map>
#include <string>
#include <vector>

#include "traffic/catalog.h"

namespace rwf {

// Distributes the requests of a route over its services exactly by weight,
// using smooth weighted round robin.
class BackendPicker {
 public:
  const std::string& Pick(const TrafficRoute& route);

 private:
  struct State {
    std::vector<Backend> backends;
    std::vector<int64_t> credit;
  };
  std::map<std::string, State> states_;
};

}  // namespace rwf
