#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/time.h"

namespace rwf {

// A service that a route sends requests to, with its weight.
struct Backend {
  std::string service;
  int64_t weight = 1;
  friend bool operator==(const Backend&, const Backend&) = default;
};

// Destination and limits of the requests of one host and path prefix.
struct TrafficRoute {
  std::string name;
  std::string host;
  std::string prefix;  // starts and ends with a slash
  std::vector<Backend> backends;
  bool idempotent = false;
  bool open = false;  // no API key is required
  bool has_large_responses = false;
  bool sticky = false;
  int priority = 0;      // 0 is the highest
  Duration objective{};  // latency target of a response
  Duration timeout{};    // maximum time that a caller waits
  int max_attempts = 1;  // instances that one request may be sent to
  std::vector<std::string> allowed_regions;  // empty: all
  friend bool operator==(const TrafficRoute&, const TrafficRoute&) = default;
};

// A workspace as the data path sees it. A rate of zero means no limit.
struct TrafficWorkspace {
  std::string name;
  std::vector<Digest> keys;  // SHA-256 digests of the valid keys
  int priority = -1;         // -1: use the route's priority
  double rate = 0;           // requests per second across all VMs
  double burst = 0;          // requests across all VMs
  std::vector<std::string> allowed_regions;  // empty: all
  friend bool operator==(const TrafficWorkspace&,
                         const TrafficWorkspace&) = default;
};

struct TrafficService {
  std::string name;
  std::string health_path;
  int64_t max_connections = 0;  // per instance, across all VMs
  Duration cold_start{};
  double cold_rate = 0;  // requests per second that a cold instance sustains
  friend bool operator==(const TrafficService&,
                         const TrafficService&) = default;
};

// Size and time limits on requests of callers. Zero means no limit.
struct CallerLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// An immutable version of the configuration of the data path.
class Catalog {
 public:
  // Without a list of workspaces, requests need no key. With an empty one, no
  // key is valid.
  Catalog(uint64_t version, std::vector<TrafficRoute> routes,
          std::optional<std::vector<TrafficWorkspace>> workspaces,
          std::vector<TrafficService> services, CallerLimits limits);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  uint64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<TrafficRoute>& routes() const { return routes_; }
  const std::vector<TrafficWorkspace>& workspaces() const {
    return workspaces_;
  }
  // Whether requests on routes that are not open need the key of a workspace.
  bool requires_keys() const { return requires_keys_; }

  // Returns the route of `host` whose prefix is the longest match for `path`,
  // or null.
  const TrafficRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  // Returns the workspace that owns the key with this digest, or null.
  const TrafficWorkspace* FindByKey(const Digest& key) const;
  const TrafficWorkspace* FindWorkspace(const std::string& name) const;
  const TrafficService* FindService(const std::string& name) const;

 private:
  uint64_t version_;
  std::vector<TrafficRoute> routes_;
  bool requires_keys_;
  std::vector<TrafficWorkspace> workspaces_;
  std::vector<TrafficService> services_;
  CallerLimits limits_;
  // Routes by host and prefix. FindRoute() looks up a path at each of its
  // slashes.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const TrafficRoute*>>
      by_host_;
  std::unordered_map<Digest, const TrafficWorkspace*> by_key_;
  std::map<std::string, const TrafficWorkspace*> by_workspace_;
  std::map<std::string, const TrafficService*> by_service_;
};

// Regions in which a request may run. `is_any` distinguishes an unrestricted
// filter from one that allows no region.
struct RegionFilter {
  bool is_any = true;
  std::vector<std::string> regions;

  bool Allows(const std::string& region) const;
  friend bool operator==(const RegionFilter&, const RegionFilter&) = default;
};
// Returns the regions that both lists allow. An empty list allows all regions.
RegionFilter IntersectRegions(const std::vector<std::string>& a,
                              const std::vector<std::string>& b);

}  // namespace rwf
