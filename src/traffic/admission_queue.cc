#include "traffic/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace rwf {
namespace {

constexpr Duration kNever = Duration::max();
// Rate of ended attempts below which nothing is expected to become free.
constexpr double kMinRate = 0.1;
// Starts below which a workspace is forgotten.
constexpr double kMinStarts = 0.01;

}  // namespace

double AdmissionQueue::DecayingSum::At(TimePoint now) const {
  return value * std::exp2(-ToSeconds(now - at) / ToSeconds(kStartHalfLife));
}

void AdmissionQueue::DecayingSum::Add(double n, TimePoint now) {
  value = At(now) + n;
  at = now;
}

double AdmissionQueue::FairLevel(const Starts& starts, const Starts& waiting) {
  // The start that is about to be decided, and those of the last seconds.
  double shared = 1;
  std::vector<double> wanted;
  wanted.reserve(starts.size() + waiting.size());
  for (const auto& [workspace, n] : starts) {
    shared += n;
    const auto it = waiting.find(workspace);
    wanted.push_back(n + (it == waiting.end() ? 0 : it->second));
  }
  for (const auto& [workspace, n] : waiting) {
    if (!starts.contains(workspace)) wanted.push_back(n);
  }
  std::sort(wanted.begin(), wanted.end());
  // Workspaces that want less than an even part leave the rest to the others.
  for (size_t n = 0; n < wanted.size(); ++n) {
    const double even = shared / static_cast<double>(wanted.size() - n);
    if (wanted[n] > even) return even;
    shared -= wanted[n];
  }
  return std::numeric_limits<double>::max();
}

std::vector<const AdmissionQueue::Entry*> AdmissionQueue::Ordered(
    const Service& service, TimePoint now) {
  std::vector<const Entry*> out;
  out.reserve(service.entries.size());
  for (const Entry& it : service.entries) out.push_back(&it);
  if (out.size() < 2) return out;
  std::sort(out.begin(), out.end(), [](const Entry* a, const Entry* b) {
    return std::tuple(a->request.priority, a->is_late, a->latest_start,
                      a->request.id) < std::tuple(b->request.priority,
                                                  b->is_late, b->latest_start,
                                                  b->request.id);
  });
  Starts starts;
  for (const auto& [workspace, it] : service.starts)
    starts[workspace] = it.At(now);
  Starts waiting;
  for (const Entry* it : out) ++waiting[it->request.workspace];
  const double level = FairLevel(starts, waiting);
  // Within a priority and lateness, requests of workspaces above the level
  // follow all others.
  std::vector<const Entry*> above;
  auto placed = out.begin();
  for (auto it = out.begin(); it != out.end(); ++it) {
    const Entry* entry = *it;
    double& n = starts[entry->request.workspace];
    (n >= level ? above.emplace_back() : *placed++) = entry;
    ++n;
    const auto next = it + 1;
    if (next != out.end() &&
        (*next)->request.priority == entry->request.priority &&
        (*next)->is_late == entry->is_late)
      continue;
    placed = std::copy(above.begin(), above.end(), placed);
    above.clear();
  }
  return out;
}

Duration AdmissionQueue::ExpectedWait(const Service& service, size_t ahead,
                                      TimePoint now) {
  const double rate = service.ended.PerSecond(now);
  if (rate < kMinRate) return kNever;
  return FromSeconds(static_cast<double>(ahead + 1) / rate);
}

bool AdmissionQueue::SetLatestStart(Service* service, Entry* entry,
                                    TimePoint now) {
  const WaitingRequest& request = entry->request;
  const TimePoint last =
      request.ends_at - FromSeconds(ToSeconds(request.run) * (1 + kRunMargin));
  for (const bool is_late : {false, true}) {
    entry->is_late = is_late;
    entry->latest_start =
        (is_late ? last : std::min(last, request.in_time_until - request.run)) -
        kResponseMargin;
    if (entry->latest_start <= now) continue;
    const std::vector<const Entry*> ordered = Ordered(*service, now);
    const auto pos = std::find(ordered.begin(), ordered.end(), entry);
    const Duration wait =
        ExpectedWait(*service, static_cast<size_t>(pos - ordered.begin()), now);
    if (wait != kNever && now + wait <= entry->latest_start) return true;
  }
  return false;
}

Duration AdmissionQueue::RetryAfter(Service* service, TimePoint now) {
  const double rate = service->ended.PerSecond(now);
  const double elapsed = ToSeconds(now - service->expected_back_at);
  service->expected_back =
      std::max(0.0, service->expected_back - rate * elapsed) + 1;
  service->expected_back_at = now;
  if (rate < kMinRate) return kMaxRetryAfter;
  const double ahead =
      static_cast<double>(service->entries.size()) + service->expected_back;
  return std::clamp(FromSeconds(std::min(ahead / rate, 60.0)), kMinRetryAfter,
                    kMaxRetryAfter);
}

