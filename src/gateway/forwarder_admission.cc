// What the forwarder does with a request before its first attempt: route, key,
// limit of the workspace, waiting for capacity.
#include <strings.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "gateway/forwarder.h"

namespace rwf {
namespace {

// Retry delay for callers refused because no configuration is loaded or the
// keys are stale: one round of the store watch.
constexpr Duration kConfigurationRetryAfter = std::chrono::milliseconds(700);

// Retry delay for callers refused by a VM that is stopping; another VM can take
// the request at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

void Forwarder::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
}

void Forwarder::Handle(ExchangeId id, ReceivedMessage request) {
  const TimePoint now = EventLoop::Now();
  ExchangePtr owned = std::make_unique<Exchange>();
  Exchange* it = owned.get();
  it->id = id;
  it->request = std::move(request);
  it->request_holder = std::make_unique<BufferAccount::Holder>(
      deps_.buffers, BufferUse::kServed);
  it->request_holder->Set(it->request.buffered_bytes, now);
  it->request_id = it->request.headers.Get(deps_.header_names->request_id);
  it->arrived_at = it->request.received_at;
  it->catalog = catalog_;
  exchanges_[id] = std::move(owned);
  arrivals_.Add(now);
  if (catalog_ == nullptr) {
    Refuse(it, {503, "no-configuration", kConfigurationRetryAfter});
    return;
  }
  if (is_stopping_) {
    Refuse(it, {503, "stopping", kStoppingRetryAfter});
    return;
  }
  if (!FindRoute(it) || !CheckKey(it, now) || !CheckRateLimit(it, now)) return;
  Start(it, now);
}

bool Forwarder::MayPipeline(const ReceivedMessage& request) const {
  if (catalog_ == nullptr) return false;
  const TrafficRoute* route =
      catalog_->FindRoute(request.headers.Get("Host"), PathOf(request.target));
  return route != nullptr && route->idempotent;
}

void Forwarder::Start(Exchange* it, TimePoint now) {
  Prepare(it, now);
  // It waited for earlier requests of its connection.
  if (it->deadline < now) {
    Refuse(it, {503, "deadline", {}});
    return;
  }
  if (it->deadline > stop_at_) {
    Refuse(it, {503, "stopping", kStoppingRetryAfter});
    return;
  }
  if (!CheckCrashSuspicion(it, now)) return;
  shortage_.StartWaiting(it->placement_request.service, now);
  Duration retry_after{};
  const char* reason = "";
  if (!TrySend(it, &retry_after, &reason) && !Wait(it, &retry_after))
    Refuse(it, {503, reason, retry_after});
}

bool Forwarder::Wait(Exchange* it, Duration* retry_after) {
  return waits_for_capacity_ && it->may_wait && stop_at_ == TimePoint::max() &&
         !is_stopping_ &&
         shortage_.Offer(it->id, it->WorkspaceName(), it->placement_request,
                         it->arrived_at, it->deadline, retry_after);
}

bool Forwarder::StartWaiting(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return false;
  Duration retry_after{};
  const char* reason = "";
  return TrySend(found->second.get(), &retry_after, &reason);
}

void Forwarder::RefuseWaiting(ExchangeId id, Duration retry_after) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const bool is_stopping = is_stopping_ || stop_at_ != TimePoint::max();
  Refuse(found->second.get(),
         {503, is_stopping ? "stopping" : "overloaded", retry_after});
}

void Forwarder::StopAdmitting() {
  is_stopping_ = true;
  shortage_.RefuseAll();
}

void Forwarder::SetStopTime(TimePoint stop_at) {
  stop_at_ = stop_at;
  shortage_.RefuseAll();
}

bool Forwarder::FindRoute(Exchange* it) {
  it->route = it->catalog->FindRoute(it->request.headers.Get("Host"),
                                     PathOf(it->request.target));
  if (it->route != nullptr) return true;
  Refuse(it, {404, "route-unknown", {}});
  return false;
}

