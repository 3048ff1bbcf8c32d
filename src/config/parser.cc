#include "config/parser.h"

#include <fmt/format.h>

#include "config/codec.h"
#include "config/validator.h"

namespace rwf {

std::shared_ptr<const Config> ReadConfig(const Json& document,
                                         std::vector<JsonProblem>* problems) {
  auto config = std::make_shared<Config>();
  JsonReader reader(document, "", problems);
  config->generation =
      static_cast<uint64_t>(reader.Integer("generation", 0, INT64_MAX));
  for (const SectionCodec& it : SectionCodecs()) it.read(&reader, config.get());
  reader.Finish();
  // Consistency is checked only if all members could be read: a default value
  // in place of an invalid member would cause false problems.
  if (problems->empty()) ValidateConfig(*config, problems);
  if (!problems->empty()) return nullptr;
  SortUnorderedLists(config.get());
  return config;
}

Error InvalidConfig(std::string_view source,
                    const std::vector<JsonProblem>& problems) {
  return {
      ConfigErrc::kInvalid,
      fmt::format("{}: {} problem{}\n{}", source, problems.size(),
                  problems.size() == 1 ? "" : "s", FormatProblems(problems))};
}

Result<std::shared_ptr<const Config>> ParseConfig(std::string_view text,
                                                  std::string_view source) {
  const Result<Json> document = ParseJson(text, source);
  if (!document) return Fail(ConfigErrc::kSyntax, document.error().message);
  std::vector<JsonProblem> problems;
  auto config = ReadConfig(*document, &problems);
  if (config == nullptr)
    return tl::unexpected<Error>(InvalidConfig(source, problems));
  return config;
}

Json ConfigToJson(const Config& config) {
  Json out = {{"generation", config.generation}};
  for (const SectionCodec& it : SectionCodecs())
    out[it.name] = it.write(config);
  return out;
}

std::string SerializeConfig(const Config& config) {
  return ConfigToJson(config).dump();
}

}  // namespace rwf
