#pragma once

#include <memory>
#include <string>
#include <variant>

#include "replica/revision_store.h"
#include "traffic/catalog.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Entry that an instance writes for itself.
struct InstanceEntry {
  InstanceInfo info;
  Duration cold_remaining{};  // time until it is warm, as of the write
  int64_t sequence = 0;       // increases with each write of one process
};

// A zone whose instances receive no requests until the entry is removed.
struct EvacuatedZone {
  std::string zone;
};

// An entry of this platform that cannot be decoded.
struct UnusableEntry {
  std::string reason;
  std::string instance;  // id of the instance, if it is an instance entry
};

// An entry that the data path does not use.
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

// Decodes entries of the platform's store into values of the data path.
class StoreDecoder {
 public:
  virtual ~StoreDecoder() = default;
  virtual StoreChange Decode(const StoreItem& item) const = 0;
  virtual StoreRemoval DecodeRemoval(const std::string& key) const = 0;
};

}  // namespace rwf
