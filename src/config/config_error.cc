#include "config/config_error.h"

#include <string>

namespace rwf {
namespace {

class ConfigCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "config"; }
  std::string message(int code) const override {
    switch (static_cast<ConfigErrc>(code)) {
      case ConfigErrc::kSyntax:
        return "configuration is not JSON";
      case ConfigErrc::kInvalid:
        return "configuration is invalid";
      case ConfigErrc::kDigestMismatch:
        return "section text does not match its digest";
      case ConfigErrc::kMissingSection:
        return "configuration section is missing";
      case ConfigErrc::kTooLarge:
        return "configuration section is too large for the store";
    }
    return "unknown configuration error";
  }
};

}  // namespace

std::error_code make_error_code(ConfigErrc code) {
  static const ConfigCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

}  // namespace rwf
