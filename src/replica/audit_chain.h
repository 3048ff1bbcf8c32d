#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "replica/manifest.h"

namespace rwf {

// One change, accepted (key audit/<generation>) or rejected (key
// audit/rejected/<operation id>).
struct AuditRecord {
  std::string who;
  std::string action;
  WallTime when{};
  std::string operation_id;
  uint64_t from_generation = 0;
  std::string outcome;     // "accepted" or "rejected"
  std::string reason;      // of a rejection
  Digest previous_digest;  // configuration before
  Digest digest;           // configuration after, or in force at the rejection
  Digest previous_audit;   // digest of the accepted record before

  // The generation that an accepted change made.
  uint64_t generation() const { return from_generation + 1; }

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

std::string FormatAuditRecord(const AuditRecord& record);
Result<AuditRecord> ParseAuditRecord(const std::string& text);

// The digest that the next record refers to.
Digest AuditDigest(const AuditRecord& record);

// The audit record of an accepted manifest. The same manifest gives the same
// text on every VM, so that completing a record twice changes nothing.
AuditRecord MakeAuditRecord(const Manifest& manifest);

// Reads accepted records in order of generation and checks the chain.
class AuditChain {
 public:
  // Adds the next record. What is wrong with it is added to problems(): a gap,
  // an edit, or a text that can't be read.
  void Append(uint64_t generation, const std::string& text);

  const std::vector<AuditRecord>& records() const { return records_; }
  const std::vector<std::string>& problems() const { return problems_; }
  // True if there is no problem and the last record belongs to `manifest`.
  bool EndsWith(const Manifest& manifest) const;

 private:
  std::vector<AuditRecord> records_;
  std::vector<std::string> problems_;
  uint64_t last_generation_ = 0;
  Digest last_digest_;
  bool has_last_digest_ = true;
};

}  // namespace rwf
