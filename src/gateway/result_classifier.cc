#include "gateway/result_classifier.h"

namespace rwf {

AttemptOutcome ClassifyResult(const HeaderNames& header_names,
                              const std::string& request_id,
                              const SendResult& result) {
  if (result.outcome == SendOutcome::kConnectFailed)
    return AttemptOutcome::kConnectFailed;
  if (result.outcome == SendOutcome::kBroken) return AttemptOutcome::kBroken;
  const ReceivedMessage& answer = result.response;
  if (answer.status == 421) return AttemptOutcome::kMisdirected;
  if (answer.headers.Has(header_names.not_run)) return AttemptOutcome::kShed;
  const bool has_receipt = answer.headers.Has(header_names.server_stamp);
  if (answer.status < 300 && !has_receipt) return AttemptOutcome::kBroken;
  if (answer.status < 300 &&
      answer.headers.Get(header_names.request_id) != request_id)
    return AttemptOutcome::kBroken;
  if (answer.status >= 500) return AttemptOutcome::kInstanceError;
  return AttemptOutcome::kSucceeded;
}

}  // namespace rwf
