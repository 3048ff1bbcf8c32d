#include "gateway/answer_judge.h"

namespace rwf {

AttemptEnd JudgeAnswer(const Dialect& dialect, const std::string& request_id,
                       const SendResult& result) {
  if (result.end == SendEnd::kConnectFailed) return AttemptEnd::kConnectFailed;
  if (result.end == SendEnd::kBroken) return AttemptEnd::kBroken;
  const ReceivedMessage& answer = result.answer;
  if (answer.status == 421) return AttemptEnd::kMisdirected;
  if (answer.headers.Has(dialect.not_run)) return AttemptEnd::kShed;
  const bool has_receipt = answer.headers.Has(dialect.receipt);
  if (answer.status < 300 && !has_receipt) return AttemptEnd::kBroken;
  if (answer.status < 300 &&
      answer.headers.Get(dialect.request_id) != request_id)
    return AttemptEnd::kBroken;
  if (answer.status >= 500) return AttemptEnd::kInstanceError;
  return AttemptEnd::kSucceeded;
}

}  // namespace rwf
