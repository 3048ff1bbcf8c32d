#include "gateway/exchange_queue.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace rwf {
namespace {

ExchangeQueue::Response ResponseTo(ExchangeId id) {
  return {200, {}, Body("response " + std::to_string(id))};
}

// Guards against responses that reach a caller as those to other requests.
TEST_CASE("Exchanges, answered in any order, leave in order of arrival") {
  std::minstd_rand random(1);
  for (int round = 0; round < 200; ++round) {
    ExchangeQueue queue;
    std::vector<ExchangeId> open;
    for (ExchangeId id = 1; id <= ExchangeQueue::kMaxPipelinedRequests; ++id) {
      REQUIRE(queue.MayStart(true));
      queue.Add(id, true, false);
      open.push_back(id);
    }
    ExchangeId next = 1;
    while (!open.empty()) {
      const size_t n = random() % open.size();
      CHECK(queue.Answer(open[n], ResponseTo(open[n])));
      open.erase(open.begin() + static_cast<ptrdiff_t>(n));
      while (const auto it = queue.TakeNext()) {
        CHECK(it->id == next);
        CHECK(it->response->body == "response " + std::to_string(next));
        CHECK_FALSE(it->is_last);
        ++next;
      }
    }
    CHECK(queue.empty());
    CHECK(queue.waiting_bytes() == 0);
  }
}

// Guards against requests that run beside one that must not run beside others.
TEST_CASE("Request, not idempotent, starts alone and lets none start") {
  ExchangeQueue queue;
  CHECK(queue.MayStart(false));
  queue.Add(1, true, false);
  CHECK(queue.MayStart(true));
  CHECK_FALSE(queue.MayStart(false));
  queue.Answer(1, ResponseTo(1));
  REQUIRE(queue.TakeNext().has_value());
  queue.Add(2, false, false);
  CHECK_FALSE(queue.MayStart(true));
  CHECK_FALSE(queue.MayStart(false));
  queue.Answer(2, ResponseTo(2));
  REQUIRE(queue.TakeNext().has_value());
  CHECK(queue.MayStart(true));
}

// Guards against callers that send requests ahead without bound.
TEST_CASE("Requests, as many as allowed, let no further one start") {
  ExchangeQueue queue;
  for (ExchangeId id = 1; id <= ExchangeQueue::kMaxPipelinedRequests; ++id)
    queue.Add(id, true, false);
  CHECK_FALSE(queue.MayStart(true));
  // A response that waits for an earlier one takes a place.
  queue.Answer(2, ResponseTo(2));
  CHECK_FALSE(queue.TakeNext().has_value());
  CHECK_FALSE(queue.MayStart(true));
  CHECK(queue.waiting_bytes() == std::string("response 2").size());
  queue.Answer(1, ResponseTo(1));
  REQUIRE(queue.TakeNext().has_value());
  CHECK(queue.MayStart(true));
}

// Guards against a second response, or one that comes too late.
TEST_CASE("Response, second or to an unknown exchange, is ignored") {
  ExchangeQueue queue;
  queue.Add(1, true, false);
  queue.Add(2, true, false);
  CHECK_FALSE(queue.Answer(3, ResponseTo(3)));
  CHECK(queue.Answer(1, ResponseTo(1)));
  CHECK_FALSE(queue.Answer(1, ResponseTo(2)));
  CHECK(queue.TakeNext()->response->body == "response 1");
  CHECK_FALSE(queue.Answer(1, ResponseTo(1)));
  CHECK(queue.Unanswered() == std::vector<ExchangeId>{2});
}

// Guards against requests that start behind a closing response, and against a
// closing response before the last one.
TEST_CASE("Queue, closed, answers what was started and closes with the last") {
  for (const bool is_refused : {true, false}) {
    CAPTURE(is_refused);
    ExchangeQueue queue;
    queue.Add(1, true, false);
    queue.Add(2, true, false);
    if (is_refused) {
      queue.AddRefusal({400, {}, Body("refused")});
    } else {
      queue.Close();
    }
    CHECK_FALSE(queue.MayStart(true));
    queue.Answer(2, ResponseTo(2));
    CHECK_FALSE(queue.TakeNext().has_value());
    queue.Answer(1, ResponseTo(1));
    CHECK_FALSE(queue.TakeNext()->is_last);
    CHECK(queue.TakeNext()->is_last == !is_refused);
    if (is_refused) {
      const auto last = queue.TakeNext();
      CHECK(last->response->status == 400);
      CHECK(last->is_last);
    }
    CHECK(queue.empty());
    CHECK_FALSE(queue.MayStart(false));
  }
}

}  // namespace
}  // namespace rwf
