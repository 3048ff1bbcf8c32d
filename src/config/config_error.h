#pragma once

#include <system_error>

namespace rwf {

enum class ConfigErrc {
  kSyntax = 1,      // the text is not JSON
  kInvalid,         // the settings violate the schema or are inconsistent
  kDigestMismatch,  // a text does not match its digest
  kMissingSection,  // a section of the manifest is missing
  kTooLarge,        // a section exceeds the size limit of the store
};
std::error_code make_error_code(ConfigErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::ConfigErrc> : std::true_type {};
