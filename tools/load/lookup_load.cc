#include "load/lookup_load.h"

namespace rwf {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

}  // namespace

void LookupLoad::Start(int64_t callers) {
  for (int64_t n = 0; n < callers; ++n) LookUp();
}

void LookupLoad::LookUp() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/lookup";
  request.query = "service=" + plan_->services.front().name;
  request.headers.Add("X-Client-Address", plan_->RandomClientAddress(&random_));
  client_.Send(plan_->entry_vms.front().target, request, kTimeout,
               [this](const HttpOutcome& outcome) {
                 const bool is_answered =
                     !outcome.ec && outcome.response.status == 200;
                 ++(is_answered ? answered_ : failed_);
                 LookUp();
               });
}

}  // namespace rwf