std::optional<Duration> AdmissionQueue::Offer(const WaitingRequest& request,
                                              TimePoint now) {
  Service& service = services_[request.service];
  service.entries.push_back({request});
  if (!SetLatestStart(&service, &service.entries.back(), now)) {
    service.entries.pop_back();
    ++counters_.refused_at_arrival;
    return RetryAfter(&service, now);
  }
  services_by_id_[request.id] = request.service;
  ++counters_.queued;
  if (service.entries.size() > kMaxWaiting) Displace(&service, now);
  return std::nullopt;
}

void AdmissionQueue::Displace(Service* service, TimePoint now) {
  std::map<std::string, size_t> waiting;
  for (const Entry& it : service->entries) ++waiting[it.request.workspace];
  const auto largest = std::max_element(
      waiting.begin(), waiting.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  const std::vector<const Entry*> ordered = Ordered(*service, now);
  const auto last = std::find_if(
      ordered.rbegin(), ordered.rend(),
      [&](const Entry* it) { return it->request.workspace == largest->first; });
  const uint64_t id = (*last)->request.id;
  std::erase_if(service->entries,
                [&](const Entry& it) { return it.request.id == id; });
  services_by_id_.erase(id);
  ++counters_.displaced;
  refused_.push_back({id, RetryAfter(service, now)});
}

std::vector<uint64_t> AdmissionQueue::Next(const std::string& service, size_t n,
                                           TimePoint now) const {
  std::vector<uint64_t> out;
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.entries.empty()) return out;
  for (const Entry* it : Ordered(found->second, now)) {
    if (out.size() >= n) break;
    if (it->latest_start >= now) out.push_back(it->request.id);
  }
  return out;
}

void AdmissionQueue::OnStarted(const std::string& service,
                               const std::string& workspace, uint64_t id,
                               TimePoint now) {
  Service& it = services_[service];
  it.starts[workspace].Add(1, now);
  if (services_by_id_.erase(id) == 0) return;
  std::erase_if(it.entries, [&](const Entry& e) { return e.request.id == id; });
  ++counters_.started;
}

void AdmissionQueue::OnEnded(const std::string& service, TimePoint now) {
  services_[service].ended.Add(now);
}

bool AdmissionQueue::Cancel(uint64_t id) {
  const auto found = services_by_id_.find(id);
  if (found == services_by_id_.end()) return false;
  std::erase_if(services_.at(found->second).entries,
                [&](const Entry& it) { return it.request.id == id; });
  services_by_id_.erase(found);
  ++counters_.cancelled;
  return true;
}

std::optional<TimePoint> AdmissionQueue::NextExpiry() const {
  std::optional<TimePoint> out;
  for (const auto& [name, service] : services_) {
    for (const Entry& it : service.entries)
      out = std::min(out.value_or(it.latest_start), it.latest_start);
  }
  return out;
}

std::vector<AdmissionQueue::Refusal> AdmissionQueue::TakeRefused(
    TimePoint now) {
  for (auto& [name, service] : services_) {
    for (size_t n = 0; n < service.entries.size();) {
      Entry& entry = service.entries[n];
      // A request that can no longer be in time may still be served late.
      if (entry.latest_start >= now ||
          (!entry.is_late && SetLatestStart(&service, &entry, now))) {
        ++n;
        continue;
      }
      const uint64_t id = entry.request.id;
      service.entries.erase(service.entries.begin() +
                            static_cast<ptrdiff_t>(n));
      services_by_id_.erase(id);
      ++counters_.expired;
      refused_.push_back({id, RetryAfter(&service, now)});
    }
    std::erase_if(service.starts, [&](const auto& it) {
      return it.second.At(now) < kMinStarts;
    });
  }
  return std::exchange(refused_, {});
}

std::vector<uint64_t> AdmissionQueue::Clear() {
  std::vector<uint64_t> out;
  for (const auto& [id, service] : services_by_id_) out.push_back(id);
  for (auto& [name, service] : services_) service.entries.clear();
  services_by_id_.clear();
  return out;
}

std::vector<std::string> AdmissionQueue::WaitingServices() const {
  std::vector<std::string> out;
  for (const auto& [name, service] : services_) {
    if (!service.entries.empty()) out.push_back(name);
  }
  return out;
}

}  // namespace rwf
