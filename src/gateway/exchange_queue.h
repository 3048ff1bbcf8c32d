#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "http/body.h"
#include "net/http_message.h"

namespace rwf {

// Identifies one request of a caller and its response. Never reused within a
// process.
using ExchangeId = uint64_t;

// The exchanges of one caller connection in order of arrival. Decides which
// request may start and which response is sent next.
class ExchangeQueue {
 public:
  // Requests of one connection that are not answered or whose responses wait
  // for earlier ones.
  static constexpr size_t kMaxPipelinedRequests = 8;

  struct Response {
    int status = 0;
    HttpHeaders headers;
    Body body;
  };
  struct Exchange {
    ExchangeId id = 0;
    bool may_pipeline = false;
    bool is_head = false;  // a HEAD request
    std::optional<Response> response;
    // Set by TakeNext: no further response follows on this connection.
    bool is_last = false;
  };

  // True if a request may start now: alone, or behind others if it and all of
  // them may be pipelined.
  bool MayStart(bool may_pipeline) const;
  // Adds a request that starts now. Requires MayStart.
  void Add(ExchangeId id, bool may_pipeline, bool is_head);
  // Adds a response to bytes that are no request. It is the last one.
  void AddRefusal(Response response);
  // No further exchange is added; the last one present ends the connection.
  void Close() { is_closed_ = true; }
  // Returns false if the exchange is unknown or has a response already.
  bool Answer(ExchangeId id, Response response);
  // Removes and returns the first exchange if it has a response.
  std::optional<Exchange> TakeNext();

  bool empty() const { return exchanges_.empty(); }
  size_t size() const { return exchanges_.size(); }
  bool is_closed() const { return is_closed_; }
  // Bytes of the bodies of responses that wait for earlier ones.
  size_t waiting_bytes() const { return waiting_bytes_; }
  std::vector<ExchangeId> Unanswered() const;
  bool has_unanswered() const;

 private:
  std::deque<Exchange> exchanges_;
  size_t waiting_bytes_ = 0;
  bool is_closed_ = false;
};

}  // namespace rwf
