#include "membership/failure_detector.h"

#include <algorithm>
#include <cassert>

namespace rwf {
namespace {

using wire::PeerState;

bool IsDeadOrLeft(const Member& member) {
  return member.state == PeerState::kDead || member.state == PeerState::kLeft;
}

template <typename T>
MemberMessage MakeMessage(const std::string& peer, T message) {
  MemberMessage out{peer, {}};
  out.body.Set(std::move(message));
  return out;
}

}  // namespace

FailureDetector::FailureDetector(std::string self, uint64_t incarnation,
                                 uint64_t seed)
    : self_(std::move(self)), incarnation_(incarnation), random_(seed) {
  assert(incarnation != 0);
}

void FailureDetector::SetConfig(const Config& config, TimePoint now) {
  roster_.SetMembers(config, now);
  const EntryVm* vm = config.FindEntryVm(self_);
  zone_ = vm == nullptr ? "" : vm->zone;
  std::erase_if(links_, [&](const auto& link) {
    return roster_.Find(link.first) == nullptr;
  });
  std::erase_if(suspects_, [&](const auto& suspect) {
    return roster_.Find(suspect.first) == nullptr;
  });
  const Member* self = roster_.Find(self_);
  if (self != nullptr && self->incarnation < incarnation_) RecordSelf(now);
  roster_.RecordGeneration(self_, config.generation, now);
  RebuildPlan();
  const auto unlisted = std::exchange(unlisted_, {});
  for (const auto& [peer, incarnation] : unlisted) {
    OnLinkUp(peer, incarnation, now);
    self = roster_.Find(self_);
    if (self != nullptr) QueueUpdate(peer, ToUpdate(*self), now);
  }
}

void FailureDetector::RecordSelf(TimePoint now) {
  const Member* known = roster_.Find(self_);
  if (known == nullptr) return;
  Member member = *known;
  member.state = left_ ? PeerState::kLeft : PeerState::kAlive;
  member.incarnation = incarnation_;
  member.leaving = leaving_;
  roster_.Apply(member, now);
  ScheduleHeartbeats(now);
}

void FailureDetector::RebuildPlan() {
  std::vector<std::pair<std::string, std::string>> all;
  std::vector<std::pair<std::string, std::string>> live;
  for (const Member& member : roster_.members()) {
    all.emplace_back(member.vm, member.zone);
    if (!IsDeadOrLeft(member) || member.vm == self_) live.push_back(all.back());
  }
  plan_ = LinkPlan(std::move(all));
  live_plan_ = LinkPlan(std::move(live));
  wanted_ = plan_.PeersOf(self_);
  const auto live_peers = live_plan_.PeersOf(self_);
  wanted_.insert(wanted_.end(), live_peers.begin(), live_peers.end());
  std::sort(wanted_.begin(), wanted_.end());
  wanted_.erase(std::unique(wanted_.begin(), wanted_.end()), wanted_.end());
}

std::vector<std::string> FailureDetector::WantedLinks() const {
  return wanted_;
}

void FailureDetector::Emit(MemberEventKind kind, const std::string& vm,
                           uint64_t incarnation) {
  events_.push_back({kind, vm, incarnation});
}

std::vector<MemberEvent> FailureDetector::TakeEvents() {
  return std::exchange(events_, {});
}

void FailureDetector::Announce(TimePoint now) { ScheduleHeartbeats(now); }

void FailureDetector::ScheduleHeartbeats(TimePoint now) {
  for (auto& [peer, link] : links_) {
    link.next_send = std::min(
        link.next_send, std::max(now, link.last_send + kMinHeartbeatInterval));
  }
}

void FailureDetector::QueueUpdate(const std::string& peer,
                                  const wire::PeerUpdateT& update,
                                  TimePoint now) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  Link& link = it->second;
  std::erase_if(link.pending_updates,
                [&](const auto& x) { return x.vm == update.vm; });
  link.pending_updates.push_back(update);
  link.next_send = std::min(
      link.next_send, std::max(now, link.last_send + kMinHeartbeatInterval));
}

