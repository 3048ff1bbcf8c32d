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

// One entry VM of a look-up response.
struct EntryChoice {
  std::string id;
  HttpTarget target;
  double weight = 1;
  std::string idempotency_prefix;
};

// Caches look-up responses for their time to live, and longer while no entry VM
// responds.
class LookupCache {
 public:
  using Callback = std::function<void(const std::vector<EntryChoice>&)>;

  static constexpr Duration kTimeout = std::chrono::milliseconds(700);

  LookupCache(HttpClient* client, const LoadPlan* plan)
      : client_(client), plan_(plan) {}

  // Calls `callback`, possibly before returning, with the entry VMs for the
  // client. The list is empty if no entry VM has responded.
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

// Parses the body of a look-up response. Returns an empty list and leaves `ttl`
// unchanged if the body is malformed.
std::vector<EntryChoice> ParseLookupResponse(const std::string& body,
                                             Duration* ttl);

}  // namespace rwf
