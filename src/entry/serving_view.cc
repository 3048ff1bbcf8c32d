#include "entry/serving_view.h"

#include <string_view>

namespace rwf {
namespace {

// True if `path` starts with `prefix` and the prefix ends at a segment
// boundary.
bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

ServingView::ServingView(std::shared_ptr<const Config> config)
    : config_(std::move(config)), keys_(*config_), entry_selector_(config_) {
  for (size_t i = 0; i < config_->services.size(); ++i) {
    service_index_[config_->services[i].name] = i;
  }
}

ServingView::RouteMatch ServingView::MatchRoute(const std::string& method,
                                                const std::string& path) const {
  if (path.empty() || path[0] != '/') return {};
  const size_t slash = path.find('/', 1);
  const auto it = service_index_.find(path.substr(1, slash - 1));
  if (it == service_index_.end()) return {};
  const std::string_view route_path =
      slash == std::string::npos ? std::string_view("/")
                                 : std::string_view(path).substr(slash);
  RouteMatch out{it->second, nullptr};
  for (const Route& route : config_->services[it->second].routes) {
    if (route.method != method || !IsPathPrefix(route.prefix, route_path))
      continue;
    if (out.route != nullptr &&
        out.route->prefix.size() >= route.prefix.size()) {
      continue;
    }
    out.route = &route;
  }
  return out;
}

}  // namespace rwf
