#pragma once

#include <string>

#include "net/http_client.h"
#include "replica/store.h"

namespace rwf {

// The platform's key-value service over HTTP and JSON, as docs/INTERFACES.md
// describes it.
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

  // Sends a call and hands on the JSON of an answer with a status that the
  // caller understands; everything else becomes an error of the store layer.
  void Call(Kind kind, const std::string& method, const std::string& path,
            const std::string& query, std::string body, Duration timeout,
            std::function<void(Result<HttpResponse>, TimePoint)> done);
  void CallLease(const std::string& name, std::string body,
                 const StoreLease& lease, Callback<StoreLease> done);

  HttpTarget target_;
  HttpClient client_;
};

}  // namespace rwf
