#include "gateway/limit_refusal_log.h"

namespace rwf {

bool LimitRefusalLog::Log(EventLog* log, WorkspaceLimiter* limiter,
                          const Refusal& refusal, TimePoint now) {
  if (now - counted_at_ >= kInterval) LogCounts(log, now);
  const auto [it, is_first] = intervals_.try_emplace(refusal.workspace);
  if (!is_first && now - it->second.begin < kInterval) {
    ++it->second.not_logged;
    return false;
  }
  const int64_t not_logged = it->second.not_logged;
  it->second = {now, 0};
  log->Request("rate_limited", refusal.request_id)
      .Text("workspace", refusal.workspace)
      .Text("keeper", limiter->KeeperOf(refusal.workspace))
      .Real("reach", limiter->reach())
      .Millis("waited_ms", refusal.waited)
      .Millis("retry_after_ms", refusal.retry_after)
      .Number("not_logged", not_logged);
  return true;
}

void LimitRefusalLog::LogCounts(EventLog* log, TimePoint now) {
  counted_at_ = now;
  std::erase_if(intervals_, [&](const auto& entry) {
    const auto& [workspace, it] = entry;
    if (now - it.begin < kInterval) return false;
    if (it.not_logged > 0) {
      log->State("rate_limited_count")
          .Text("workspace", workspace)
          .Number("not_logged", it.not_logged);
    }
    return true;
  });
}

}  // namespace rwf
