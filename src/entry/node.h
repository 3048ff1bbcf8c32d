#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/section_parser.h"
#include "entry/load_poller.h"
#include "entry/lookup_handler.h"
#include "entry/metrics.h"
#include "entry/move_driver.h"
#include "entry/operator_api.h"
#include "entry/proxy.h"
#include "entry/serving_view.h"
#include "entry/settings.h"
#include "keys/withdrawal_set.h"
#include "membership/failure_detector.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_store.h"
#include "net/peer_links.h"
#include "once/claim_client.h"
#include "once/claim_ledger.h"
#include "once/crash_guard.h"
#include "rates/share_ledger.h"
#include "replica/config_replica.h"
#include "replica/config_writer.h"
#include "replica/store_sync.h"
#include "replica/withdrawal_writer.h"

namespace rwf {

// The process of one entry VM. Owns the state machines of the other modules,
// drives their timers and sockets, and passes messages and results between
// them.
class Node {
 public:
  Node(EventLoop* loop, Settings settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  // Binds all ports and starts the timers.
  Result<void> Start();

  // Starts a graceful shutdown: look-up responses no longer list this VM,
  // requests are served until cached responses that list it have expired, the
  // remaining requests are finished, and then the loop stops.
  void BeginStop();

 private:
  // Large enough for a complete configuration, which is posted in one request.
  static constexpr int64_t kMaxOperatorBodyBytes = 64 << 20;

  enum class StopPhase { kRunning, kLeaving, kFinishing, kStopped };

  // Maps a type of peer messages to its handler.
  struct MessageHandler {
    wire::Body type;
    void (Node::*handle)(const std::string& peer, const wire::BodyUnion& body,
                         TimePoint now);
  };
  static const std::vector<MessageHandler>& MessageHandlers();

  void HandlePeerMessage(const std::string& peer,
                         const wire::MessageT& message);
  void OnHeartbeat(const std::string& peer, const wire::BodyUnion& body,
                   TimePoint now);
  void OnHeartbeatAck(const std::string& peer, const wire::BodyUnion& body,
                      TimePoint now);
  void OnProbe(const std::string& peer, const wire::BodyUnion& body,
               TimePoint now);
  void OnProbeReply(const std::string& peer, const wire::BodyUnion& body,
                    TimePoint now);
  void OnLoanRequest(const std::string& peer, const wire::BodyUnion& body,
                     TimePoint now);
  void OnLoanGrant(const std::string& peer, const wire::BodyUnion& body,
                   TimePoint now);
  void OnLoanReturn(const std::string& peer, const wire::BodyUnion& body,
                    TimePoint now);
  void OnClaimRequest(const std::string& peer, const wire::BodyUnion& body,
                      TimePoint now);
  void OnClaimReply(const std::string& peer, const wire::BodyUnion& body,
                    TimePoint now);
  void OnClaimResult(const std::string& peer, const wire::BodyUnion& body,
                     TimePoint now);
  void OnWithdrawals(const std::string& peer, const wire::BodyUnion& body,
                     TimePoint now);
  void OnWithdrawalsPull(const std::string& peer, const wire::BodyUnion& body,
                         TimePoint now);
  void OnCrashSuspicion(const std::string& peer, const wire::BodyUnion& body,
                        TimePoint now);
  void OnConfigPull(const std::string& peer, const wire::BodyUnion& body,
                    TimePoint now);
  void OnConfigPush(const std::string& peer, const wire::BodyUnion& body,
                    TimePoint now);

  void ConnectLinkSignals();
  void HandleLinkUp(const std::string& vm, uint64_t incarnation);
  void HandleLinkDown(const std::string& vm, bool refused);
  void HandleProbeResult(const std::string& vm, std::error_code ec,
                         TimePoint attempted_at);
  void HandleMemberEvents(TimePoint now);

  void FillHeartbeat(wire::HeartbeatT* heartbeat, TimePoint now);
  void AdoptConfig(const std::shared_ptr<const Config>& config, TimePoint now);
  // Linked VMs that are not in the roster of the failure detector.
  std::set<std::string> LinkedNonMembers() const;
  void UpdateLinks();
  // Adds digests of withdrawn keys, floods the new ones to the linked peers
  // except `from`, and queues them for writing to the store. `from` is empty if
  // they did not come from a peer.
  void AddWithdrawals(const std::vector<Digest>& digests,
                      const std::string& from);
  void SendWithdrawals(const std::string& peer,
                       const std::vector<Digest>& digests);

  void SendAll(std::vector<MemberMessage> messages);
  void SendAll(std::vector<ReplicaMessage> messages);
  template <typename T>
  void Send(const std::string& peer, T message);
  void FlushLedger();
  void FlushClaims();
  void FloodSuspicions(const std::vector<wire::CrashSuspicionT>& suspicions,
                       const std::string& from);

  MoveDriver::Dependencies MoveDriverDependencies();
  void FastTick();
  void SlowTick();
  void HandleCallerRequest(const std::shared_ptr<HttpExchange>& exchange);
  void TickStop(TimePoint now);
  void AddMetrics();
  bool is_leaving() const { return stop_phase_ != StopPhase::kRunning; }
  bool IsReady() const { return view_ != nullptr && !is_leaving(); }

  EventLoop* loop_;
  Settings settings_;
  uint64_t incarnation_;
  uint64_t seed_;
  Random random_;
  LinkIdentity identity_;
  Metrics metrics_;
  WithdrawalSet withdrawals_;
  std::map<std::string, Digest> peer_withdrawal_digests_;  // last reported
  HttpStore store_;
  CallBudget store_budget_;
  StoreContact store_contact_;
  SectionParser section_parser_;
  ParseSections parse_;
  ConfigReplica replica_;
  StoreSync store_sync_;
  WithdrawalWriter withdrawal_writer_;
  FailureDetector detector_;
  PeerLinks links_;
  ShareLedger ledger_;
  ClaimLedger claim_ledger_;
  ClaimClient claim_client_;
  CrashGuard crash_guard_;
  HttpClient upstream_client_;
  LookupHandler lookup_handler_;
  Proxy proxy_;
  OperatorApi operator_api_;
  LoadPoller load_poller_;
  MoveDriver move_driver_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  std::shared_ptr<const ServingView> view_;
  std::map<std::string, TimePoint> withdrawals_sent_at_;  // by peer
  std::unique_ptr<Timer> fast_timer_;
  std::unique_ptr<Timer> slow_timer_;
  std::unique_ptr<Timer> load_timer_;
  StopPhase stop_phase_ = StopPhase::kRunning;
  TimePoint stop_listening_at_{};
};

}  // namespace rwf
