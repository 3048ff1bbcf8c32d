#include "rwf/endpoint.h"

namespace rwf {
namespace {

class EndpointCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "endpoint"; }
  std::string message(int code) const override {
    switch (static_cast<EndpointErrc>(code)) {
      case EndpointErrc::kBadAddress:
        return "bad endpoint address";
      case EndpointErrc::kUnreachable:
        return "endpoint did not respond";
      case EndpointErrc::kUnauthorized:
        return "operator token not accepted";
      case EndpointErrc::kRefused:
        return "request refused";
      case EndpointErrc::kFailed:
        return "endpoint failed";
    }
    return "unknown endpoint error";
  }
};

}  // namespace

std::error_code make_error_code(EndpointErrc code) {
  static const EndpointCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

}  // namespace rwf
