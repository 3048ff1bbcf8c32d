#pragma once

#include <string>

#include "net/http_client.h"
#include "replica/store.h"

namespace rwf {

// Client for the key-value service of the platform over HTTP and JSON. The
// protocol is described in docs/INTERFACES.md.
class HttpStore : public Store {
 public:
  HttpStore(EventLoop* loop, HttpTarget target);

  void Get(const std::string& key, Callback<StoreValue> done) override;
  void CompareAndSwap(const std::string& key, uint64_t expected_version,
                      const std::string& value, const std::string& operation_id,
                      Callback<SwapOutcome> done) override;
  void List(const std::string& prefix, const std::string& after, size_t limit,
            Callback<StorePage> done) override;
  void Watch(const std::string& key, uint64_t after_version, Duration timeout,
             Callback<StoreValue> done) override;
  void Acquire(const std::string& name, const std::string& holder, Duration ttl,
               Callback<StoreLease> done) override;
  void Renew(const StoreLease& lease, Callback<StoreLease> done) override;
  void Release(const StoreLease& lease, Callback<bool> done) override;
  void ListVms(Callback<std::vector<PlatformVm>> done) override;

 private:
  enum class Kind { kRead, kWrite };

  // Sends a request and passes on a response with status 200, 404 or 409. All
  // other responses and failures become a StoreErrc error.
  void Call(Kind kind, const std::string& method, const std::string& path,
            const std::string& query, std::string body, Duration timeout,
            std::function<void(Result<HttpResponse>, TimePoint)> done);
  void CallLease(const std::string& name, std::string body,
                 const StoreLease& lease, Callback<StoreLease> done);

  HttpTarget target_;
  HttpClient client_;
};

}  // namespace rwf
