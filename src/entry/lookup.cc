#include "entry/lookup.h"

#include <fmt/format.h>

#include "base/json_reader.h"
#include "entry/refusal.h"
#include "once/idempotency_key.h"

namespace rwf {

HttpResponse Lookup::Answer(const ServingView* view, const HttpRequest& request,
                            WallTime wall) const {
  parts_.metrics->CountLookup();
  if (view == nullptr) {
    return RefusalResponse(Refusal::kNotReady, RunOutcome::kNotRun,
                           "no configuration is in force yet");
  }
  const Config& config = view->config();
  const std::string service = request.QueryValue("service");
  if (config.FindService(service) == nullptr) {
    return RefusalResponse(Refusal::kRouteUnknown, RunOutcome::kNotRun,
                           fmt::format("no service \"{}\"", service));
  }
  const std::string& named = request.headers.Get("X-Client-Address");
  uint32_t client = 0;
  if (!ParseIpv4(named.empty() ? request.client_address : named, &client)) {
    return RefusalResponse(Refusal::kBadRequest, RunOutcome::kNotRun,
                           "X-Client-Address is no IPv4 address");
  }
  Json vms = Json::array();
  for (const EntryChoice& it : view->entries().Select(
           client, service, [&](size_t vm) { return IsUsable(config, vm); })) {
    const EntryVm& vm = config.entry_vms[it.vm];
    vms.push_back({{"id", vm.id},
                   {"zone", vm.zone},
                   {"address", vm.address},
                   {"port", vm.caller_port},
                   {"weight", it.weight},
                   {"idempotency_prefix", PrefixFor(vm.id, wall)}});
  }
  const Json body = {{"generation", config.generation},
                     {"service", service},
                     {"ttl_ms", ToMillis(config.limits.lookup_ttl)},
                     {"entry_vms", std::move(vms)}};
  return JsonResponse(200, body.dump());
}

bool Lookup::IsUsable(const Config& config, size_t vm) const {
  const std::string& id = config.entry_vms[vm].id;
  if (id == parts_.settings->vm) return !parts_.is_leaving();
  const Member* member = parts_.roster->Find(id);
  return member != nullptr && member->incarnation != 0 && !member->leaving &&
         member->state == wire::PeerState::kAlive;
}

std::string Lookup::PrefixFor(const std::string& vm, WallTime wall) const {
  uint64_t incarnation = parts_.claims->incarnation();
  if (vm != parts_.settings->vm) {
    const Member* member = parts_.roster->Find(vm);
    if (member == nullptr || member->incarnation == 0) return "";
    // Refutations change the low bits; keys name the process.
    incarnation = ProcessStartMs(member->incarnation) << kRefutationBits;
  }
  return IdempotencyKey::MintPrefix(vm, incarnation,
                                    parts_.claims->MintTime(wall),
                                    parts_.settings->fleet_secrets.front());
}

}  // namespace rwf
