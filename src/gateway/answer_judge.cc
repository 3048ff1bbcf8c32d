#include "gateway/answer_judge.h"

namespace rwf {

AttemptOutcome JudgeAnswer(const Dialect& dialect,
                           const std::string& request_id,
                           const SendResult& result) {
  if (result.end == SendEnd::kConnectFailed)
    return AttemptOutcome::kConnectFailed;
  if (result.end == SendEnd::kBroken) return AttemptOutcome::kBroken;
  const ReceivedMessage& answer = result.answer;
  if (answer.status == 421) return AttemptOutcome::kMisdirected;
  if (answer.headers.Has(dialect.not_run)) return AttemptOutcome::kShed;
  const bool has_receipt = answer.headers.Has(dialect.receipt);
  if (answer.status < 300 && !has_receipt) return AttemptOutcome::kBroken;
  if (answer.status < 300 &&
      answer.headers.Get(dialect.request_id) != request_id)
    return AttemptOutcome::kBroken;
  if (answer.status >= 500) return AttemptOutcome::kInstanceError;
  return AttemptOutcome::kSucceeded;
}

}  // namespace rwf
