#include "store/kv_store.h"

#include <utility>

namespace rwf {

KvStore::Value KvStore::Get(const std::string& key, TimePoint at) const {
  const auto it = values_.find(key);
  if (it == values_.end()) return {};
  for (auto v = it->second.rbegin(); v != it->second.rend(); ++v) {
    if (v->written_at <= at) return v->value;
  }
  return {};
}

std::vector<KvStore::ListEntry> KvStore::List(const std::string& prefix,
                                              const std::string& after,
                                              size_t limit,
                                              TimePoint at) const {
  std::vector<ListEntry> out;
  auto it =
      after < prefix ? values_.lower_bound(prefix) : values_.upper_bound(after);
  for (; it != values_.end() && out.size() < limit; ++it) {
    if (!it->first.starts_with(prefix)) break;
    Value value = Get(it->first, at);
    if (value.version > 0) out.push_back({it->first, std::move(value)});
  }
  return out;
}

KvStore::PutResult KvStore::Put(const std::string& key, int64_t expected,
                                std::string text, TimePoint now) {
  const auto it = values_.find(key);
  const int64_t current =
      it == values_.end() ? 0 : it->second.back().value.version;
  if (current != expected) return {false, current};
  auto& versions = values_[key];
  versions.push_back({now, {current + 1, std::move(text)}});
  while (versions.size() > 1 &&
         versions[1].written_at < now - kHistoryRetention)
    versions.pop_front();
  return {true, current + 1};
}

bool KvStore::Acquire(const std::string& name, const std::string& holder,
                      Duration ttl, TimePoint now, Lease* lease) {
  Lease& it = leases_[name];
  const bool is_free = it.holder.empty() || it.expires_at <= now;
  const bool may_take = is_free || it.holder == holder;
  if (may_take) {
    if (is_free) ++it.fence;
    it.holder = holder;
    it.expires_at = now + ttl;
  }
  *lease = it;
  return may_take;
}

bool KvStore::Renew(const std::string& name, const std::string& holder,
                    Duration ttl, TimePoint now, Lease* lease) {
  Lease& it = leases_[name];
  const bool holds = it.holder == holder && it.expires_at > now;
  if (holds) it.expires_at = now + ttl;
  *lease = it;
  return holds;
}

bool KvStore::Release(const std::string& name, const std::string& holder,
                      TimePoint now, Lease* lease) {
  Lease& it = leases_[name];
  const bool holds = it.holder == holder && it.expires_at > now;
  if (holds) it.holder.clear();
  *lease = it;
  return holds;
}

}  // namespace rwf
