#include "load/lookup_cache.h"

#include "base/json_reader.h"

namespace rwf {

using std::chrono::milliseconds;

void LookupCache::Get(const std::string& service,
                      const std::string& client_address, Callback callback) {
  const Key key = {service, client_address};
  Entry& entry = entries_[key];
  if (entry.ends > EventLoop::Now()) return callback(entry.answer);
  entry.waiting.push_back(std::move(callback));
  if (entry.is_asking) return;
  entry.is_asking = true;
  Ask(key, 0);
}

void LookupCache::Ask(const Key& key, size_t attempt) {
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
                  std::vector<EntryChoice> answer;
                  if (!outcome.ec && outcome.response.status == 200)
                    answer = ReadLookupAnswer(outcome.response.body, &ttl);
                  if (answer.empty()) {
                    ++failures_;
                    return Ask(key, attempt + 1);
                  }
                  Entry& entry = entries_[key];
                  entry.answer = std::move(answer);
                  entry.ends = EventLoop::Now() + ttl;
                  Finish(key);
                });
}

void LookupCache::Finish(const Key& key) {
  Entry& entry = entries_[key];
  entry.is_asking = false;
  const std::vector<Callback> waiting = std::exchange(entry.waiting, {});
  const std::vector<EntryChoice> answer = entry.answer;
  for (const Callback& it : waiting) it(answer);
}

std::vector<EntryChoice> ReadLookupAnswer(const std::string& body,
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
