#include "net/http_store.h"

#include <event2/http.h>
#include <fmt/format.h>

#include <cstdlib>

#include "base/json_reader.h"

namespace rwf {
namespace {

std::string Encode(const std::string& text) {
  char* encoded = evhttp_encode_uri(text.c_str());
  std::string out = encoded;
  std::free(encoded);
  return out;
}

// Keys may contain '/', which is not percent-encoded.
std::string KeyPath(const std::string& key) {
  std::string out = "/v1/kv/";
  for (char c : key) {
    out += c == '/' ? "/" : Encode(std::string(1, c));
  }
  return out;
}

Error BadResponse(const std::string& what) {
  return {StoreErrc::kBadResponse, "unexpected store response: " + what};
}

// Runs `parse` on the JSON body. Missing members and wrong types become a
// kBadResponse error; no exception leaves the callback.
template <typename T, typename Parse>
Result<T> ParseBody(const HttpResponse& response, Parse parse) {
  try {
    return parse(Json::parse(response.body));
  } catch (const Json::exception& e) {
    return tl::unexpected<Error>(BadResponse(e.what()));
  }
}

StoreValue ReadValue(const Json& body) {
  return {body.at("value").get<std::string>(),
          body.at("version").get<uint64_t>()};
}

Result<StoreValue> ParseValue(const Result<HttpResponse>& response,
                              const StoreValue& unchanged) {
  if (!response) return tl::unexpected<Error>(response.error());
  if (response->status == 404) return StoreValue{};
  return ParseBody<StoreValue>(*response, [&](const Json& body) {
    return body.value("unchanged", false) && !body.contains("value")
               ? unchanged
               : ReadValue(body);
  });
}

}  // namespace

HttpStore::HttpStore(EventLoop* loop, HttpTarget target)
    : target_(std::move(target)), client_(loop, {}) {}

void HttpStore::Call(
    Kind kind, const std::string& method, const std::string& path,
    const std::string& query, std::string body, Duration timeout,
    std::function<void(Result<HttpResponse>, TimePoint)> done) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.query = query;
  request.body = std::move(body);
  if (!request.body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  client_.Send(
      target_, request, timeout,
      [kind, done = std::move(done)](HttpOutcome outcome) {
        const TimePoint now = EventLoop::Now();
        const int status = outcome.response.status;
        if (outcome.ec) {
          const bool has_no_effect = kind == Kind::kRead || !outcome.was_sent;
          done(Fail(has_no_effect ? StoreErrc::kUnavailable
                                  : StoreErrc::kUnknownOutcome,
                    "store: " + outcome.ec.message()),
               now);
        } else if (status == 429) {
          done(Fail(StoreErrc::kThrottled,
                    "store request rejected by its rate limit"),
               now);
        } else if (status == 413) {
          done(Fail(StoreErrc::kTooLarge,
                    "value exceeds the size limit of the store"),
               now);
        } else if (status == 503) {
          done(Fail(StoreErrc::kUnavailable, "store is unavailable"), now);
        } else if (status != 200 && status != 404 && status != 409) {
          done(tl::unexpected<Error>(
                   BadResponse(fmt::format("status {}", status))),
               now);
        } else {
          done(std::move(outcome.response), now);
        }
      });
}

void HttpStore::Get(const std::string& key, Callback<StoreValue> done) {
  Call(Kind::kRead, "GET", KeyPath(key), "", "", kCallTimeout,
       [done = std::move(done)](const Result<HttpResponse>& response,
                                TimePoint now) {
         done(ParseValue(response, {}), now);
       });
}

void HttpStore::CompareAndSwap(const std::string& key,
                               uint64_t expected_version,
                               const std::string& value,
                               const std::string& operation_id,
                               Callback<SwapOutcome> done) {
  const Json body = {{"value", value}, {"operation_id", operation_id}};
  Call(Kind::kWrite, "PUT", KeyPath(key),
       fmt::format("version={}", expected_version), body.dump(), kCallTimeout,
       [done = std::move(done)](const Result<HttpResponse>& response,
                                TimePoint now) {
         if (!response) {
           done(tl::unexpected<Error>(response.error()), now);
           return;
         }
         done(ParseBody<SwapOutcome>(*response,
                                     [&](const Json& json) {
                                       return SwapOutcome{
                                           response->status == 200,
                                           json.at("version").get<uint64_t>()};
                                     }),
              now);
       });
}

void HttpStore::List(const std::string& prefix, const std::string& after,
                     size_t limit, Callback<StorePage> done) {
  // Requests one entry more than `limit` to detect a further page.
  Call(Kind::kRead, "GET", "/v1/list",
       fmt::format("prefix={}&after={}&limit={}", Encode(prefix), Encode(after),
                   limit + 1),
       "", kCallTimeout,
       [done = std::move(done), limit](const Result<HttpResponse>& response,
                                       TimePoint now) {
         if (!response) {
           done(tl::unexpected<Error>(response.error()), now);
           return;
         }
         done(ParseBody<StorePage>(*response,
                                   [&](const Json& body) {
                                     StorePage page;
                                     for (const Json& it : body.at("keys")) {
                                       if (page.entries.size() == limit) {
                                         page.has_more = true;
                                         break;
                                       }
                                       page.entries.push_back(
                                           {it.at("key").get<std::string>(),
                                            ReadValue(it)});
                                     }
                                     return page;
                                   }),
              now);
       });
}

void HttpStore::Watch(const std::string& key, uint64_t after_version,
                      Duration timeout, Callback<StoreValue> done) {
  // After `timeout`, the response carries the current value.
  Call(Kind::kRead, "GET", KeyPath(key),
       fmt::format("wait_version={}&timeout_ms={}", after_version,
                   ToMillis(timeout)),
       "", timeout + kCallTimeout,
       [done = std::move(done), after_version](
           const Result<HttpResponse>& response, TimePoint now) {
         done(ParseValue(response, {"", after_version}), now);
       });
}

void HttpStore::CallLease(const std::string& name, std::string body,
                          const StoreLease& lease, Callback<StoreLease> done) {
  Call(Kind::kWrite, "POST", "/v1/lease/" + Encode(name), "", std::move(body),
       kCallTimeout,
       [done = std::move(done), lease](const Result<HttpResponse>& response,
                                       TimePoint now) {
         if (!response) {
           done(tl::unexpected<Error>(response.error()), now);
           return;
         }
         if (response->status != 200) {
           done(Fail(StoreErrc::kConflict, "lease is held by another holder"),
                now);
           return;
         }
         done(ParseBody<StoreLease>(*response,
                                    [&](const Json& json) {
                                      StoreLease out = lease;
                                      out.token =
                                          json.value("fence", out.token);
                                      return out;
                                    }),
              now);
       });
}

void HttpStore::Acquire(const std::string& name, const std::string& holder,
                        Duration ttl, Callback<StoreLease> done) {
  const Json body = {
      {"holder", holder}, {"ttl_ms", ToMillis(ttl)}, {"action", "acquire"}};
  CallLease(name, body.dump(), {name, holder, 0, ttl}, std::move(done));
}

void HttpStore::Renew(const StoreLease& lease, Callback<StoreLease> done) {
  const Json body = {{"holder", lease.holder},
                     {"ttl_ms", ToMillis(lease.ttl)},
                     {"action", "renew"}};
  CallLease(lease.name, body.dump(), lease, std::move(done));
}

void HttpStore::Release(const StoreLease& lease, Callback<bool> done) {
  const Json body = {{"holder", lease.holder},
                     {"ttl_ms", ToMillis(lease.ttl)},
                     {"action", "release"}};
  CallLease(lease.name, body.dump(), lease,
            [done = std::move(done)](const Result<StoreLease>& result,
                                     TimePoint now) {
              if (!result) {
                done(tl::unexpected<Error>(result.error()), now);
                return;
              }
              done(true, now);
            });
}

void HttpStore::ListVms(Callback<std::vector<PlatformVm>> done) {
  Call(Kind::kRead, "GET", "/v1/vms", "", "", kCallTimeout,
       [done = std::move(done)](const Result<HttpResponse>& response,
                                TimePoint now) {
         if (!response) {
           done(tl::unexpected<Error>(response.error()), now);
           return;
         }
         done(ParseBody<std::vector<PlatformVm>>(
                  *response,
                  [](const Json& body) {
                    std::vector<PlatformVm> out;
                    for (const Json& it : body.at("vms")) {
                      out.push_back(
                          {it.at("id").get<std::string>(),
                           it.at("state").get<std::string>() == "leaving"});
                    }
                    return out;
                  }),
              now);
       });
}

}  // namespace rwf
