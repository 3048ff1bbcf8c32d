#include "traffic/catalog.h"

#include <algorithm>
#include <cctype>

namespace rwf {
namespace {

std::string Lower(std::string_view text) {
  std::string out(text);
  for (char& it : out)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return out;
}

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

Catalog::Catalog(uint64_t version, std::vector<TrafficRoute> routes,
                 std::optional<std::vector<TrafficWorkspace>> workspaces,
                 std::vector<TrafficService> services, CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      requires_keys_(workspaces.has_value()),
      workspaces_(workspaces ? std::move(*workspaces)
                             : std::vector<TrafficWorkspace>()),
      services_(std::move(services)),
      limits_(limits) {
  for (const TrafficRoute& it : routes_)
    by_host_[Lower(it.host)][it.prefix] = &it;
  for (const TrafficWorkspace& it : workspaces_) {
    by_workspace_[it.name] = &it;
    for (const Digest& key : it.keys) by_key_[key] = &it;
  }
  for (const TrafficService& it : services_) by_service_[it.name] = &it;
}

const TrafficRoute* Catalog::FindRoute(std::string_view host,
                                       std::string_view path) const {
  const auto found = by_host_.find(Lower(host.substr(0, host.find(':'))));
  if (found == by_host_.end()) return nullptr;
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto it = found->second.find(std::string(path.substr(0, end + 1)));
    if (it != found->second.end()) return it->second;
    if (end == 0) break;
  }
  return nullptr;
}

const TrafficWorkspace* Catalog::FindByKey(const Digest& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

const TrafficWorkspace* Catalog::FindWorkspace(const std::string& name) const {
  const auto it = by_workspace_.find(name);
  return it == by_workspace_.end() ? nullptr : it->second;
}

const TrafficService* Catalog::FindService(const std::string& name) const {
  const auto it = by_service_.find(name);
  return it == by_service_.end() ? nullptr : it->second;
}

bool RegionFilter::Allows(const std::string& region) const {
  return is_any || Contains(regions, region);
}

RegionFilter IntersectRegions(const std::vector<std::string>& a,
                              const std::vector<std::string>& b) {
  if (a.empty() && b.empty()) return {};
  if (a.empty()) return {false, b};
  if (b.empty()) return {false, a};
  RegionFilter out{false, {}};
  for (const std::string& it : a) {
    if (Contains(b, it)) out.regions.push_back(it);
  }
  return out;
}

}  // namespace rwf