MemberMessage FailureDetector::BuildHeartbeat(const std::string& peer,
                                              Link& link, TimePoint now) {
  wire::HeartbeatT heartbeat;
  if (heartbeat_filler_) heartbeat_filler_(&heartbeat, now);
  heartbeat.sequence = ++link.sequence;
  heartbeat.leaving = leaving_;
  roster_.RecordGeneration(self_, heartbeat.generation, now);
  heartbeat.updates = roster_.TakeUpdates();
  // Only the peer itself can refute a suspicion or death, so it must receive
  // it.
  const Member* member = roster_.Find(peer);
  if (member != nullptr && (member->state == PeerState::kSuspect ||
                            member->state == PeerState::kDead)) {
    std::erase_if(link.pending_updates,
                  [&](const auto& x) { return x.vm == peer; });
    link.pending_updates.push_back(ToUpdate(*member));
  }
  for (const wire::PeerUpdateT& update : link.pending_updates) {
    if (heartbeat.updates.size() >= Roster::kMaxUpdatesPerHeartbeat) {
      heartbeat.updates.pop_back();
    }
    heartbeat.updates.insert(heartbeat.updates.begin(),
                             std::make_unique<wire::PeerUpdateT>(update));
  }
  link.pending_updates.clear();
  link.last_send = now;
  link.next_send = now + kHeartbeatInterval;
  ++counters_.heartbeats_sent;
  return MakeMessage(peer, std::move(heartbeat));
}

void FailureDetector::Flush(TimePoint now, std::vector<MemberMessage>* out) {
  for (auto& [peer, link] : links_) {
    if (!link.up || now < link.next_send) continue;
    out->push_back(BuildHeartbeat(peer, link, now));
  }
}

std::vector<MemberMessage> FailureDetector::Tick(TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_) return out;
  if (last_tick_ && now - *last_tick_ > kPauseThreshold) {
    // Heartbeats that arrived during the pause are unread, so their absence is
    // no evidence of a failure.
    ++counters_.pauses;
    Emit(MemberEventKind::kPaused, self_, incarnation_);
    grace_until_ = now + kPauseGracePeriod;
    for (auto& [vm, until] : suspects_) {
      until = std::max(until, grace_until_ + kSuspicionTimeout);
    }
  }
  last_tick_ = now;
  for (auto& [peer, link] : links_) TickLink(peer, link, now, &out);
  std::vector<std::string> dead;
  for (const auto& [vm, until] : suspects_) {
    if (now >= until) dead.push_back(vm);
  }
  for (const std::string& vm : dead) {
    const Member* member = roster_.Find(vm);
    assert(member != nullptr && member->state == PeerState::kSuspect);
    SetState(*member, PeerState::kDead, now);
  }
  std::erase_if(relayed_probes_, [&](const RelayedProbe& relayed_probe) {
    return now > relayed_probe.until;
  });
  Flush(now, &out);
  return out;
}

void FailureDetector::TickLink(const std::string& peer, Link& link,
                               TimePoint now, std::vector<MemberMessage>* out) {
  const Member* member = roster_.Find(peer);
  if (member == nullptr || member->state != PeerState::kAlive ||
      member->incarnation == 0) {
    return;
  }
  link.last_received =
      std::max(link.last_received, grace_until_ - kPauseGracePeriod);
  const Duration time_since_contact = now - link.last_received;
  if (time_since_contact <= kHeartbeatInterval + kHeartbeatTolerance) return;
  if (link.up && now >= link.next_probe) {
    link.next_probe = now + kProbeTimeout;
    ++counters_.probes;
    wire::ProbeT probe;
    probe.vm = peer;
    probe.nonce = ++nonce_;
    out->push_back(MakeMessage(peer, std::move(probe)));
  }
  if (time_since_contact <=
          kMissedHeartbeats * kHeartbeatInterval + kHeartbeatTolerance ||
      now < grace_until_) {
    return;
  }
  if (!link.probing_since) {
    link.probing_since = now;
    for (const std::string& intermediary : SelectProbePeers(peer)) {
      ++counters_.probes;
      wire::ProbeT probe;
      probe.vm = peer;
      probe.nonce = ++nonce_;
      out->push_back(MakeMessage(intermediary, std::move(probe)));
    }
    return;
  }
  if (now - *link.probing_since < kProbeTimeout) return;
  link.probing_since.reset();
  Suspect(peer, now);
}

std::vector<std::string> FailureDetector::SelectProbePeers(
    const std::string& target) {
  std::vector<std::string> linked;
  std::vector<std::string> unlinked;
  const auto chosen = live_plan_.PeersOf(target);
  for (const auto& [peer, link] : links_) {
    const Member* member = roster_.Find(peer);
    if (peer == target || !link.up || member == nullptr ||
        member->state != PeerState::kAlive) {
      continue;
    }
    const auto peers = live_plan_.PeersOf(peer);
    const bool is_linked =
        std::binary_search(chosen.begin(), chosen.end(), peer) ||
        std::binary_search(peers.begin(), peers.end(), target);
    (is_linked ? linked : unlinked).push_back(peer);
  }
  std::shuffle(linked.begin(), linked.end(), random_);
  std::shuffle(unlinked.begin(), unlinked.end(), random_);
  linked.insert(linked.end(), unlinked.begin(), unlinked.end());
  if (linked.size() > kIndirectProbePeers) linked.resize(kIndirectProbePeers);
  return linked;
}

