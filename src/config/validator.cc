#include "config/validator.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "config/codec.h"

namespace rwf {
namespace {

template <typename... Args>
std::string Pointer(fmt::format_string<Args...> text, Args&&... args) {
  return fmt::format(text, std::forward<Args>(args)...);
}

class Validator {
 public:
  Validator(const Config& config, std::vector<JsonProblem>* problems)
      : config_(config), problems_(problems) {
    for (const Zone& it : config.zones)
      region_of_zone_.emplace(it.name, it.region);
  }

  void Run() {
    CheckNotEmpty();
    CheckRegionsAndZones();
    CheckLinks();
    CheckEntryVms();
    CheckServices();
    CheckWorkspaces();
    CheckClientBlocks();
    CheckMoves();
    CheckDrains();
  }

 private:
  void Add(std::string pointer, std::string message) {
    problems_->push_back({std::move(pointer), std::move(message)});
  }

  bool IsZone(const std::string& name) const {
    return region_of_zone_.contains(name);
  }

  bool IsRegion(const std::string& name) const {
    return std::find(config_.regions.begin(), config_.regions.end(),
                     Region{name}) != config_.regions.end();
  }

  bool IsZoneDraining(const std::string& name) const {
    const auto it = region_of_zone_.find(name);
    return config_.IsDraining(DrainKind::kZone, name) ||
           (it != region_of_zone_.end() &&
            config_.IsDraining(DrainKind::kRegion, it->second));
  }

  void CheckZone(const std::string& pointer, const std::string& name) {
    if (!IsZone(name))
      Add(pointer, fmt::format("unknown zone {}, expected one of: {}", name,
                               JoinNames(config_.zones, &Zone::name)));
  }

  void CheckRegion(const std::string& pointer, const std::string& name) {
    if (!IsRegion(name))
      Add(pointer, fmt::format("unknown region {}, expected one of: {}", name,
                               JoinNames(config_.regions, &Region::name)));
  }

  template <typename T>
  static std::string JoinNames(const std::vector<T>& all,
                               std::string T::*member) {
    static constexpr size_t kMaxListed = 20;
    std::string out;
    for (size_t i = 0; i < all.size() && i < kMaxListed; ++i)
      out += fmt::format("{}{}", i == 0 ? "" : ", ", all[i].*member);
    return all.size() > kMaxListed ? out + ", ..." : out;
  }

  // Reports `name` if it is already in `seen`.
  void CheckUnique(std::map<std::string, std::string>* seen,
                   const std::string& name, const std::string& pointer) {
    const auto [it, is_new] = seen->emplace(name, pointer);
    if (!is_new)
      Add(pointer,
          fmt::format("duplicate {}, first used at {}", name, it->second));
  }

  template <typename T>
  void CheckUniqueNames(const char* section, const char* member_name,
                        const std::vector<T>& all, std::string T::*member) {
    std::map<std::string, std::string> seen;
    for (size_t i = 0; i < all.size(); ++i)
      CheckUnique(&seen, all[i].*member,
                  Pointer("/{}/{}/{}", section, i, member_name));
  }

  void CheckNotEmpty() {
    const std::pair<const char*, bool> sections[] = {
        {"/regions", config_.regions.empty()},
        {"/zones", config_.zones.empty()},
        {"/entry_vms", config_.entry_vms.empty()},
        {"/services", config_.services.empty()},
        {"/workspaces", config_.workspaces.empty()},
    };
    for (const auto& [pointer, is_empty] : sections) {
      if (is_empty) Add(pointer, "found no entries, expected at least one");
    }
  }

  void CheckRegionsAndZones() {
    CheckUniqueNames("regions", "name", config_.regions, &Region::name);
    CheckUniqueNames("zones", "name", config_.zones, &Zone::name);
    for (size_t i = 0; i < config_.zones.size(); ++i)
      CheckRegion(Pointer("/zones/{}/region", i), config_.zones[i].region);
  }

