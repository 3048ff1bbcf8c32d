#include "replica/store.h"

namespace rwf {
namespace {

class StoreCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int code) const override {
    switch (static_cast<StoreErrc>(code)) {
      case StoreErrc::kUnavailable:
        return "the store is unavailable";
      case StoreErrc::kConflict:
        return "the lease is held by another holder";
      case StoreErrc::kUnknownOutcome:
        return "the outcome of the write is unknown";
      case StoreErrc::kTooLarge:
        return "the value is too large";
      case StoreErrc::kThrottled:
        return "the store throttled the call";
      case StoreErrc::kBadResponse:
        return "the response of the store could not be parsed";
      case StoreErrc::kHistoryGone:
        return "the store no longer retains these changes";
      case StoreErrc::kNotHeld:
        return "the lease has expired or was revoked";
    }
    return "unknown store error";
  }
};

}  // namespace

std::error_code make_error_code(StoreErrc code) {
  static const StoreCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

bool IsOutcomeUnknown(const Error& error) {
  return error.code == StoreErrc::kUnknownOutcome ||
         error.code == StoreErrc::kBadResponse;
}

}  // namespace rwf
