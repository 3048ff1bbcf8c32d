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

// Section name to section text.
using SectionTexts = std::map<std::string, std::string>;

// The record that names the sections of one generation. It also carries all
// that its audit record states, so that any VM can write that record when the
// writer died after the commit.
struct Manifest {
  uint64_t generation = 0;
  Digest digest;                           // IndexDigest of the two
  std::map<std::string, Digest> sections;  // name to digest of the text
  std::string operation_id;
  std::string who;
  std::string action;
  WallTime when{};
  Digest previous_digest;  // configuration digest of the generation before
  Digest previous_audit;   // digest of the audit record before

  friend bool operator==(const Manifest&, const Manifest&) = default;
};

// Canonical JSON text. ParseManifest refuses a text whose digest does not match
// its content or that has members of a newer format.
std::string FormatManifest(const Manifest& manifest);
Result<Manifest> ParseManifest(const std::string& text);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::ReplicaErrc> : std::true_type {};