bool Forwarder::CheckKey(Exchange* it, TimePoint) {
  if (!it->catalog->requires_keys()) return true;
  const std::string& key_header =
      it->request.headers.Get(deps_.header_names->key);
  const std::string& scheme = deps_.header_names->key_scheme;
  const bool has_key =
      key_header.size() > scheme.size() + 1 &&
      strncasecmp(key_header.data(), scheme.data(), scheme.size()) == 0 &&
      key_header[scheme.size()] == ' ';
  if (it->route->open && !has_key) return true;
  // A key may have been withdrawn since the configuration was last confirmed.
  if (!it->route->open && !deps_.freshness->IsFresh(BootTimeNow())) {
    Refuse(it, {503, "stale-keys", kConfigurationRetryAfter});
    return false;
  }
  if (has_key) {
    it->workspace = it->catalog->FindByKey(
        Sha256(std::string_view(key_header).substr(scheme.size() + 1)));
  }
  if (it->workspace != nullptr || it->route->open) return true;
  Refuse(it, {401, has_key ? "key-unknown" : "no-key", {}});
  return false;
}

bool Forwarder::CheckRateLimit(Exchange* it, TimePoint now) {
  if (it->workspace == nullptr) return true;
  const WorkspaceLimiter::Ticket ticket = next_limit_ticket_++;
  const WorkspaceLimiter::Result result =
      deps_.limiter->Admit(it->workspace->name, ticket, now);
  switch (result.admission) {
    case WorkspaceLimiter::Admission::kAdmitted:
      it->is_admitted = true;
      return true;
    case WorkspaceLimiter::Admission::kRefused:
      RefuseOverLimit(it, result.retry_after);
      return false;
    case WorkspaceLimiter::Admission::kWaiting:
      it->limit_ticket = ticket;
      limit_tickets_[ticket] = it->id;
      return false;
  }
  return false;
}

void Forwarder::OnLimitDecided(const WorkspaceLimiter::Decision& decision) {
  const auto ticket = limit_tickets_.find(decision.ticket);
  if (ticket == limit_tickets_.end()) return;
  Exchange* it = exchanges_.at(ticket->second).get();
  limit_tickets_.erase(ticket);
  it->limit_ticket = 0;
  it->is_admitted = decision.is_admitted;
  if (!decision.is_admitted) {
    RefuseOverLimit(it, decision.retry_after);
    return;
  }
  Start(it, EventLoop::Now());
}

void Forwarder::RefuseOverLimit(Exchange* it, Duration retry_after) {
  const TimePoint now = EventLoop::Now();
  it->is_logged = limit_refusals_.Log(
      deps_.log, deps_.limiter,
      {it->request_id, it->workspace->name, now - it->arrived_at, retry_after},
      now);
  Refuse(it, {429, "rate-limited", retry_after});
}

void Forwarder::Prepare(Exchange* it, TimePoint now) {
  const TrafficRoute& route = *it->route;
  const RequestDeadline deadline = deadlines_.Read(
      it->request.headers.Get(deps_.header_names->deadline_ms), route);
  it->deadline = it->arrived_at + deadline.time_left;
  PlacementRequest& placement_request = it->placement_request;
  placement_request.service = backend_picker_.Pick(route);
  placement_request.route = route.name;
  const std::string& object =
      it->request.headers.Get(deps_.header_names->object);
  if (!object.empty()) placement_request.object = Hash64(object, 1) | 1;
  placement_request.regions = IntersectRegions(
      route.allowed_regions, it->workspace == nullptr
                                 ? std::vector<std::string>{}
                                 : it->workspace->allowed_regions);
  placement_request.objective = route.objective;
  placement_request.idempotent = route.idempotent;
  placement_request.has_large_responses = route.has_large_responses;
  placement_request.priority =
      it->workspace != nullptr && it->workspace->priority >= 0
          ? it->workspace->priority
          : route.priority;
  placement_request.is_retry = deadline.is_retry;
  deps_.budget->OnRequest(placement_request.service, now);
  const ExchangeId id = it->id;
  it->deadline_timer =
      deps_.loop->After(it->deadline - now, [this, id] { OnDeadline(id); });
}

bool Forwarder::CheckCrashSuspicion(Exchange* it, TimePoint now) {
  it->fingerprint = CrashFingerprint(
      it->workspace == nullptr ? "" : it->workspace->name, it->request.method,
      it->request.target, it->request.body.Blocks());
  if (!deps_.crashes->IsBlocked(it->fingerprint, now)) return true;
  // The status must not promise that the request has not run, since earlier
  // attempts of the caller have run.
  Refuse(it, {502, "suspected-crash", {}});
  return false;
}

}  // namespace rwf
