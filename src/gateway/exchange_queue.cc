#include "gateway/exchange_queue.h"

#include <algorithm>
#include <utility>

namespace rwf {

bool ExchangeQueue::MayStart(bool may_pipeline) const {
  if (is_closed_) return false;
  if (exchanges_.empty()) return true;
  return may_pipeline && exchanges_.size() < kMaxPipelinedRequests &&
         std::all_of(exchanges_.begin(), exchanges_.end(),
                     [](const Exchange& it) { return it.may_pipeline; });
}

void ExchangeQueue::Add(ExchangeId id, bool may_pipeline, bool is_head) {
  exchanges_.push_back({id, may_pipeline, is_head, std::nullopt, false});
}

void ExchangeQueue::AddRefusal(Response response) {
  waiting_bytes_ += response.body.size();
  exchanges_.push_back({0, false, false, std::move(response), false});
  Close();
}

bool ExchangeQueue::Answer(ExchangeId id, Response response) {
  const auto it =
      std::find_if(exchanges_.begin(), exchanges_.end(),
                   [id](const Exchange& it) { return it.id == id; });
  if (it == exchanges_.end() || it->response.has_value()) return false;
  waiting_bytes_ += response.body.size();
  it->response = std::move(response);
  return true;
}

std::optional<ExchangeQueue::Exchange> ExchangeQueue::TakeNext() {
  if (exchanges_.empty() || !exchanges_.front().response.has_value())
    return std::nullopt;
  Exchange out = std::move(exchanges_.front());
  exchanges_.pop_front();
  waiting_bytes_ -= out.response->body.size();
  out.is_last = is_closed_ && exchanges_.empty();
  return out;
}

bool ExchangeQueue::has_unanswered() const {
  return std::any_of(
      exchanges_.begin(), exchanges_.end(),
      [](const Exchange& it) { return !it.response.has_value(); });
}

std::vector<ExchangeId> ExchangeQueue::Unanswered() const {
  std::vector<ExchangeId> out;
  for (const Exchange& it : exchanges_) {
    if (!it.response.has_value()) out.push_back(it.id);
  }
  return out;
}

}  // namespace rwf
