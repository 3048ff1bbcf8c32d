#include "replica/audit_chain.h"

#include <fmt/format.h>

#include <limits>

#include "base/json_reader.h"

namespace rwf {

std::string FormatAuditRecord(const AuditRecord& record) {
  const Json out = {{"who", record.who},
                    {"action", record.action},
                    {"when_ms", record.when.time_since_epoch().count()},
                    {"operation_id", record.operation_id},
                    {"from_generation", record.from_generation},
                    {"outcome", record.outcome},
                    {"reason", record.reason},
                    {"previous_digest", ToHex(record.previous_digest)},
                    {"digest", ToHex(record.digest)},
                    {"previous_audit", ToHex(record.previous_audit)}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<AuditRecord> ParseAuditRecord(const std::string& text) {
  const auto fail = [](const std::string& message) {
    return Fail(ReplicaErrc::kBadAuditRecord, message);
  };
  const auto json = ParseJson(text, "audit record");
  if (!json) return fail(json.error().message);
  if (!json->is_object()) return fail("the audit record is not a JSON object");
  std::vector<JsonProblem> problems;
  JsonReader reader(*json, "", &problems);
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  const auto read_digest = [&](const char* name) {
    Digest out;
    if (!FromHex(reader.String(name), &out)) {
      reader.AddProblem(name, "is not a digest");
    }
    return out;
  };
  AuditRecord out;
  out.who = reader.String("who", "");
  out.action = reader.String("action", "");
  out.when =
      WallTime(std::chrono::milliseconds(reader.Integer("when_ms", 0, kMax)));
  out.operation_id = reader.String("operation_id");
  out.from_generation = reader.Integer("from_generation", 0, kMax);
  out.outcome = reader.Choice("outcome", {"accepted", "rejected"});
  out.reason = reader.String("reason", "");
  out.previous_digest = read_digest("previous_digest");
  out.digest = read_digest("digest");
  out.previous_audit = read_digest("previous_audit");
  reader.Finish();
  if (!problems.empty()) return fail(FormatProblems(problems));
  return out;
}

Digest AuditDigest(const AuditRecord& record) {
  return Sha256(FormatAuditRecord(record));
}

AuditRecord MakeAuditRecord(const Manifest& manifest) {
  AuditRecord out;
  out.who = manifest.who;
  out.action = manifest.action;
  out.when = manifest.when;
  out.operation_id = manifest.operation_id;
  out.from_generation = manifest.generation - 1;
  out.outcome = "accepted";
  out.previous_digest = manifest.previous_digest;
  out.digest = manifest.digest;
  out.previous_audit = manifest.previous_audit;
  return out;
}

void AuditChain::Append(uint64_t generation, const std::string& text) {
  if (generation != last_generation_ + 1) {
    problems_.push_back(
        fmt::format("audit records of generations {} to {} are missing",
                    last_generation_ + 1, generation - 1));
    has_last_digest_ = false;
  }
  last_generation_ = generation;
  const auto record = ParseAuditRecord(text);
  const bool matches = record && record->outcome == "accepted" &&
                       record->generation() == generation;
  if (!matches) {
    problems_.push_back(
        fmt::format("{} holds no valid audit record of generation {}: {}",
                    AuditKey(generation), generation,
                    record ? "the record belongs to another change"
                           : record.error().message));
    has_last_digest_ = false;
    return;
  }
  if (has_last_digest_ && record->previous_audit != last_digest_) {
    problems_.push_back(fmt::format(
        "the audit record of generation {} does not match the stored record of "
        "generation {}: one of the two was modified",
        generation, generation - 1));
  }
  records_.push_back(*record);
  last_digest_ = Sha256(text);
  has_last_digest_ = true;
}

bool AuditChain::EndsWith(const Manifest& manifest) const {
  return problems_.empty() && !records_.empty() &&
         last_digest_ == AuditDigest(MakeAuditRecord(manifest));
}

}  // namespace rwf
