#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"
#include "config/sections.h"

namespace rwf {

enum class ReplicaErrc { kBadManifest = 1, kBadAuditRecord, kInvalidConfig };
std::error_code make_error_code(ReplicaErrc code);

// Store keys.
inline constexpr char kManifestKey[] = "config/manifest";
inline constexpr char kWithdrawnKeysKey[] = "keys/withdrawn";
std::string SectionKey(const Digest& digest);
std::string AuditKey(uint64_t generation);  // sorts by generation
std::string RejectedAuditKey(const std::string& operation_id);

// Maps section names to section texts.
using SectionTexts = std::map<std::string, std::string>;

// Lists the sections of one generation. It also contains all fields of its
// audit record, so that any VM can write that record if the writer fails after
// the commit.
struct Manifest {
  uint64_t generation = 0;
  Digest digest;  // IndexDigest of generation and sections
  std::map<std::string, Digest> sections;  // digests of texts by name
  std::string operation_id;
  std::string who;
  std::string action;
  WallTime when{};
  Digest previous_digest;  // of the previous configuration
  Digest previous_audit;   // of the previous audit record

  friend bool operator==(const Manifest&, const Manifest&) = default;
};

// Canonical JSON. ParseManifest rejects manifests whose digest does not match
// the content or that have unknown members, which a newer format may add.
std::string FormatManifest(const Manifest& manifest);
Result<Manifest> ParseManifest(const std::string& text);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::ReplicaErrc> : std::true_type {};