  void CheckLinks() {
    std::set<std::pair<std::string, std::string>> directions;
    std::map<std::string, int64_t> egress;
    for (const Link& it : config_.links) directions.insert({it.from, it.to});
    std::set<std::pair<std::string, std::string>> earlier;
    for (size_t i = 0; i < config_.links.size(); ++i) {
      const Link& it = config_.links[i];
      const std::string pointer = Pointer("/links/{}", i);
      CheckRegion(pointer + "/from", it.from);
      CheckRegion(pointer + "/to", it.to);
      if (it.from == it.to)
        Add(pointer + "/to",
            "found the region that the link starts from, "
            "expected another region");
      if (!earlier.insert({it.from, it.to}).second)
        Add(pointer,
            fmt::format("duplicate link from {} to {}", it.from, it.to));
      if (!directions.contains({it.to, it.from}))
        Add(pointer,
            fmt::format("found no link from {} to {}, expected one for "
                        "each direction",
                        it.to, it.from));
      int64_t& sum = egress[it.from];
      const int64_t before = sum;
      sum += it.bytes_per_second;
      if (sum > kMaxRegionEgressBytesPerSecond &&
          before <= kMaxRegionEgressBytesPerSecond)
        Add(pointer + "/bytes_per_second",
            fmt::format("found {} bytes/s as the sum of links out of {}, "
                        "expected at most {}",
                        sum, it.from, kMaxRegionEgressBytesPerSecond));
    }
  }

  void CheckEndpoint(const std::string& address, uint16_t port,
                     const std::string& pointer) {
    const auto [it, is_new] =
        endpoints_.emplace(std::pair(address, port), pointer);
    if (!is_new)
      Add(pointer, fmt::format("found {}:{}, which is already used at {}",
                               address, port, it->second));
  }

  void CheckEntryVms() {
    CheckUniqueNames("entry_vms", "id", config_.entry_vms, &EntryVm::id);
    bool has_active = false;
    for (size_t i = 0; i < config_.entry_vms.size(); ++i) {
      const EntryVm& it = config_.entry_vms[i];
      const std::string pointer = Pointer("/entry_vms/{}", i);
      CheckZone(pointer + "/zone", it.zone);
      // The replacement of a destroyed VM may reuse its address.
      if (it.retired) continue;
      if (it.weight > 0) has_active = true;
      zones_with_entry_vm_.insert(it.zone);
      CheckEndpoint(it.address, it.caller_port, pointer + "/caller_port");
      CheckEndpoint(it.address, it.peer_port, pointer + "/peer_port");
      CheckEndpoint(it.address, it.operator_port, pointer + "/operator_port");
    }
    if (!has_active && !config_.entry_vms.empty())
      Add("/entry_vms",
          "every entry VM is retired or has weight 0, expected at least one "
          "that is not");
  }

  void CheckServices() {
    CheckUniqueNames("services", "name", config_.services, &Service::name);
    std::map<std::string, std::string> ids;
    std::set<std::string> reported_zones;
    for (size_t i = 0; i < config_.services.size(); ++i) {
      const Service& service = config_.services[i];
      const std::string pointer = Pointer("/services/{}", i);
      if (service.routes.empty())
        Add(pointer + "/routes", "found no routes, expected at least one");
      if (service.upstreams.empty())
        Add(pointer + "/upstreams",
            "found no upstreams, expected at least one");
      std::map<std::string, std::string> routes;
      for (size_t j = 0; j < service.routes.size(); ++j) {
        const Route& it = service.routes[j];
        CheckUnique(&routes, it.method + " " + it.prefix,
                    Pointer("{}/routes/{}", pointer, j));
      }
      for (size_t j = 0; j < service.upstreams.size(); ++j) {
        const Upstream& it = service.upstreams[j];
        const std::string at = Pointer("{}/upstreams/{}", pointer, j);
        CheckUnique(&ids, it.id, at + "/id");
        CheckZone(at + "/zone", it.zone);
        CheckEndpoint(it.address, it.port, at + "/port");
        if (!IsZone(it.zone) || zones_with_entry_vm_.contains(it.zone) ||
            !reported_zones.insert(it.zone).second)
          continue;
        Add(at + "/zone",
            fmt::format("zone {} has upstreams but no entry VM in force, "
                        "expected at least one, since slots are shared by the "
                        "entry VMs of their zone",
                        it.zone));
      }
    }
  }

