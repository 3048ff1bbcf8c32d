#pragma once

#include <string>
#include <vector>

#include "base/json_reader.h"
#include "config/config.h"

namespace rwf {

enum class DiffKind { kAdded, kRemoved, kChanged };
const char* ToText(DiffKind kind);

// One difference between two configurations.
struct DiffEntry {
  // Section, then names of elements and members, e.g. /workspaces/acme/rate.
  // Elements stand by their name, not their place.
  std::string path;
  DiffKind kind = DiffKind::kChanged;
  Json before;  // null when added
  Json after;   // null when removed

  friend bool operator==(const DiffEntry&, const DiffEntry&) = default;
};

// What changed from `before` to `after`, by section, without the generation.
// Empty exactly when both are equal apart from it. Where the order has a
// meaning, as in the share ring, a changed order is an entry of its own.
std::vector<DiffEntry> DiffConfigs(const Config& before, const Config& after);

// {"path", "kind", "before", "after"}.
Json ToJson(const DiffEntry& entry);

}  // namespace rwf
