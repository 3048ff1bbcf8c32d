#pragma once

#include <cstdint>
#include <random>

#include "load/load_plan.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace rwf {

// Callers that send look-ups to the first entry VM, one at a time each, for
// random client addresses.
class LookupLoad {
 public:
  // `plan` must outlive the object.
  LookupLoad(EventLoop* loop, const LoadPlan* plan, uint64_t seed)
      : client_(loop, {.max_idle_per_target = 1024}),
        plan_(plan),
        random_(seed) {}

  void Start(int64_t callers);

  int64_t answered() const { return answered_; }
  int64_t failed() const { return failed_; }

 private:
  void LookUp();

  HttpClient client_;
  const LoadPlan* plan_;
  std::mt19937_64 random_;
  int64_t answered_ = 0;
  int64_t failed_ = 0;
};

}  // namespace rwf
