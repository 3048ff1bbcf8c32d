#include "load/lookup_cache.h"

#include "base/json_reader.h"

namespace rwf {

using std::chrono::milliseconds;

void LookupCache::Get(const std::string& service,
                      const std::string& client_address, Callback callback) {
  const Key key = {service, client_address};
  Entry& entry = entries_[key];
  if (entry.expires_at > EventLoop::Now()) return callback(entry.choices);
  entry.callbacks.push_back(std::move(callback));
  if (entry.is_pending) return;
  entry.is_pending = true;
  SendLookup(key, 0);
}

void LookupCache::SendLookup(const Key& key, size_t attempt) {
  if (attempt >= plan_->entry_vms.size()) return Finish(key);
  const LoadPlan::EntryVm& vm =
      plan_->entry_vms[next_vm_++ % plan_->entry_vms.size()];
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/lookup";
  request.query = "service=" + key.first;
  request.headers.Add("X-Client-Address", key.second);
  ++lookups_;
  client_->Send(vm.target, request, kTimeout,
                [this, key, attempt](const HttpOutcome& outcome) {
                  Duration ttl{};
                  std::vector<EntryChoice> choices;
                  if (!outcome.ec && outcome.response.status == 200)
                    choices = ParseLookupResponse(outcome.response.body, &ttl);
                  if (choices.empty()) {
                    ++failures_;
                    return SendLookup(key, attempt + 1);
                  }
                  Entry& entry = entries_[key];
                  entry.choices = std::move(choices);
                  entry.expires_at = EventLoop::Now() + ttl;
                  Finish(key);
                });
}

void LookupCache::Finish(const Key& key) {
  Entry& entry = entries_[key];
  entry.is_pending = false;
  const std::vector<Callback> callbacks = std::exchange(entry.callbacks, {});
  const std::vector<EntryChoice> choices = entry.choices;
  for (const Callback& it : callbacks) it(choices);
}

std::vector<EntryChoice> ParseLookupResponse(const std::string& body,
                                             Duration* ttl) {
  std::vector<EntryChoice> out;
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  try {
    for (const Json& it : json.at("entry_vms")) {
      out.push_back({it.at("id"),
                     {it.at("address"), it.at("port")},
                     it.value("weight", 1.0),
                     it.value("idempotency_prefix", "")});
    }
    *ttl = milliseconds(json.at("ttl_ms").get<int64_t>());
  } catch (const Json::exception&) {
    return {};
  }
  return out;
}

}  // namespace rwf