void FailureDetector::Suspect(const std::string& vm, TimePoint now) {
  const Member* member = roster_.Find(vm);
  assert(member != nullptr);
  ++counters_.suspicions;
  SetState(*member, PeerState::kSuspect, now);
}

void FailureDetector::SetState(const Member& member, PeerState state,
                               TimePoint now) {
  Member next = member;
  const bool was_dead_or_left = IsDeadOrLeft(next);
  next.state = state;
  switch (state) {
    case PeerState::kAlive:
      suspects_.erase(next.vm);
      Emit(MemberEventKind::kAlive, next.vm, next.incarnation);
      break;
    case PeerState::kSuspect:
      suspects_.emplace(next.vm,
                        std::max(now, grace_until_) + kSuspicionTimeout);
      Emit(MemberEventKind::kSuspect, next.vm, next.incarnation);
      break;
    case PeerState::kDead:
      suspects_.erase(next.vm);
      ++counters_.deaths;
      Emit(MemberEventKind::kDead, next.vm, next.incarnation);
      break;
    case PeerState::kLeft:
      suspects_.erase(next.vm);
      Emit(MemberEventKind::kLeft, next.vm, next.incarnation);
      break;
  }
  roster_.Apply(next, now);
  ScheduleHeartbeats(now);
  if (IsDeadOrLeft(next)) {
    const auto it = links_.find(next.vm);
    if (it != links_.end() && !it->second.up) links_.erase(it);
  }
  if (was_dead_or_left != IsDeadOrLeft(next)) RebuildPlan();
}

bool FailureDetector::HasRecentContact(const std::string& vm,
                                       TimePoint now) const {
  const auto it = links_.find(vm);
  return it != links_.end() && it->second.up &&
         now - it->second.last_received <=
             kHeartbeatInterval + kHeartbeatTolerance;
}

void FailureDetector::RecordContact(const std::string& peer, TimePoint now) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  it->second.last_received = now;
  it->second.probing_since.reset();
  const Member* member = roster_.Find(peer);
  if (member == nullptr || member->state == PeerState::kAlive) return;
  if (member->state == PeerState::kLeft) return;
  // Other VMs may have the same state, which the peer has to refute.
  QueueUpdate(peer, ToUpdate(*member), now);
  if (member->state != PeerState::kSuspect) return;
  // Applied only locally: the other VMs change their state when the peer raises
  // its incarnation, which only the peer may do.
  Member alive = *member;
  alive.state = PeerState::kAlive;
  suspects_.erase(peer);
  roster_.ApplyLocally(alive);
  Emit(MemberEventKind::kAlive, peer, alive.incarnation);
}

std::vector<MemberMessage> FailureDetector::OnHeartbeat(
    const std::string& peer, const wire::HeartbeatT& heartbeat, TimePoint now) {
  if (left_) return {};
  if (roster_.Find(peer) == nullptr || !links_.contains(peer)) {
    ++counters_.unknown_senders;
    return {};
  }
  ++counters_.heartbeats_received;
  RecordContact(peer, now);
  roster_.RecordGeneration(peer, heartbeat.generation, now);
  const Member* member = roster_.Find(peer);
  if (heartbeat.leaving && !member->leaving && !IsDeadOrLeft(*member)) {
    wire::PeerUpdateT update = ToUpdate(*member);
    update.leaving = true;
    Update(update, peer, now);
  }
  for (const auto& update : heartbeat.updates) {
    if (update != nullptr) Update(*update, peer, now);
  }
  std::vector<MemberMessage> out;
  Flush(now, &out);
  return out;
}

