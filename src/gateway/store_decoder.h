#pragma once

#include <memory>
#include <string>
#include <variant>

#include "replica/revision_store.h"
#include "traffic/catalog.h"
#include "traffic/instance_registry.h"

namespace rwf {

// An instance as it lists itself.
struct InstanceEntry {
  InstanceInfo info;
  Duration
      cold_remaining{};  // time until it is warm, when the entry was written
  int64_t sequence = 0;  // grows with each entry of one start
};

// A zone whose instances get nothing more, until the entry is removed.
struct EvacuatedZone {
  std::string zone;
};

// An entry that names something of this platform but can't be used.
struct UnusableEntry {
  std::string reason;
  std::string instance;  // whose entry it is, if it is one of an instance
};

// A key that means nothing to the data path.
struct UnrelatedEntry {};

using StoreChange = std::variant<UnrelatedEntry, std::shared_ptr<const Catalog>,
                                 InstanceEntry, EvacuatedZone, UnusableEntry>;

struct RemovedInstance {
  std::string id;
};
struct EndedEvacuation {
  std::string zone;
};
using StoreRemoval =
    std::variant<UnrelatedEntry, RemovedInstance, EndedEvacuation>;

// Turns the platform's entries into the product's values.
class StoreDecoder {
 public:
  virtual ~StoreDecoder() = default;
  virtual StoreChange Decode(const StoreItem& item) const = 0;
  virtual StoreRemoval DecodeRemoval(const std::string& key) const = 0;
};

}  // namespace rwf
