#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "load/load_plan.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace rwf {

// One entry VM of a look-up answer.
struct EntryChoice {
  std::string id;
  HttpTarget target;
  double weight = 1;
  std::string idempotency_prefix;
};

// Look-up answers as a caller keeps them: until their time to live has passed,
// and longer if no entry VM can be asked.
class LookupCache {
 public:
  using Callback = std::function<void(const std::vector<EntryChoice>&)>;

  static constexpr Duration kTimeout = std::chrono::milliseconds(700);

  LookupCache(HttpClient* client, const LoadPlan* plan)
      : client_(client), plan_(plan) {}

  // Calls back, at once or later, with the answer for the client; empty if no
  // entry VM gave one.
  void Get(const std::string& service, const std::string& client_address,
           Callback callback);

  int64_t lookups() const { return lookups_; }
  int64_t failures() const { return failures_; }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Entry {
    std::vector<EntryChoice> choices;
    TimePoint expires_at{};
    bool is_pending = false;
    std::vector<Callback> callbacks;
  };

  void SendLookup(const Key& key, size_t attempt);
  void Finish(const Key& key);

  HttpClient* client_;
  const LoadPlan* plan_;
  std::map<Key, Entry> entries_;
  size_t next_vm_ = 0;
  int64_t lookups_ = 0;
  int64_t failures_ = 0;
};

// Reads the body of a look-up answer; `ttl` is left alone on a malformed one.
std::vector<EntryChoice> ParseLookupResponse(const std::string& body,
                                             Duration* ttl);

}  // namespace rwf
