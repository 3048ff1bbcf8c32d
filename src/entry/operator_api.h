#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "entry/lookup_handler.h"
#include "entry/proxy.h"
#include "entry/serving_view.h"
#include "entry/settings.h"
#include "membership/roster.h"
#include "net/http_server.h"
#include "replica/config_replica.h"
#include "replica/config_writer.h"
#include "replica/store_sync.h"

namespace rwf {

// Serves the HTTP interface for operators, which docs/INTERFACES.md describes.
class OperatorApi {
 public:
  // All pointers outlive the object.
  struct Dependencies {
    const Settings* settings;
    ConfigReplica* replica;
    Store* store;
    CallBudget* store_budget;
    Random* random;
    ParseSections parse_sections;
    const StoreContact* store_contact;
    const Roster* roster;
    const WithdrawalSet* withdrawals;
    // Digests of the withdrawal sets that peers last reported, by VM.
    const std::map<std::string, Digest>* peer_withdrawal_digests;
    Proxy* proxy;
    const LookupHandler* lookup_handler;
    std::function<const ServingView*()> view;
    std::function<void(const Digest&)> withdraw;
    // ShareLedger::MayChangeEntryVms.
    std::function<bool(const std::vector<std::string>&)> may_change_entry_vms;
    std::function<bool()> is_leaving;
  };

  explicit OperatorApi(Dependencies deps);
  ~OperatorApi();

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  // Writes a configuration whose generation follows the one in force. Does
  // nothing while another change from this VM is in progress. The outcome is
  // not reported; an accepted change appears as the configuration in force.
  void Propose(const Config& next, const std::string& who,
               const std::string& action);

  // Advances changes and withdrawals in progress. Called every 50 ms.
  void Tick(TimePoint now);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Endpoint {
    const char* method;
    const char* path;  // with a trailing '/': a prefix
    void (OperatorApi::*handle)(const Exchange& exchange);
  };
  struct Change {
    std::unique_ptr<ConfigWriter> writer;
    std::shared_ptr<ChangeOutcome> outcome;
  };
  struct PendingWithdrawal {
    Exchange exchange;
    TimePoint deadline;
  };

  // A withdrawal that is in force but not yet recorded in the configuration and
  // its audit trail.
  struct UnrecordedWithdrawal {
    Digest digest;
    std::string who;
    TimePoint next_attempt_at{};
  };

  static const std::vector<Endpoint>& Endpoints();
  void GetConfig(const Exchange& exchange);
  void PostConfig(const Exchange& exchange);
  void GetOperation(const Exchange& exchange);
  void GetHistory(const Exchange& exchange);
  void PostWithdraw(const Exchange& exchange);
  void GetStatus(const Exchange& exchange);
  void GetExplain(const Exchange& exchange);

  // Checks whether the entry VMs may change to those of `next`. Returns the
  // reason why not, or an empty string.
  std::string CheckEntryVms(const Config& next) const;
  // Calls `done` with the result unless it is empty.
  void StartChange(ChangeRequest request,
                   std::function<void(const ChangeResult&)> done);
  // Writes withdrawals to the configuration. Each is retried until it is in the
  // configuration in force, since the store may be unavailable.
  void RecordWithdrawals(TimePoint now);
  // Lists for each VM whether it has confirmed the current withdrawal set.
  Json WithdrawalStatus(bool* all_confirmed) const;
  void TickWithdrawals(TimePoint now);

  Dependencies deps_;
  std::vector<Change> changes_;
  std::vector<PendingWithdrawal> pending_withdrawals_;
  std::vector<UnrecordedWithdrawal> unrecorded_withdrawals_;
};

}  // namespace rwf
