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
  // Elements are identified by name, not by position.
  std::string path;
  DiffKind kind = DiffKind::kChanged;
  Json before;  // null when added
  Json after;   // null when removed

  friend bool operator==(const DiffEntry&, const DiffEntry&) = default;
};

// Returns the differences by section, ignoring the generation. Empty if and
// only if both are otherwise equal. A changed order of a list whose order is
// significant, such as the share ring, is a separate entry.
std::vector<DiffEntry> DiffConfigs(const Config& before, const Config& after);

// Returns an object with the members path, kind, before and after.
Json ToJson(const DiffEntry& entry);

}  // namespace rwf
