#pragma once

#include <system_error>

namespace rwf {

enum class ConfigErrc {
  kSyntax = 1,      // the text is no JSON
  kInvalid,         // the settings break the schema or contradict each other
  kDigestMismatch,  // a text is not the one that its digest names
  kMissingSection,  // a section that the manifest names is absent
  kTooLarge,        // a section is longer than the store accepts
};
std::error_code make_error_code(ConfigErrc code);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::ConfigErrc> : std::true_type {};