void FailureDetector::Update(const wire::PeerUpdateT& update,
                             const std::string& from, TimePoint now) {
  if (update.vm == self_) return UpdateSelf(update, now);
  const Member* known = roster_.Find(update.vm);
  if (known == nullptr || update.incarnation == 0) return;
  if (update.incarnation < known->incarnation) {
    // The sender missed an update that may no longer be queued for gossip.
    if (update.state != PeerState::kAlive)
      QueueUpdate(from, ToUpdate(*known), now);
    return;
  }
  Member next = *known;
  const bool is_newer = update.incarnation > known->incarnation;
  const bool is_other_process =
      ProcessStartMs(update.incarnation) != ProcessStartMs(known->incarnation);
  if (is_newer) {
    next.incarnation = update.incarnation;
    next.state = PeerState::kAlive;
    if (is_other_process) {
      next.leaving = false;
      next.generation = update.generation;
      if (known->incarnation != 0) {
        Emit(MemberEventKind::kRestarted, update.vm, update.incarnation);
      }
    }
    suspects_.erase(update.vm);
    const bool was_dead_or_left = IsDeadOrLeft(*known);
    const bool was_alive =
        known->state == PeerState::kAlive && known->incarnation != 0;
    if (was_alive) {
      roster_.Apply(next, now);
      ScheduleHeartbeats(now);
    } else {
      SetState(next, PeerState::kAlive, now);
      if (was_dead_or_left) RebuildPlan();
    }
    next = *roster_.Find(update.vm);
  }
  if (update.leaving && !next.leaving) {
    next.leaving = true;
    Emit(MemberEventKind::kLeaving, next.vm, next.incarnation);
    roster_.Apply(next, now);
    ScheduleHeartbeats(now);
  }
  roster_.RecordGeneration(next.vm, update.generation, now);
  next = *roster_.Find(update.vm);
  if (update.state <= next.state) return;
  if (update.state == PeerState::kLeft) {
    SetState(next, PeerState::kLeft, now);
    return;
  }
  if (next.state != PeerState::kAlive) return;
  // A suspicion or death reported by a peer only starts a suspicion here, so
  // that the VM can refute it, for instance after a partition has healed. With
  // recent contact, the report is only forwarded to the VM itself.
  if (HasRecentContact(next.vm, now)) {
    QueueUpdate(next.vm, update, now);
    return;
  }
  SetState(next, PeerState::kSuspect, now);
}

void FailureDetector::UpdateSelf(const wire::PeerUpdateT& update,
                                 TimePoint now) {
  if (left_) return;
  const bool is_verdict = update.state != PeerState::kAlive;
  if (ProcessStartMs(update.incarnation) > ProcessStartMs(incarnation_)) {
    if (update.state == PeerState::kDead || update.state == PeerState::kLeft) {
      // That process has ended, or the clock was set back before this one
      // started.
      superseded_ = false;
      Refute(update.incarnation, now);
      return;
    }
    if (superseded_) return;
    superseded_ = true;
    ++counters_.duplicates;
    Emit(MemberEventKind::kDuplicate, self_, update.incarnation);
    Emit(MemberEventKind::kSuperseded, self_, update.incarnation);
    return;
  }
  if (update.incarnation < incarnation_) {
    if (is_verdict) RecordSelf(now);
    return;
  }
  if (is_verdict || update.incarnation > incarnation_) {
    Refute(update.incarnation, now);
  }
}

void FailureDetector::Refute(uint64_t min_incarnation, TimePoint now) {
  incarnation_ = std::max(incarnation_, min_incarnation) + 1;
  ++counters_.refutations;
  Emit(MemberEventKind::kRefuted, self_, incarnation_);
  RecordSelf(now);
}

std::vector<MemberMessage> FailureDetector::OnAck(
    const std::string& peer, const wire::HeartbeatAckT& /*ack*/,
    TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_) return out;
  RecordContact(peer, now);
  for (const RelayedProbe& relayed_probe : relayed_probes_) {
    if (relayed_probe.target != peer || now > relayed_probe.until) continue;
    wire::ProbeReplyT reply;
    reply.vm = peer;
    reply.nonce = relayed_probe.nonce;
    reply.reachable = true;
    out.push_back(MakeMessage(relayed_probe.requester, std::move(reply)));
  }
  std::erase_if(relayed_probes_, [&](const RelayedProbe& relayed_probe) {
    return relayed_probe.target == peer;
  });
  return out;
}

std::vector<MemberMessage> FailureDetector::OnProbe(const std::string& peer,
                                                    const wire::ProbeT& probe,
                                                    TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_ || !links_.contains(peer)) return out;
  RecordContact(peer, now);
  if (probe.vm == self_) {
    wire::HeartbeatAckT ack;
    ack.sequence = probe.nonce;
    out.push_back(MakeMessage(peer, ack));
    return out;
  }
  if (HasRecentContact(probe.vm, now)) {
    wire::ProbeReplyT reply;
    reply.vm = probe.vm;
    reply.nonce = probe.nonce;
    reply.reachable = true;
    out.push_back(MakeMessage(peer, std::move(reply)));
    return out;
  }
  const auto it = links_.find(probe.vm);
  if (it == links_.end() || !it->second.up) return out;
  wire::ProbeT relayed;
  relayed.vm = probe.vm;
  relayed.nonce = ++nonce_;
  relayed_probes_.push_back({peer, probe.nonce, probe.vm, now + kProbeTimeout});
  out.push_back(MakeMessage(probe.vm, std::move(relayed)));
  return out;
}

