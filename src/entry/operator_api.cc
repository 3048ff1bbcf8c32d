#include "entry/operator_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/digest.h"
#include "config/parser.h"
#include "config/sections.h"

namespace rwf {
namespace {

// A withdrawal request is answered after this time even if some VMs have not
// confirmed it.
constexpr Duration kWithdrawalTimeout = std::chrono::seconds(3);
constexpr size_t kHistoryPageSize = 200;
constexpr Duration kRecordRetryInterval = std::chrono::seconds(2);

const char* OutcomeName(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kRejected:
      return "rejected";
    case ChangeOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

const char* StateName(wire::PeerState state) {
  switch (state) {
    case wire::PeerState::kAlive:
      return "alive";
    case wire::PeerState::kSuspect:
      return "suspect";
    case wire::PeerState::kDead:
      return "dead";
    case wire::PeerState::kLeft:
      return "left";
  }
  return "";
}

void RespondError(const std::shared_ptr<HttpExchange>& exchange, int status,
                  const std::string& message) {
  exchange->Respond(JsonResponse(status, Json{{"error", message}}.dump()));
}

void RespondStoreError(const std::shared_ptr<HttpExchange>& exchange,
                       const Error& error) {
  RespondError(exchange, 503, error.message);
}

// Parses an audit record; returns text that is not JSON as a JSON string.
Json AuditRecordJson(const std::string& text) {
  Json parsed = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return parsed.is_discarded() ? Json(text) : parsed;
}

}  // namespace

OperatorApi::OperatorApi(Dependencies deps) : deps_(std::move(deps)) {}

OperatorApi::~OperatorApi() = default;

const std::vector<OperatorApi::Endpoint>& OperatorApi::Endpoints() {
  static const std::vector<Endpoint> kEndpoints = {
      {"GET", "/v1/config", &OperatorApi::GetConfig},
      {"POST", "/v1/config", &OperatorApi::PostConfig},
      {"GET", "/v1/operations/", &OperatorApi::GetOperation},
      {"GET", "/v1/history", &OperatorApi::GetHistory},
      {"POST", "/v1/keys/withdraw", &OperatorApi::PostWithdraw},
      {"GET", "/v1/status", &OperatorApi::GetStatus},
      {"GET", "/v1/explain", &OperatorApi::GetExplain},
  };
  return kEndpoints;
}

void OperatorApi::Handle(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  if (!ConstantTimeEqual(request.headers.Get("Authorization"),
                         "Bearer " + deps_.settings->operator_token)) {
    RespondError(exchange, 401, "missing or invalid operator token");
    return;
  }
  bool is_path_known = false;
  for (const Endpoint& it : Endpoints()) {
    const std::string_view path = it.path;
    const bool matches = path.ends_with('/') ? request.path.starts_with(path)
                                             : request.path == path;
    if (!matches) continue;
    is_path_known = true;
    if (request.method != it.method) continue;
    (this->*it.handle)(exchange);
    return;
  }
  RespondError(exchange, is_path_known ? 405 : 404,
               fmt::format("no endpoint {} {}", request.method, request.path));
}

void OperatorApi::GetConfig(const Exchange& exchange) {
  const ConfigReplica& replica = *deps_.replica;
  if (replica.current() == nullptr) {
    exchange->Respond(JsonResponse(
        200,
        Json{{"generation", 0}, {"digest", ""}, {"config", nullptr}}.dump()));
    return;
  }
  exchange->Respond(
      JsonResponse(200, Json{{"generation", replica.generation()},
                             {"digest", ToHex(replica.digest())},
                             {"config", ConfigToJson(*replica.current())}}
                            .dump()));
}

void OperatorApi::PostConfig(const Exchange& exchange) {
  const auto body = ParseJson(exchange->request().body, "request");
  if (!body) {
    RespondError(exchange, 400, body.error().message);
    return;
  }
  std::vector<JsonProblem> problems;
  JsonReader reader(*body, "", &problems);
  ChangeRequest change;
  change.from_generation = static_cast<uint64_t>(
      reader.Integer("expected_generation", 0, INT64_MAX - 1));
  change.operation_id = reader.String("operation_id");
  change.who = reader.String("who");
  change.action = reader.String("action");
  change.when = EventLoop::WallNow();
  reader.Boolean("force", false);
  reader.Object("config");
  reader.Finish();
  if (!problems.empty()) {
    RespondError(exchange, 400, FormatProblems(problems));
    return;
  }
  Json document = body->at("config");
  document["generation"] = change.from_generation + 1;
  const std::shared_ptr<const Config> config = ReadConfig(document, &problems);
  if (config == nullptr || !problems.empty()) {
    RespondError(exchange, 400, FormatProblems(problems));
    return;
  }
  if (const std::string refusal = CheckEntryVms(*config); !refusal.empty()) {
    exchange->Respond(
        JsonResponse(409, Json{{"result", "rejected"},
                               {"generation", deps_.replica->generation()},
                               {"message", refusal}}
                              .dump()));
    return;
  }
  const auto sections = SplitIntoSections(*config);
  if (!sections) {
    RespondError(exchange, 400, sections.error().message);
    return;
  }
  for (const Section& it : *sections) change.sections[it.name] = it.text;
  const std::string operation_id = change.operation_id;
  StartChange(std::move(change), [exchange,
                                  operation_id](const ChangeResult& result) {
    const int status = result.outcome == ChangeOutcome::kRejected ? 409 : 200;
    exchange->Respond(
        JsonResponse(status, Json{{"result", OutcomeName(result.outcome)},
                                  {"generation", result.generation},
                                  {"digest", ToHex(result.digest)},
                                  {"operation_id", operation_id},
                                  {"audit_pending", result.audit_pending},
                                  {"message", result.message}}
                                 .dump()));
  });
}

std::string OperatorApi::CheckEntryVms(const Config& next) const {
  const std::shared_ptr<const Config>& current = deps_.replica->current();
  if (current == nullptr || current->entry_vms == next.entry_vms) return "";
  std::vector<std::string> retiring;
  for (const EntryVm& it : current->entry_vms) {
    const EntryVm* next_vm = next.FindEntryVm(it.id);
    if (next_vm == nullptr && !it.retired && it.weight != 0) {
      return fmt::format(
          "entry VM {} may only be removed after it has been retired or has "
          "had weight 0 for one generation",
          it.id);
    }
    if (next_vm != nullptr && next_vm->retired && !it.retired) {
      retiring.push_back(it.id);
    }
  }
  if (deps_.may_change_entry_vms(retiring)) return "";
  return "entry_vms cannot change until all VMs have confirmed the list in "
         "force; see rwf status";
}

void OperatorApi::StartChange(ChangeRequest request,
                              std::function<void(const ChangeResult&)> done) {
  auto outcome = std::make_shared<ChangeOutcome>(ChangeOutcome::kUnknown);
  auto writer = std::make_unique<ConfigWriter>(
      deps_.store, deps_.store_budget, deps_.random, deps_.parse_sections,
      std::move(request),
      [done = std::move(done), outcome](const ChangeResult& result) {
        *outcome = result.outcome;
        if (done) done(result);
      });
  writer->Start(EventLoop::Now());
  changes_.push_back({std::move(writer), std::move(outcome)});
}

void OperatorApi::RecordWithdrawals(TimePoint now) {
  const std::shared_ptr<const Config>& current = deps_.replica->current();
  if (current == nullptr) return;
  std::erase_if(unrecorded_withdrawals_, [&](const UnrecordedWithdrawal& it) {
    const auto& recorded = current->withdrawn_keys;
    return std::find(recorded.begin(), recorded.end(), it.digest) !=
           recorded.end();
  });
  for (UnrecordedWithdrawal& it : unrecorded_withdrawals_) {
    if (now < it.next_attempt_at) continue;
    it.next_attempt_at = now + kRecordRetryInterval;
    Config next = *current;
    ++next.generation;
    next.withdrawn_keys.push_back(it.digest);
    Propose(next, it.who, "key withdraw " + ToHex(it.digest));
    return;
  }
}

void OperatorApi::Propose(const Config& next, const std::string& who,
                          const std::string& action) {
  // Two concurrent changes from one VM would conflict, since both follow the
  // same generation.
  if (!changes_.empty()) return;
  const auto sections = SplitIntoSections(next);
  if (!sections) return;
  ChangeRequest change;
  change.from_generation = next.generation - 1;
  change.operation_id = ToHex(RandomBytes(16));
  change.who = who;
  change.action = action;
  change.when = EventLoop::WallNow();
  for (const Section& it : *sections) change.sections[it.name] = it.text;
  StartChange(std::move(change), nullptr);
}

void OperatorApi::GetOperation(const Exchange& exchange) {
  static constexpr std::string_view kPathPrefix = "/v1/operations/";
  const std::string id = exchange->request().path.substr(kPathPrefix.size());
  const auto respond = [exchange, id](const char* result, uint64_t generation) {
    exchange->Respond(JsonResponse(200, Json{{"operation_id", id},
                                             {"result", result},
                                             {"generation", generation}}
                                            .dump()));
  };
  deps_.store->Get(
      RejectedAuditKey(id), [this, exchange, id, respond](
                                const Result<StoreValue>& rejected, TimePoint) {
        if (!rejected) return RespondStoreError(exchange, rejected.error());
        if (rejected->version != 0) return respond("rejected", 0);
        const uint64_t generation = deps_.replica->generation();
        const std::string after = generation > kHistoryPageSize
                                      ? AuditKey(generation - kHistoryPageSize)
                                      : "";
        deps_.store->List(
            "audit/", after, kHistoryPageSize,
            [exchange, id, respond](const Result<StorePage>& page, TimePoint) {
              if (!page) return RespondStoreError(exchange, page.error());
              for (const StoreEntry& it : page->entries) {
                const auto record = ParseAuditRecord(it.value.value);
                if (!record || record->operation_id != id) continue;
                return respond("accepted", record->generation());
              }
              return respond("unknown", 0);
            });
      });
}

void OperatorApi::GetHistory(const Exchange& exchange) {
  const std::string text = exchange->request().QueryValue("limit");
  uint64_t limit = kHistoryPageSize;
  if (!text.empty() &&
      std::from_chars(text.data(), text.data() + text.size(), limit).ec !=
          std::errc()) {
    RespondError(exchange, 400, "limit must be a non-negative integer");
    return;
  }
  const uint64_t generation = deps_.replica->generation();
  const std::string after =
      generation > limit ? AuditKey(generation - limit) : "";
  deps_.store->List("audit/", after, std::min<size_t>(limit, kHistoryPageSize),
                    [exchange](const Result<StorePage>& page, TimePoint) {
                      if (!page)
                        return RespondStoreError(exchange, page.error());
                      Json records = Json::array();
                      for (const StoreEntry& it : page->entries) {
                        records.push_back(AuditRecordJson(it.value.value));
                      }
                      exchange->Respond(JsonResponse(
                          200, Json{{"records", std::move(records)}}.dump()));
                    });
}

void OperatorApi::PostWithdraw(const Exchange& exchange) {
  const auto body = ParseJson(exchange->request().body, "request");
  if (!body) {
    RespondError(exchange, 400, body.error().message);
    return;
  }
  std::vector<JsonProblem> problems;
  JsonReader reader(*body, "", &problems);
  const std::string text = reader.String("digest");
  const std::string who = reader.String("who", "unknown");
  reader.String("operation_id", "");
  reader.Finish();
  Digest digest;
  if (!FromHex(text, &digest)) {
    reader.AddProblem("digest", "expected 64 hexadecimal characters");
  }
  if (!problems.empty()) {
    RespondError(exchange, 400, FormatProblems(problems));
    return;
  }
  deps_.withdraw(digest);
  unrecorded_withdrawals_.push_back({digest, who, {}});
  pending_withdrawals_.push_back(
      {exchange, EventLoop::Now() + kWithdrawalTimeout});
}

Json OperatorApi::WithdrawalStatus(bool* all_confirmed) const {
  *all_confirmed = true;
  Json out = Json::array();
  const ServingView* view = deps_.view();
  if (view == nullptr) return out;
  for (const EntryVm& vm : view->config().entry_vms) {
    if (vm.retired) continue;
    bool confirmed = vm.id == deps_.settings->vm;
    if (!confirmed) {
      const auto it = deps_.peer_withdrawal_digests->find(vm.id);
      const Member* member = deps_.roster->Find(vm.id);
      confirmed = it != deps_.peer_withdrawal_digests->end() &&
                  member != nullptr && member->IsLive() &&
                  it->second == deps_.withdrawals->set_digest();
    }
    if (!confirmed) *all_confirmed = false;
    out.push_back({{"id", vm.id}, {"zone", vm.zone}, {"confirmed", confirmed}});
  }
  return out;
}

void OperatorApi::TickWithdrawals(TimePoint now) {
  if (pending_withdrawals_.empty()) return;
  bool all_confirmed = false;
  const Json vms = WithdrawalStatus(&all_confirmed);
  std::erase_if(pending_withdrawals_, [&](const PendingWithdrawal& it) {
    if (!all_confirmed && now < it.deadline) return false;
    it.exchange->Respond(JsonResponse(
        200, Json{{"vms", vms}, {"all_confirmed", all_confirmed}}.dump()));
    return true;
  });
}

void OperatorApi::GetStatus(const Exchange& exchange) {
  const TimePoint now = EventLoop::Now();
  Json vms = Json::array();
  const auto age_ms = [](Duration age) {
    return age == Duration::max() ? -1 : ToMillis(age);
  };
  if (const ServingView* view = deps_.view(); view != nullptr) {
    for (const EntryVm& vm : view->config().entry_vms) {
      if (vm.retired) continue;
      const bool is_self = vm.id == deps_.settings->vm;
      const Member* member = deps_.roster->Find(vm.id);
      const bool is_known =
          is_self || (member != nullptr && member->incarnation != 0);
      Json row = {{"id", vm.id}, {"zone", vm.zone}};
      row["state"] = is_self    ? "alive"
                     : is_known ? StateName(member->state)
                                : "unknown";
      row["generation"] = is_self    ? deps_.replica->generation()
                          : is_known ? member->generation
                                     : 0;
      row["leaving"] =
          is_self ? deps_.is_leaving() : is_known && member->leaving;
      row["ready"] =
          is_known && !row["leaving"].get<bool>() && row["state"] == "alive";
      if (is_self) {
        row["store_contact_age_ms"] = age_ms(deps_.store_contact->Age(now));
      } else {
        row["news_age_ms"] =
            is_known ? ToMillis(now - member->last_update) : -1;
      }
      vms.push_back(std::move(row));
    }
  }
  exchange->Respond(
      JsonResponse(200, Json{{"vm", deps_.settings->vm},
                             {"generation", deps_.replica->generation()},
                             {"digest", ToHex(deps_.replica->digest())},
                             {"vms", std::move(vms)}}
                            .dump()));
}

void OperatorApi::GetExplain(const Exchange& exchange) {
  const ServingView* view = deps_.view();
  if (view == nullptr) {
    RespondError(exchange, 503, "no configuration is in force yet");
    return;
  }
  const HttpRequest& request = exchange->request();
  const std::string service = request.QueryValue("service");
  ServiceState* state = deps_.proxy->FindService(service);
  if (state == nullptr || view->config().FindService(service) == nullptr) {
    RespondError(exchange, 404, fmt::format("unknown service \"{}\"", service));
    return;
  }
  uint32_t client = 0;
  const std::string client_text = request.QueryValue("client");
  if (!ParseIpv4(client_text, &client)) {
    RespondError(exchange, 400, "client must be an IPv4 address");
    return;
  }
  const Config& config = view->config();
  Json entries = Json::array();
  for (const EntryChoice& it :
       view->entry_selector().Select(client, service, [&](size_t vm) {
         return deps_.lookup_handler->IsUsable(config, vm);
       })) {
    entries.push_back({{"id", config.entry_vms[it.vm].id},
                       {"zone", config.entry_vms[it.vm].zone},
                       {"tier", TierName(it.tier)},
                       {"weight", it.weight}});
  }
  Json upstreams = Json::array();
  for (const Candidate& it : state->Explain(EventLoop::Now())) {
    upstreams.push_back({{"id", it.id},
                         {"tier", TierName(it.tier)},
                         {"state", CandidateStateName(it.state)},
                         {"in_flight", it.in_flight},
                         {"score", it.score},
                         {"latency_ms", ToSeconds(it.latency) * 1000},
                         {"report_is_fresh", it.report_is_fresh},
                         {"retry_after_ms", ToMillis(it.retry_after)}});
  }
  const size_t zone = view->entry_selector().ZoneOf(client, service);
  const std::string reason =
      zone == Topology::kNone
          ? "the zone of the client is not known"
          : fmt::format(
                "client {} is steered to zone {} at generation {}; "
                "upstreams as seen from {}",
                client_text, view->entry_selector().topology().zone_name(zone),
                config.generation, deps_.settings->vm);
  exchange->Respond(JsonResponse(200, Json{{"entry_vms", std::move(entries)},
                                           {"upstreams", std::move(upstreams)},
                                           {"reason", reason}}
                                          .dump()));
}

void OperatorApi::Tick(TimePoint now) {
  for (const Change& it : changes_) it.writer->Tick(now);
  std::erase_if(changes_, [&](const Change& it) {
    if (!it.writer->finished()) return false;
    if (*it.outcome == ChangeOutcome::kAccepted) {
      // Puts the change in force at this VM at once, without waiting for the
      // store; peers then receive it from here.
      deps_.replica->OfferManifest(FormatManifest(it.writer->manifest()), now);
      for (const auto& [name, text] : it.writer->request().sections) {
        deps_.replica->OfferSection(text, now);
      }
    }
    return true;
  });
  TickWithdrawals(now);
  RecordWithdrawals(now);
}

}  // namespace rwf
