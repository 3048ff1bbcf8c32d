#include "gateway/result_classifier.h"

namespace rwf {

AttemptOutcome ClassifyResult(const HeaderNames& header_names,
                              const std::string& request_id,
                              const SendResult& result) {
  if (result.outcome == SendOutcome::kConnectFailed)
    return AttemptOutcome::kConnectFailed;
  if (result.outcome == SendOutcome::kBroken) return AttemptOutcome::kBroken;
  const ReceivedMessage& response = result.response;
  if (response.status == 421) return AttemptOutcome::kMisdirected;
  if (response.headers.Has(header_names.not_run)) return AttemptOutcome::kShed;
  const bool has_server_stamp = response.headers.Has(header_names.server_stamp);
  if (response.status < 300 && !has_server_stamp)
    return AttemptOutcome::kBroken;
  if (response.status < 300 &&
      response.headers.Get(header_names.request_id) != request_id)
    return AttemptOutcome::kBroken;
  if (response.status >= 500) return AttemptOutcome::kInstanceError;
  return AttemptOutcome::kSucceeded;
}

}  // namespace rwf