void FailureDetector::OnProbeReply(const std::string& peer,
                                   const wire::ProbeReplyT& reply,
                                   TimePoint now) {
  if (left_) return;
  RecordContact(peer, now);
  const auto it = links_.find(reply.vm);
  if (!reply.reachable || it == links_.end()) return;
  it->second.last_received = now;
  it->second.probing_since.reset();
}

std::vector<MemberMessage> FailureDetector::OnLinkUp(const std::string& peer,
                                                     uint64_t incarnation,
                                                     TimePoint now) {
  const Member* known = roster_.Find(peer);
  if (known == nullptr || incarnation == 0 || left_) {
    ++counters_.unknown_senders;
    if (incarnation != 0) unlisted_[peer] = incarnation;
    return {};
  }
  const uint64_t process_start_ms = ProcessStartMs(incarnation);
  if (process_start_ms < ProcessStartMs(known->incarnation)) {
    ++counters_.duplicates;
    Emit(MemberEventKind::kDuplicate, peer, incarnation);
    Link link;
    link.pending_updates.push_back(ToUpdate(*known));
    std::vector<MemberMessage> out;
    out.push_back(BuildHeartbeat(peer, link, now));
    return out;
  }
  Link& link = links_[peer];
  if (link.up && link.process_start_ms != process_start_ms &&
      HasRecentContact(peer, now)) {
    ++counters_.duplicates;
    Emit(MemberEventKind::kDuplicate, peer, incarnation);
  }
  link.up = true;
  link.process_start_ms = process_start_ms;
  link.last_received = now;
  link.probing_since.reset();
  link.pending_updates.clear();
  // Spreads the heartbeats of a VM over the interval.
  link.next_send = now + Duration(random_() % kHeartbeatInterval.count());
  if (incarnation > known->incarnation) {
    wire::PeerUpdateT update;
    update.vm = peer;
    update.incarnation = incarnation;
    Update(update, peer, now);
  }
  // The first heartbeat carries this VM's record and any suspicion of the peer,
  // so that it can be refuted at once.
  std::vector<MemberMessage> out;
  Link& current_link = links_[peer];
  const Member* self = roster_.Find(self_);
  if (self != nullptr) current_link.pending_updates.push_back(ToUpdate(*self));
  out.push_back(BuildHeartbeat(peer, current_link, now));
  current_link.next_send =
      now + Duration(random_() % kHeartbeatInterval.count());
  return out;
}

void FailureDetector::OnLinkDown(const std::string& peer, bool refused,
                                 TimePoint now) {
  unlisted_.erase(peer);
  const Member* known = roster_.Find(peer);
  const auto it = links_.find(peer);
  if (it != links_.end()) it->second.up = false;
  if (known == nullptr || left_) return;
  if (refused && !IsDeadOrLeft(*known)) {
    if (it != links_.end()) links_.erase(it);
    if (known->incarnation != 0) {
      SetState(*known, PeerState::kDead, now);
      return;
    }
    // No process of this VM has been seen, so there is nothing to gossip.
    Member dead = *known;
    dead.state = PeerState::kDead;
    roster_.ApplyLocally(dead);
    RebuildPlan();
    return;
  }
  // The peer may close a link that neither side plans any more.
  if (it != links_.end() &&
      (IsDeadOrLeft(*known) ||
       !(plan_.AreLinked(self_, peer) || live_plan_.AreLinked(self_, peer)))) {
    links_.erase(it);
  }
}

void FailureDetector::BeginLeaving(TimePoint now) {
  if (leaving_) return;
  leaving_ = true;
  RecordSelf(now);
}

std::vector<MemberMessage> FailureDetector::Leave(TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_) return out;
  leaving_ = true;
  left_ = true;
  RecordSelf(now);
  for (auto& [peer, link] : links_) {
    if (!link.up) continue;
    const Member* self = roster_.Find(self_);
    if (self != nullptr) link.pending_updates.push_back(ToUpdate(*self));
    out.push_back(BuildHeartbeat(peer, link, now));
  }
  return out;
}

}  // namespace rwf
