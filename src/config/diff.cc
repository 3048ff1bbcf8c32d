#include "config/diff.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <string_view>
#include <utility>

#include "config/codec.h"

namespace rwf {
namespace {

// The members that identify an element of `list`. Elements of other lists
// (keys) are strings and identify themselves.
const std::vector<const char*>& KeyMembers(std::string_view list) {
  static const std::map<std::string_view, std::vector<const char*>> kMembers = {
      {"regions", {"name"}},     {"zones", {"name"}},
      {"links", {"from", "to"}}, {"entry_vms", {"id"}},
      {"services", {"name"}},    {"routes", {"method", "prefix"}},
      {"upstreams", {"id"}},     {"workspaces", {"name"}},
      {"moves", {"id"}},         {"drains", {"kind", "id"}},
  };
  static const std::vector<const char*> kNone;
  const auto it = kMembers.find(list);
  return it == kMembers.end() ? kNone : it->second;
}

std::string KeyOf(std::string_view list, const Json& element) {
  if (element.is_string()) return element.get<std::string>();
  std::string out;
  for (const char* member : KeyMembers(list)) {
    if (!out.empty()) out += " ";
    out += element[member].get_ref<const std::string&>();
  }
  return out;
}

std::string Join(const std::string& path, const std::string& name) {
  return fmt::format("{}/{}", path, name);
}

class Differ {
 public:
  void Compare(const std::string& path, std::string_view name,
               const Json& before, const Json& after) {
    if (before == after) return;
    if (before.is_array() && after.is_array()) {
      CompareLists(path, name, before, after);
    } else if (before.is_object() && after.is_object()) {
      // The same codec wrote both, so they have the same members.
      for (const auto& [member, value] : before.items())
        Compare(Join(path, member), member, value, after.at(member));
    } else {
      out_.push_back({path, DiffKind::kChanged, before, after});
    }
  }

  // Compares blocks without converting them to JSON: there may be 360,000 of
  // them.
  void CompareBlocks(const std::vector<ClientBlock>& before,
                     const std::vector<ClientBlock>& after) {
    auto a = before.begin();
    auto b = after.begin();
    const auto key = [](const ClientBlock& it) {
      return std::pair(it.address, it.prefix_length);
    };
    while (a != before.end() || b != after.end()) {
      const bool takes_a =
          a != before.end() && (b == after.end() || key(*a) <= key(*b));
      const bool takes_b =
          b != after.end() && (a == before.end() || key(*b) <= key(*a));
      if (!takes_a || !takes_b || a->zone != b->zone)
        AddBlock(takes_a ? &*a : nullptr, takes_b ? &*b : nullptr);
      if (takes_a) ++a;
      if (takes_b) ++b;
    }
  }

  std::vector<DiffEntry> Take() { return std::move(out_); }

 private:
  void AddBlock(const ClientBlock* before, const ClientBlock* after) {
    const std::string path =
        "/client_blocks/" + FormatBlock(before != nullptr ? *before : *after);
    if (before == nullptr)
      out_.push_back({path, DiffKind::kAdded, nullptr, after->zone});
    else if (after == nullptr)
      out_.push_back({path, DiffKind::kRemoved, before->zone, nullptr});
    else
      out_.push_back(
          {path + "/zone", DiffKind::kChanged, before->zone, after->zone});
  }

  void CompareLists(const std::string& path, std::string_view name,
                    const Json& before, const Json& after) {
    std::map<std::string, const Json*> old_elements;
    std::map<std::string, const Json*> new_elements;
    for (const Json& it : before) old_elements[KeyOf(name, it)] = &it;
    for (const Json& it : after) new_elements[KeyOf(name, it)] = &it;
    std::vector<std::string> old_order;
    for (const Json& it : before) {
      const std::string key = KeyOf(name, it);
      const auto other = new_elements.find(key);
      if (other == new_elements.end()) {
        out_.push_back({Join(path, key), DiffKind::kRemoved, it, nullptr});
        continue;
      }
      old_order.push_back(key);
      Compare(Join(path, key), "", it, *other->second);
    }
    std::vector<std::string> new_order;
    for (const Json& it : after) {
      const std::string key = KeyOf(name, it);
      if (old_elements.contains(key))
        new_order.push_back(key);
      else
        out_.push_back({Join(path, key), DiffKind::kAdded, nullptr, it});
    }
    CompareOrder(path, name, {old_order, new_order}, {before, after});
  }

  // Reports a changed order of the elements that both lists have and, in the
  // share ring, an element inserted anywhere but at the end.
  void CompareOrder(const std::string& path, std::string_view name,
                    const std::pair<std::vector<std::string>,
                                    std::vector<std::string>>& common,
                    const std::pair<const Json&, const Json&>& lists) {
    const bool is_ring = name == "entry_vms";
    std::vector<std::string> all_before;
    std::vector<std::string> all_after;
    for (const Json& it : lists.first) all_before.push_back(KeyOf(name, it));
    for (const Json& it : lists.second) all_after.push_back(KeyOf(name, it));
    const bool is_inserted =
        is_ring && all_after.size() > common.second.size() &&
        !std::equal(common.second.begin(), common.second.end(),
                    all_after.begin());
    if (common.first != common.second || is_inserted)
      out_.push_back({path, DiffKind::kChanged, all_before, all_after});
  }

  std::vector<DiffEntry> out_;
};

}  // namespace

const char* ToText(DiffKind kind) {
  switch (kind) {
    case DiffKind::kAdded:
      return "added";
    case DiffKind::kRemoved:
      return "removed";
    case DiffKind::kChanged:
      return "changed";
  }
  return "";
}

std::vector<DiffEntry> DiffConfigs(const Config& before, const Config& after) {
  Differ differ;
  for (const SectionCodec& it : SectionCodecs()) {
    if (std::string_view(it.name) == "client_blocks")
      differ.CompareBlocks(before.client_blocks, after.client_blocks);
    else
      differ.Compare(fmt::format("/{}", it.name), it.name, it.write(before),
                     it.write(after));
  }
  return differ.Take();
}

Json ToJson(const DiffEntry& entry) {
  return {{"path", entry.path},
          {"kind", ToText(entry.kind)},
          {"before", entry.before},
          {"after", entry.after}};
}

}  // namespace rwf
