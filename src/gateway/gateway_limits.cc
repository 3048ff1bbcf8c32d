#include "gateway/gateway.h"
#include "gateway/limit_codec.h"

namespace rwf {

void Gateway::ConnectLimits() {
  metrics_.AddGauge("rwf_limits_kept",
                    "Limits of workspaces that this VM keeps for the fleet",
                    [this] { return double(limiter_.kept()); });
  metrics_.AddGauge("rwf_limit_reach",
                    "Fraction of the VMs whose claims reach this VM",
                    [this] { return limiter_.reach(); });
  metrics_.AddGauge("rwf_limit_grants_asked_total",
                    "Requests that waited for a grant of a limit's keeper",
                    [this] { return double(limiter_.counters().asked); });
  metrics_.AddGauge(
      "rwf_limit_refused_at_once_total",
      "Requests refused without asking the limit's keeper, which "
      "had no tokens",
      [this] { return double(limiter_.counters().refused_at_once); });
  metrics_.AddGauge("rwf_limit_keeper_timeouts_total",
                    "Keepers of limits that did not reply in time",
                    [this] { return double(limiter_.counters().timeouts); });
  metrics_.AddGauge("rwf_registration_losses_total",
                    "Times at which the entry of this VM in the store was "
                    "found missing or replaced",
                    [this] { return double(registration_.losses()); });
  registration_.signal_lost.connect([this](bool is_removed) {
    log_->State("registration_lost")
        .Text("reason", is_removed ? "removed" : "replaced");
  });
  fleet_.signal_limit_claims.connect([this](const std::string& vm,
                                            const wire::LimitClaimsT& message) {
    wire::BodyUnion body;
    body.Set(ToWire(limiter_.OnClaims(FromWire(message), EventLoop::Now())));
    fleet_.Send(vm, std::move(body));
    FlushLimits();
  });
  fleet_.signal_limit_reply.connect(
      [this](const std::string& vm, const wire::LimitReplyT& message) {
        limiter_.OnReply(vm, FromWire(message), EventLoop::Now());
        FlushLimits();
      });
}

void Gateway::TickLimits() {
  const TimePoint now = EventLoop::Now();
  const bool was_settled = limiter_.is_settled();
  limiter_.SetPeers(fleet_.LimitPeers(), now);
  limiter_.SetRegistered(registration_.IsConfirmed(now),
                         registration_.IsKnownToAll(now), now);
  limiter_.Tick(now);
  // The other VMs send their claims here from now on.
  if (!was_settled && limiter_.is_settled()) fleet_.SendReports();
  FlushLimits();
}

void Gateway::FlushLimits() {
  for (WorkspaceLimiter::Message& it : limiter_.TakeMessages()) {
    wire::BodyUnion body;
    body.Set(ToWire(it.claims));
    fleet_.Send(it.vm, std::move(body));
  }
  LimitReply changes{0, limiter_.TakeChanges(EventLoop::Now())};
  if (!changes.verdicts.empty()) {
    for (const LimitVerdict& it : changes.verdicts) {
      log_->State(it.is_scarce ? "limit_scarce" : "limit_plentiful")
          .Text("workspace", it.name)
          .Real("reach", limiter_.reach());
    }
    wire::MessageT message;
    message.body.Set(ToWire(changes));
    fleet_.SendToAll(message);
  }
  for (const WorkspaceLimiter::Decision& it : limiter_.TakeDecisions())
    forwarder_->OnLimitDecided(it);
}

}  // namespace rwf
