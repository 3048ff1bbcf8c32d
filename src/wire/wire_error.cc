#include "wire/wire_error.h"

#include <array>
#include <string>

namespace rwf {
namespace {

class WireCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "wire"; }
  std::string message(int code) const override {
    static constexpr std::array<const char*, 8> kTexts = {
        "no error",
        "frame too long",
        "frame authentication failed",
        "malformed message",
        "protocol version not supported",
        "peer belongs to another cluster",
        "peer does not know the fleet secret",
        "unexpected message",
    };
    return kTexts.at(static_cast<size_t>(code));
  }
};

}  // namespace

std::error_code make_error_code(WireErrc code) {
  static const WireCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

}  // namespace rwf
