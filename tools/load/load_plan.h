#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "net/http_client.h"

namespace rwf {

// The parts of a configuration that the load generator uses.
struct LoadPlan {
  struct Route {
    std::string method;
    std::string prefix;
    bool is_idempotent = true;
    bool is_open = false;
    Duration max_timeout{};
    double weight = 1;
  };
  struct Service {
    std::string name;
    std::vector<Route> routes;
    std::vector<HttpTarget> upstreams;
    double weight = 0;  // slots of all upstreams
  };
  struct Workspace {
    std::string name;
    double rate = 0;
    double burst = 0;
    std::string key;
  };
  struct EntryVm {
    std::string id;
    HttpTarget target;
  };
  struct Block {
    uint32_t address = 0;
    int prefix_length = 0;
  };

  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  std::vector<EntryVm> entry_vms;
  std::vector<Block> client_blocks;

  // Returns a random address from the client blocks.
  std::string RandomClientAddress(std::mt19937_64* random) const;
};

// Reads a configuration document and a file of keys {workspace: key}. Unused
// members are ignored; `rwf check` validates them.
Result<LoadPlan> ReadLoadPlan(const Json& config, const Json& keys);

}  // namespace rwf
