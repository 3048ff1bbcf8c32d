#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "replica/manifest.h"

namespace rwf {

// Audit record of one configuration change. Accepted changes are stored under
// audit/<generation>, rejected ones under audit/rejected/<operation id>.
struct AuditRecord {
  std::string who;
  std::string action;
  WallTime when{};
  std::string operation_id;
  uint64_t from_generation = 0;
  std::string outcome;     // "accepted" or "rejected"
  std::string reason;      // of a rejection, otherwise empty
  Digest previous_digest;  // of the previous configuration
  // Of the new configuration; for a rejection, of the one in force.
  Digest digest;
  Digest previous_audit;  // of the previous accepted record

  // The generation created by an accepted change.
  uint64_t generation() const { return from_generation + 1; }

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

std::string FormatAuditRecord(const AuditRecord& record);
Result<AuditRecord> ParseAuditRecord(const std::string& text);

// Returns the digest stored as previous_audit in the next record.
Digest AuditDigest(const AuditRecord& record);

// Returns the audit record of an accepted manifest. The result is the same on
// every VM, so several VMs can safely write a missing record.
AuditRecord MakeAuditRecord(const Manifest& manifest);

// Verifies the hash chain of accepted audit records. Records are appended in
// order of generation.
class AuditChain {
 public:
  // Appends the next record. Gaps, modified records and texts that can't be
  // parsed are reported in problems().
  void Append(uint64_t generation, const std::string& text);

  const std::vector<AuditRecord>& records() const { return records_; }
  const std::vector<std::string>& problems() const { return problems_; }
  // Returns true if there are no problems and the last record is that of
  // `manifest`.
  bool EndsWith(const Manifest& manifest) const;

 private:
  std::vector<AuditRecord> records_;
  std::vector<std::string> problems_;
  uint64_t last_generation_ = 0;
  Digest last_digest_;
  bool has_last_digest_ = true;
};

}  // namespace rwf
