#include "replica/manifest.h"

#include <fmt/format.h>

#include <limits>

#include "base/json_reader.h"

namespace rwf {
namespace {

class ReplicaCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "replica"; }
  std::string message(int code) const override {
    switch (static_cast<ReplicaErrc>(code)) {
      case ReplicaErrc::kBadManifest:
        return "the manifest is not valid";
      case ReplicaErrc::kBadAuditRecord:
        return "the audit record is not valid";
      case ReplicaErrc::kInvalidConfig:
        return "the configuration is not valid";
    }
    return "unknown replica error";
  }
};

}  // namespace

std::error_code make_error_code(ReplicaErrc code) {
  static const ReplicaCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string SectionKey(const Digest& digest) {
  return "config/section/" + ToHex(digest);
}

std::string AuditKey(uint64_t generation) {
  return fmt::format("audit/{:020}", generation);
}

std::string RejectedAuditKey(const std::string& operation_id) {
  return "audit/rejected/" + operation_id;
}

std::string FormatManifest(const Manifest& manifest) {
  Json sections = Json::object();
  for (const auto& [name, digest] : manifest.sections) {
    sections[name] = ToHex(digest);
  }
  const Json out = {{"generation", manifest.generation},
                    {"digest", ToHex(manifest.digest)},
                    {"sections", sections},
                    {"operation_id", manifest.operation_id},
                    {"who", manifest.who},
                    {"action", manifest.action},
                    {"when_ms", manifest.when.time_since_epoch().count()},
                    {"previous_digest", ToHex(manifest.previous_digest)},
                    {"previous_audit", ToHex(manifest.previous_audit)}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Manifest> ParseManifest(const std::string& text) {
  const auto fail = [](const std::string& message) {
    return Fail(ReplicaErrc::kBadManifest, message);
  };
  const auto json = ParseJson(text, kManifestKey);
  if (!json) return fail(json.error().message);
  if (!json->is_object()) return fail("the manifest is not a JSON object");
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
  Manifest out;
  out.generation = reader.Integer("generation", 1, kMax);
  out.digest = read_digest("digest");
  out.operation_id = reader.String("operation_id");
  out.who = reader.String("who", "");
  out.action = reader.String("action", "");
  out.when =
      WallTime(std::chrono::milliseconds(reader.Integer("when_ms", 0, kMax)));
  out.previous_digest = read_digest("previous_digest");
  out.previous_audit = read_digest("previous_audit");
  const JsonReader sections = reader.Object("sections");
  for (const auto& [name, value] : sections.value().items()) {
    Digest digest;
    if (!value.is_string() ||
        !FromHex(value.get_ref<const std::string&>(), &digest)) {
      reader.AddProblem("sections", name + " has no valid digest");
    }
    out.sections[name] = digest;
  }
  reader.Finish();
  if (!problems.empty()) return fail(FormatProblems(problems));
  if (out.digest != IndexDigest(out.generation, out.sections)) {
    return fail("the digest does not match the generation and the sections");
  }
  return out;
}

}  // namespace rwf
