#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/time.h"

namespace rwf {

// A region: availability zones that share the links to other regions.
struct Region {
  std::string name;

  friend bool operator==(const Region&, const Region&) = default;
  friend auto operator<=>(const Region&, const Region&) = default;
};

struct Zone {
  std::string name;
  std::string region;

  friend bool operator==(const Zone&, const Zone&) = default;
  friend auto operator<=>(const Zone&, const Zone&) = default;
};

// One direction of the link between two regions.
struct Link {
  std::string from;  // region
  std::string to;    // region
  int64_t bytes_per_second = 0;
  Duration one_way{};

  friend bool operator==(const Link&, const Link&) = default;
  friend auto operator<=>(const Link&, const Link&) = default;
};

// A VM that runs redwingferryd. The order of entry VMs in the configuration
// defines the share ring.
struct EntryVm {
  std::string id;
  std::string zone;
  std::string address;  // IPv4
  uint16_t caller_port = 0;
  uint16_t peer_port = 0;
  uint16_t operator_port = 0;
  int64_t weight = 1;
  // Set by an operator once the VM is destroyed: it is no longer a member, and
  // other VMs' shares grow without waiting for it.
  bool retired = false;

  friend bool operator==(const EntryVm&, const EntryVm&) = default;
  friend auto operator<=>(const EntryVm&, const EntryVm&) = default;
};

// One instance of a service.
struct Upstream {
  std::string id;
  std::string zone;
  std::string address;  // IPv4
  uint16_t port = 0;
  int64_t slots = 0;        // maximum concurrent requests
  int64_t connections = 0;  // maximum open connections

  friend bool operator==(const Upstream&, const Upstream&) = default;
  friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

struct Route {
  std::string method;  // GET, POST, PUT, DELETE, HEAD or PATCH
  std::string prefix;  // of the path below the service, with its leading slash
  bool idempotent = true;
  bool open = false;  // no key required
  Duration max_timeout{};
  // Maximum time without contact to the store or an up-to-date peer for which
  // keys are still accepted.
  Duration key_staleness_limit{};

  friend bool operator==(const Route&, const Route&) = default;
  friend auto operator<=>(const Route&, const Route&) = default;
};

struct Service {
  std::string name;
  std::vector<Route> routes;
  std::vector<Upstream> upstreams;

  friend bool operator==(const Service&, const Service&) = default;
  friend auto operator<=>(const Service&, const Service&) = default;
};

struct Workspace {
  std::string name;
  double rate = 0;    // requests per second, fleet-wide
  int64_t burst = 0;  // requests, fleet-wide
  int64_t weight = 1;
  std::vector<Digest> keys;  // SHA-256 of each valid key

  friend bool operator==(const Workspace&, const Workspace&) = default;
  friend auto operator<=>(const Workspace&, const Workspace&) = default;
};

// An IPv4 block of clients and the zone that they are steered to.
struct ClientBlock {
  uint32_t address = 0;  // host byte order, bits below the prefix are zero
  uint8_t prefix_length = 0;
  std::string zone;

  friend bool operator==(const ClientBlock&, const ClientBlock&) = default;
  friend auto operator<=>(const ClientBlock&, const ClientBlock&) = default;
};

enum class MoveState { kRunning, kPaused, kStopped };

// A planned shift of a percentage of one zone's clients to another zone, in
// steps.
struct Move {
  std::string id;
  std::string service;
  std::string from;         // zone
  std::string to;           // zone
  double percent = 0;       // of the clients of `from`, after the last step
  double step_percent = 0;  // added by each step
  // Maximum percentage of busy slots of `to` at which a step is taken.
  double cap_percent = 0;
  Duration step_interval{};
  int64_t step = 0;
  MoveState state = MoveState::kPaused;

  friend bool operator==(const Move&, const Move&) = default;
  friend auto operator<=>(const Move&, const Move&) = default;
};

enum class DrainKind { kUpstream, kZone, kRegion, kEntryVm };

// The target, identified by kind and id, gets no new work.
struct Drain {
  DrainKind kind = DrainKind::kUpstream;
  std::string id;

  friend bool operator==(const Drain&, const Drain&) = default;
  friend auto operator<=>(const Drain&, const Drain&) = default;
};

struct Limits {
  Duration lookup_ttl = std::chrono::seconds(5);
  int64_t max_request_bytes = 1 << 20;
  int64_t max_response_bytes = 8 << 20;
  int64_t queue_per_workspace = 128;

  friend bool operator==(const Limits&, const Limits&) = default;
  friend auto operator<=>(const Limits&, const Limits&) = default;
};

// One generation of the configuration. Immutable once built by ParseConfig()
// and shared by pointer to const.
struct Config {
  std::string site;
  uint64_t generation = 0;
  std::vector<Region> regions;
  std::vector<Zone> zones;
  std::vector<Link> links;
  std::vector<EntryVm> entry_vms;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  std::vector<Digest> withdrawn_keys;
  std::vector<ClientBlock> client_blocks;
  std::vector<Move> moves;
  std::vector<Drain> drains;
  Limits limits;

  friend bool operator==(const Config&, const Config&) = default;

  // Linear searches by name. Return nullptr if nothing is found.
  const Zone* FindZone(const std::string& name) const;
  const EntryVm* FindEntryVm(const std::string& id) const;
  const Service* FindService(const std::string& name) const;
  const Workspace* FindWorkspace(const std::string& name) const;
  const Link* FindLink(const std::string& from, const std::string& to) const;
  bool IsDraining(DrainKind kind, const std::string& id) const;
};

}  // namespace rwf