  void CheckWorkspaces() {
    CheckUniqueNames("workspaces", "name", config_.workspaces,
                     &Workspace::name);
    std::map<std::string, std::string> keys;
    for (size_t i = 0; i < config_.workspaces.size(); ++i) {
      const Workspace& it = config_.workspaces[i];
      if (it.keys.empty())
        Add(Pointer("/workspaces/{}/keys", i),
            "found no keys, expected at least one");
      for (size_t j = 0; j < it.keys.size(); ++j)
        CheckUnique(&keys, ToHex(it.keys[j]),
                    Pointer("/workspaces/{}/keys/{}", i, j));
    }
    std::map<std::string, std::string> withdrawn;
    for (size_t i = 0; i < config_.withdrawn_keys.size(); ++i)
      CheckUnique(&withdrawn, ToHex(config_.withdrawn_keys[i]),
                  Pointer("/withdrawn_keys/{}", i));
  }

  void CheckClientBlocks() {
    const auto& blocks = config_.client_blocks;
    // Assembled configurations are sorted, and a set of 360,000 blocks would
    // cost more than all other checks together.
    const bool is_sorted = std::is_sorted(blocks.begin(), blocks.end());
    std::unordered_set<uint64_t> seen;
    const std::string* known_zone = nullptr;
    for (size_t i = 0; i < blocks.size(); ++i) {
      const ClientBlock& it = blocks[i];
      const bool is_duplicate =
          is_sorted ? i > 0 && it.address == blocks[i - 1].address &&
                          it.prefix_length == blocks[i - 1].prefix_length
                    : !seen.insert(uint64_t{it.address} << 8 | it.prefix_length)
                           .second;
      if (is_duplicate)
        Add(Pointer("/client_blocks/{}/block", i),
            fmt::format("duplicate {}", FormatBlock(it)));
      if (known_zone != nullptr && *known_zone == it.zone) continue;
      if (IsZone(it.zone))
        known_zone = &it.zone;
      else
        CheckZone(Pointer("/client_blocks/{}/zone", i), it.zone);
    }
  }

  void CheckMoves() {
    CheckUniqueNames("moves", "id", config_.moves, &Move::id);
    std::map<std::string, std::string> sources;
    for (size_t i = 0; i < config_.moves.size(); ++i) {
      const Move& it = config_.moves[i];
      const std::string pointer = Pointer("/moves/{}", i);
      CheckZone(pointer + "/from", it.from);
      CheckZone(pointer + "/to", it.to);
      const Service* service = config_.FindService(it.service);
      if (service == nullptr)
        Add(pointer + "/service",
            fmt::format("unknown service {}, expected one of: {}", it.service,
                        JoinNames(config_.services, &Service::name)));
      if (it.from == it.to)
        Add(pointer + "/to",
            fmt::format("found zone {}, which is the source of the move, "
                        "expected another zone",
                        it.to));
      if (it.step_percent > it.percent)
        Add(pointer + "/step_percent",
            fmt::format("found {}, expected at most the {} percent of the "
                        "whole move",
                        it.step_percent, it.percent));
      if (it.step > 0 &&
          static_cast<double>(it.step - 1) * it.step_percent >= it.percent)
        Add(pointer + "/step",
            fmt::format("found {}, which is beyond the last step of {} percent "
                        "in steps of {}",
                        it.step, it.percent, it.step_percent));
      const Duration min_interval = config_.limits.lookup_ttl + kMoveStepMargin;
      if (it.step_interval < min_interval)
        Add(pointer + "/step_interval_s",
            fmt::format("found {:g} s, expected at least {:g} s (look-up TTL "
                        "plus 3 s)",
                        ToSeconds(it.step_interval), ToSeconds(min_interval)));
      // A stopped move shifts no clients.
      if (it.state == MoveState::kStopped) continue;
      if (IsZoneDraining(it.to))
        Add(pointer + "/to",
            fmt::format("zone {} is draining, expected a zone that is not",
                        it.to));
      const std::string key = it.service + " from zone " + it.from;
      const auto [other, is_new] = sources.emplace(key, pointer);
      if (!is_new)
        Add(pointer, fmt::format("found a second move of {} that is not "
                                 "stopped, the first is {}",
                                 key, other->second));
      if (service != nullptr && it.from != it.to)
        CheckTargetCapacity(*service, it, pointer);
    }
  }

