#include "net/net_error.h"

#include <array>
#include <string>

namespace rwf {
namespace {

class NetCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "net"; }
  std::string message(int code) const override {
    static constexpr std::array<const char*, 10> kMessages = {
        "no error",
        "cannot listen",
        "connection refused",
        "cannot connect",
        "deadline passed",
        "connection closed before the response was complete",
        "response too large",
        "response without a length",
        "response to another request",
        "cancelled",
    };
    return kMessages.at(static_cast<size_t>(code));
  }
};

}  // namespace

std::error_code make_error_code(NetErrc code) {
  static const NetCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

}  // namespace rwf
