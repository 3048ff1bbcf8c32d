#include "config/config.h"

#include <algorithm>

namespace rwf {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& all, std::string T::*member,
                    const std::string& name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const T& element) {
    return element.*member == name;
  });
  return it == all.end() ? nullptr : &*it;
}

}  // namespace

const Zone* Config::FindZone(const std::string& name) const {
  return FindByName(zones, &Zone::name, name);
}

const EntryVm* Config::FindEntryVm(const std::string& id) const {
  return FindByName(entry_vms, &EntryVm::id, id);
}

const Service* Config::FindService(const std::string& name) const {
  return FindByName(services, &Service::name, name);
}

const Workspace* Config::FindWorkspace(const std::string& name) const {
  return FindByName(workspaces, &Workspace::name, name);
}

const Link* Config::FindLink(const std::string& from,
                             const std::string& to) const {
  const auto it = std::find_if(
      links.begin(), links.end(),
      [&](const Link& link) { return link.from == from && link.to == to; });
  return it == links.end() ? nullptr : &*it;
}

bool Config::IsDraining(DrainKind kind, const std::string& id) const {
  return std::find(drains.begin(), drains.end(), Drain{kind, id}) !=
         drains.end();
}

}  // namespace rwf