  void CheckTargetCapacity(const Service& service, const Move& move,
                           const std::string& pointer) {
    const int64_t source_slots = SlotsInZone(service, move.from);
    const int64_t target_slots = SlotsInZone(service, move.to);
    const double needed_slots =
        move.percent / 100 * static_cast<double>(source_slots);
    if (static_cast<double>(target_slots) >= needed_slots && target_slots > 0)
      return;
    Add(pointer + "/to",
        fmt::format("zone {} has {} slots of {}, expected at least {:g} ({} "
                    "percent of the {} slots of zone {})",
                    move.to, target_slots, service.name,
                    std::max(needed_slots, 1.0), move.percent, source_slots,
                    move.from));
  }

  bool IsDrainTarget(const Drain& drain) const {
    switch (drain.kind) {
      case DrainKind::kZone:
        return IsZone(drain.id);
      case DrainKind::kRegion:
        return IsRegion(drain.id);
      case DrainKind::kEntryVm:
        return config_.FindEntryVm(drain.id) != nullptr;
      case DrainKind::kUpstream:
        break;
    }
    return std::any_of(
        config_.services.begin(), config_.services.end(),
        [&](const Service& s) {
          return std::any_of(
              s.upstreams.begin(), s.upstreams.end(),
              [&](const Upstream& it) { return it.id == drain.id; });
        });
  }

  void CheckDrains() {
    std::set<Drain> seen;
    for (size_t i = 0; i < config_.drains.size(); ++i) {
      const Drain& it = config_.drains[i];
      const std::string pointer = Pointer("/drains/{}/id", i);
      if (!IsDrainTarget(it))
        Add(pointer, fmt::format("unknown {} {}", ToText(it.kind), it.id));
      if (!seen.insert(it).second)
        Add(pointer,
            fmt::format("duplicate drain of {} {}", ToText(it.kind), it.id));
    }
    if (config_.drains.empty()) return;
    for (const Service& service : config_.services) {
      const bool has_upstream = std::any_of(
          service.upstreams.begin(), service.upstreams.end(),
          [&](const Upstream& it) { return !IsUpstreamDraining(config_, it); });
      if (!has_upstream && !service.upstreams.empty())
        Add("/drains", fmt::format("the drains leave service {} without any "
                                   "upstream, expected at least one",
                                   service.name));
    }
    const bool has_entry_vm =
        std::any_of(config_.entry_vms.begin(), config_.entry_vms.end(),
                    [&](const EntryVm& it) {
                      return !it.retired && !IsZoneDraining(it.zone) &&
                             !config_.IsDraining(DrainKind::kEntryVm, it.id);
                    });
    if (!has_entry_vm && !config_.entry_vms.empty())
      Add("/drains", "the drains leave no entry VM, expected at least one");
  }

  const Config& config_;
  std::vector<JsonProblem>* problems_;
  std::unordered_map<std::string, std::string> region_of_zone_;
  std::set<std::string> zones_with_entry_vm_;
  std::map<std::pair<std::string, uint16_t>, std::string> endpoints_;
};

}  // namespace

void ValidateConfig(const Config& config, std::vector<JsonProblem>* problems) {
  Validator(config, problems).Run();
}

int64_t SlotsInZone(const Service& service, const std::string& zone) {
  int64_t sum = 0;
  for (const Upstream& it : service.upstreams) {
    if (it.zone == zone) sum += it.slots;
  }
  return sum;
}

bool IsUpstreamDraining(const Config& config, const Upstream& upstream) {
  if (config.drains.empty()) return false;
  if (config.IsDraining(DrainKind::kUpstream, upstream.id) ||
      config.IsDraining(DrainKind::kZone, upstream.zone))
    return true;
  const Zone* zone = config.FindZone(upstream.zone);
  return zone != nullptr && config.IsDraining(DrainKind::kRegion, zone->region);
}

}  // namespace rwf
