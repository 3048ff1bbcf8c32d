#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/time.h"

namespace rwf {

// One of the services that a route sends to, with its part of the requests.
struct Backend {
  std::string service;
  int64_t weight = 1;
  friend bool operator==(const Backend&, const Backend&) = default;
};

// Where requests of one host and path prefix go and what they may cost.
struct TrafficRoute {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  std::vector<Backend> backends;
  bool idempotent = false;
  bool open = false;  // no key is needed
  bool has_large_responses = false;
  bool sticky = false;
  int priority = 0;      // 0 is the most urgent
  Duration objective{};  // an answer within it has its full value
  Duration timeout{};    // longest time a caller is kept waiting
  int max_attempts = 1;  // instances that one request may be sent to
  std::vector<std::string> allowed_regions;  // empty: all
  friend bool operator==(const TrafficRoute&, const TrafficRoute&) = default;
};

// A workspace as the data path needs it. A rate of zero is no limit.
struct TrafficWorkspace {
  std::string name;
  std::vector<Digest> keys;                  // SHA-256 of each key in force
  int priority = -1;                         // -1: that of the route counts
  double rate = 0;                           // requests a second over all VMs
  double burst = 0;                          // requests over all VMs
  std::vector<std::string> allowed_regions;  // empty: all
  friend bool operator==(const TrafficWorkspace&,
                         const TrafficWorkspace&) = default;
};

struct TrafficService {
  std::string name;
  std::string health_path;
  int64_t max_connections = 0;  // of one instance, from all VMs together
  Duration cold_start{};
  double cold_rate = 0;  // requests a second that a cold instance bears
  friend bool operator==(const TrafficService&,
                         const TrafficService&) = default;
};

// What a caller may send, and how slowly. Zero is no limit.
struct CallerLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// One version of the configuration of the data path. Immutable once built.
class Catalog {
 public:
  Catalog(uint64_t version, std::vector<TrafficRoute> routes,
          std::vector<TrafficWorkspace> workspaces,
          std::vector<TrafficService> services, CallerLimits limits);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  uint64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<TrafficRoute>& routes() const { return routes_; }
  const std::vector<TrafficWorkspace>& workspaces() const {
    return workspaces_;
  }

  // The route of `host` with the longest prefix that begins `path`.
  const TrafficRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  // The workspace that holds the key with this digest.
  const TrafficWorkspace* FindByKey(const Digest& key) const;
  const TrafficWorkspace* FindWorkspace(const std::string& name) const;
  const TrafficService* FindService(const std::string& name) const;

 private:
  uint64_t version_;
  std::vector<TrafficRoute> routes_;
  std::vector<TrafficWorkspace> workspaces_;
  std::vector<TrafficService> services_;
  CallerLimits limits_;
  // Prefix to route, by host. A path is looked up at each of its slashes.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const TrafficRoute*>>
      by_host_;
  std::unordered_map<Digest, const TrafficWorkspace*> by_key_;
  std::map<std::string, const TrafficWorkspace*> by_workspace_;
  std::map<std::string, const TrafficService*> by_service_;
};

// The regions in which both lists allow a request to run; an empty list allows
// all. `is_any` tells an unrestricted result from an empty one.
struct RegionFilter {
  bool is_any = true;
  std::vector<std::string> regions;

  bool Allows(const std::string& region) const;
  friend bool operator==(const RegionFilter&, const RegionFilter&) = default;
};
RegionFilter IntersectRegions(const std::vector<std::string>& a,
                              const std::vector<std::string>& b);

}  // namespace rwf
