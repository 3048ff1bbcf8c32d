#include "gateway/result_classifier.h"

namespace rwf {

AttemptEnd ClassifyResult(const HeaderNames& header_names,
                          const std::string& request_id,
                          const SendResult& result) {
  if (result.outcome == SendOutcome::kConnectFailed)
    return AttemptEnd::kConnectFailed;
  if (result.outcome == SendOutcome::kBroken) return AttemptEnd::kBroken;
  const ReceivedMessage& answer = result.response;
  if (answer.status == 421) return AttemptEnd::kMisdirected;
  if (answer.headers.Has(header_names.not_run)) return AttemptEnd::kShed;
  const bool has_receipt = answer.headers.Has(header_names.server_stamp);
  if (answer.status < 300 && !has_receipt) return AttemptEnd::kBroken;
  if (answer.status < 300 &&
      answer.headers.Get(header_names.request_id) != request_id)
    return AttemptEnd::kBroken;
  if (answer.status >= 500) return AttemptEnd::kInstanceError;
  return AttemptEnd::kSucceeded;
}

}  // namespace rwf
