#include "entry/lookup_handler.h"

#include <fmt/format.h>

#include "base/json_reader.h"
#include "entry/refusal.h"
#include "once/idempotency_key.h"

namespace rwf {

HttpResponse LookupHandler::MakeResponse(const ServingView* view,
                                         const HttpRequest& request,
                                         WallTime wall) const {
  deps_.metrics->CountLookup();
  if (view == nullptr) {
    return RefusalResponse(Refusal::kNotReady, RunOutcome::kNotRun,
                           "no configuration is in force yet");
  }
  const Config& config = view->config();
  const std::string service = request.QueryValue("service");
  if (config.FindService(service) == nullptr) {
    return RefusalResponse(Refusal::kRouteUnknown, RunOutcome::kNotRun,
                           fmt::format("unknown service \"{}\"", service));
  }
  const std::string& client_header = request.headers.Get("X-Client-Address");
  uint32_t client = 0;
  if (!ParseIpv4(client_header.empty() ? request.client_address : client_header,
                 &client)) {
    return RefusalResponse(Refusal::kBadRequest, RunOutcome::kNotRun,
                           "X-Client-Address is not an IPv4 address");
  }
  Json vms = Json::array();
  for (const EntryChoice& it : view->entry_selector().Select(
           client, service, [&](size_t vm) { return IsUsable(config, vm); })) {
    const EntryVm& vm = config.entry_vms[it.vm];
    vms.push_back({{"id", vm.id},
                   {"zone", vm.zone},
                   {"address", vm.address},
                   {"port", vm.caller_port},
                   {"weight", it.weight},
                   {"idempotency_prefix", IdempotencyPrefix(vm.id, wall)}});
  }
  const Json body = {{"generation", config.generation},
                     {"service", service},
                     {"ttl_ms", ToMillis(config.limits.lookup_ttl)},
                     {"entry_vms", std::move(vms)}};
  return JsonResponse(200, body.dump());
}

bool LookupHandler::IsUsable(const Config& config, size_t vm) const {
  const std::string& id = config.entry_vms[vm].id;
  if (id == deps_.settings->vm) return !deps_.is_leaving();
  const Member* member = deps_.roster->Find(id);
  return member != nullptr && member->incarnation != 0 && !member->leaving &&
         member->state == wire::PeerState::kAlive;
}

std::string LookupHandler::IdempotencyPrefix(const std::string& vm,
                                             WallTime wall) const {
  uint64_t incarnation = deps_.claim_ledger->incarnation();
  if (vm != deps_.settings->vm) {
    const Member* member = deps_.roster->Find(vm);
    if (member == nullptr || member->incarnation == 0) return "";
    // Refutations of a suspicion change the low bits of the incarnation; keys
    // refer to the process, whose bits stay the same.
    incarnation = ProcessStartMs(member->incarnation) << kRefutationBits;
  }
  return IdempotencyKey::MintPrefix(vm, incarnation,
                                    deps_.claim_ledger->MintTime(wall),
                                    deps_.settings->fleet_secrets.front());
}

}  // namespace rwf
