#include "membership/failure_detector.h"

#include <algorithm>
#include <cassert>

namespace rwf {
namespace {

using wire::PeerState;

bool IsGone(const Member& member) {
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
  roster_.NoteGeneration(self_, config.generation, now);
  RebuildPlan();
  const auto unlisted = std::exchange(unlisted_, {});
  for (const auto& [peer, incarnation] : unlisted) {
    OnLinkUp(peer, incarnation, now);
    self = roster_.Find(self_);
    if (self != nullptr) Tell(peer, ToUpdate(*self), now);
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
  MakeDue(now);
}

void FailureDetector::RebuildPlan() {
  std::vector<std::pair<std::string, std::string>> all;
  std::vector<std::pair<std::string, std::string>> live;
  for (const Member& member : roster_.members()) {
    all.emplace_back(member.vm, member.zone);
    if (!IsGone(member) || member.vm == self_) live.push_back(all.back());
  }
  plan_ = LinkPlan(std::move(all));
  live_plan_ = LinkPlan(std::move(live));
  wanted_ = plan_.PeersOf(self_);
  const auto more = live_plan_.PeersOf(self_);
  wanted_.insert(wanted_.end(), more.begin(), more.end());
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

void FailureDetector::Announce(TimePoint now) { MakeDue(now); }

void FailureDetector::MakeDue(TimePoint now) {
  for (auto& [peer, link] : links_) {
    link.next_send = std::min(link.next_send,
                              std::max(now, link.last_send + kUrgentInterval));
  }
}

void FailureDetector::Tell(const std::string& peer,
                           const wire::PeerUpdateT& update, TimePoint now) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  Link& link = it->second;
  std::erase_if(link.tell, [&](const auto& x) { return x.vm == update.vm; });
  link.tell.push_back(update);
  link.next_send =
      std::min(link.next_send, std::max(now, link.last_send + kUrgentInterval));
}

MemberMessage FailureDetector::BuildHeartbeat(const std::string& peer,
                                              Link& link, TimePoint now) {
  wire::HeartbeatT heartbeat;
  if (fill_) fill_(&heartbeat, now);
  heartbeat.sequence = ++link.sequence;
  heartbeat.leaving = leaving_;
  roster_.NoteGeneration(self_, heartbeat.generation, now);
  heartbeat.updates = roster_.TakeUpdates();
  // What is held against the peer has to reach the peer itself, which alone can
  // refute it.
  const Member* member = roster_.Find(peer);
  if (member != nullptr && (member->state == PeerState::kSuspect ||
                            member->state == PeerState::kDead)) {
    std::erase_if(link.tell, [&](const auto& x) { return x.vm == peer; });
    link.tell.push_back(ToUpdate(*member));
  }
  for (const wire::PeerUpdateT& update : link.tell) {
    if (heartbeat.updates.size() >= Roster::kMaxUpdates) {
      heartbeat.updates.pop_back();
    }
    heartbeat.updates.insert(heartbeat.updates.begin(),
                             std::make_unique<wire::PeerUpdateT>(update));
  }
  link.tell.clear();
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
  if (last_tick_ && now - *last_tick_ > kPauseLimit) {
    // This process did not run, so the silence of the peers proves nothing.
    ++counters_.pauses;
    Emit(MemberEventKind::kPaused, self_, incarnation_);
    grace_until_ = now + kPauseGrace;
    for (auto& [vm, until] : suspects_) {
      until = std::max(until, grace_until_ + kSuspicion);
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
  std::erase_if(relays_, [&](const Relay& relay) { return now > relay.until; });
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
  link.last_heard = std::max(link.last_heard, grace_until_ - kPauseGrace);
  const Duration silence = now - link.last_heard;
  if (silence <= kHeartbeatInterval + kSlack) return;
  if (link.up && now >= link.next_probe) {
    link.next_probe = now + kProbeWait;
    ++counters_.probes;
    wire::ProbeT probe;
    probe.vm = peer;
    probe.nonce = ++nonce_;
    out->push_back(MakeMessage(peer, std::move(probe)));
  }
  if (silence <= kMissedHeartbeats * kHeartbeatInterval + kSlack ||
      now < grace_until_) {
    return;
  }
  if (!link.probing_since) {
    link.probing_since = now;
    for (const std::string& through : ProbePeersFor(peer)) {
      ++counters_.probes;
      wire::ProbeT probe;
      probe.vm = peer;
      probe.nonce = ++nonce_;
      out->push_back(MakeMessage(through, std::move(probe)));
    }
    return;
  }
  if (now - *link.probing_since < kProbeWait) return;
  link.probing_since.reset();
  Suspect(peer, now);
}

std::vector<std::string> FailureDetector::ProbePeersFor(
    const std::string& target) {
  std::vector<std::string> linked;
  std::vector<std::string> others;
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
    (is_linked ? linked : others).push_back(peer);
  }
  std::shuffle(linked.begin(), linked.end(), random_);
  std::shuffle(others.begin(), others.end(), random_);
  linked.insert(linked.end(), others.begin(), others.end());
  if (linked.size() > kProbePeers) linked.resize(kProbePeers);
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
  const bool was_gone = IsGone(next);
  next.state = state;
  switch (state) {
    case PeerState::kAlive:
      suspects_.erase(next.vm);
      Emit(MemberEventKind::kAlive, next.vm, next.incarnation);
      break;
    case PeerState::kSuspect:
      suspects_.emplace(next.vm, std::max(now, grace_until_) + kSuspicion);
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
  MakeDue(now);
  if (IsGone(next)) {
    const auto it = links_.find(next.vm);
    if (it != links_.end() && !it->second.up) links_.erase(it);
  }
  if (was_gone != IsGone(next)) RebuildPlan();
}

bool FailureDetector::HasFreshNews(const std::string& vm, TimePoint now) const {
  const auto it = links_.find(vm);
  return it != links_.end() && it->second.up &&
         now - it->second.last_heard <= kHeartbeatInterval + kSlack;
}

void FailureDetector::Heard(const std::string& peer, TimePoint now) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  it->second.last_heard = now;
  it->second.probing_since.reset();
  const Member* member = roster_.Find(peer);
  if (member == nullptr || member->state == PeerState::kAlive) return;
  if (member->state == PeerState::kLeft) return;
  // The peer has to learn of it, since others may hold the same.
  Tell(peer, ToUpdate(*member), now);
  if (member->state != PeerState::kSuspect) return;
  // Only here: the incarnation that refutes the suspicion is the peer's to set.
  Member alive = *member;
  alive.state = PeerState::kAlive;
  suspects_.erase(peer);
  roster_.Restore(alive);
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
  Heard(peer, now);
  roster_.NoteGeneration(peer, heartbeat.generation, now);
  const Member* member = roster_.Find(peer);
  if (heartbeat.leaving && !member->leaving && !IsGone(*member)) {
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
    // The sender has missed something that the queue may no longer repeat.
    if (update.state != PeerState::kAlive) Tell(from, ToUpdate(*known), now);
    return;
  }
  Member next = *known;
  const bool is_newer = update.incarnation > known->incarnation;
  const bool is_other_process =
      ProcessOf(update.incarnation) != ProcessOf(known->incarnation);
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
    const bool was_gone = IsGone(*known);
    const bool was_alive =
        known->state == PeerState::kAlive && known->incarnation != 0;
    if (was_alive) {
      roster_.Apply(next, now);
      MakeDue(now);
    } else {
      SetState(next, PeerState::kAlive, now);
      if (was_gone) RebuildPlan();
    }
    next = *roster_.Find(update.vm);
  }
  if (update.leaving && !next.leaving) {
    next.leaving = true;
    Emit(MemberEventKind::kLeaving, next.vm, next.incarnation);
    roster_.Apply(next, now);
    MakeDue(now);
  }
  roster_.NoteGeneration(next.vm, update.generation, now);
  next = *roster_.Find(update.vm);
  if (update.state <= next.state) return;
  if (update.state == PeerState::kLeft) {
    SetState(next, PeerState::kLeft, now);
    return;
  }
  if (next.state != PeerState::kAlive) return;
  // A verdict of others, also "dead", begins a suspicion here: the VM gets the
  // chance to refute it, for instance after a healed partition. Whoever still
  // hears the VM only passes the verdict on to the VM itself.
  if (HasFreshNews(next.vm, now)) {
    Tell(next.vm, update, now);
    return;
  }
  SetState(next, PeerState::kSuspect, now);
}

void FailureDetector::UpdateSelf(const wire::PeerUpdateT& update,
                                 TimePoint now) {
  if (left_) return;
  const bool is_verdict = update.state != PeerState::kAlive;
  if (ProcessOf(update.incarnation) > ProcessOf(incarnation_)) {
    if (update.state == PeerState::kDead || update.state == PeerState::kLeft) {
      // That process is gone, or the clock went back before this one started.
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

void FailureDetector::Refute(uint64_t at_least, TimePoint now) {
  incarnation_ = std::max(incarnation_, at_least) + 1;
  ++counters_.refutations;
  Emit(MemberEventKind::kRefuted, self_, incarnation_);
  RecordSelf(now);
}

std::vector<MemberMessage> FailureDetector::OnAck(
    const std::string& peer, const wire::HeartbeatAckT& /*ack*/,
    TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_) return out;
  Heard(peer, now);
  for (const Relay& relay : relays_) {
    if (relay.target != peer || now > relay.until) continue;
    wire::ProbeReplyT reply;
    reply.vm = peer;
    reply.nonce = relay.nonce;
    reply.reachable = true;
    out.push_back(MakeMessage(relay.asker, std::move(reply)));
  }
  std::erase_if(relays_,
                [&](const Relay& relay) { return relay.target == peer; });
  return out;
}

std::vector<MemberMessage> FailureDetector::OnProbe(const std::string& peer,
                                                    const wire::ProbeT& probe,
                                                    TimePoint now) {
  std::vector<MemberMessage> out;
  if (left_ || !links_.contains(peer)) return out;
  Heard(peer, now);
  if (probe.vm == self_) {
    wire::HeartbeatAckT ack;
    ack.sequence = probe.nonce;
    out.push_back(MakeMessage(peer, ack));
    return out;
  }
  if (HasFreshNews(probe.vm, now)) {
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
  relays_.push_back({peer, probe.nonce, probe.vm, now + kProbeWait});
  out.push_back(MakeMessage(probe.vm, std::move(relayed)));
  return out;
}

void FailureDetector::OnProbeReply(const std::string& peer,
                                   const wire::ProbeReplyT& reply,
                                   TimePoint now) {
  if (left_) return;
  Heard(peer, now);
  const auto it = links_.find(reply.vm);
  if (!reply.reachable || it == links_.end()) return;
  it->second.last_heard = now;
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
  const uint64_t process = ProcessOf(incarnation);
  if (process < ProcessOf(known->incarnation)) {
    ++counters_.duplicates;
    Emit(MemberEventKind::kDuplicate, peer, incarnation);
    Link link;
    link.tell.push_back(ToUpdate(*known));
    std::vector<MemberMessage> out;
    out.push_back(BuildHeartbeat(peer, link, now));
    return out;
  }
  Link& link = links_[peer];
  if (link.up && link.process != process && HasFreshNews(peer, now)) {
    ++counters_.duplicates;
    Emit(MemberEventKind::kDuplicate, peer, incarnation);
  }
  link.up = true;
  link.process = process;
  link.last_heard = now;
  link.probing_since.reset();
  link.tell.clear();
  // Spreads the heartbeats of a VM over the interval.
  link.next_send = now + Duration(random_() % kHeartbeatInterval.count());
  if (incarnation > known->incarnation) {
    wire::PeerUpdateT update;
    update.vm = peer;
    update.incarnation = incarnation;
    Update(update, peer, now);
  }
  // Both sides learn at once what the other holds against them.
  std::vector<MemberMessage> out;
  Link& fresh = links_[peer];
  const Member* self = roster_.Find(self_);
  if (self != nullptr) fresh.tell.push_back(ToUpdate(*self));
  out.push_back(BuildHeartbeat(peer, fresh, now));
  fresh.next_send = now + Duration(random_() % kHeartbeatInterval.count());
  return out;
}

void FailureDetector::OnLinkDown(const std::string& peer, bool refused,
                                 TimePoint now) {
  unlisted_.erase(peer);
  const Member* known = roster_.Find(peer);
  const auto it = links_.find(peer);
  if (it != links_.end()) it->second.up = false;
  if (known == nullptr || left_) return;
  if (refused && !IsGone(*known)) {
    if (it != links_.end()) links_.erase(it);
    if (known->incarnation != 0) {
      SetState(*known, PeerState::kDead, now);
      return;
    }
    // Never started; nobody else needs to be told.
    Member dead = *known;
    dead.state = PeerState::kDead;
    roster_.Restore(dead);
    RebuildPlan();
    return;
  }
  // A link that neither side needs any more may be closed by the peer.
  if (it != links_.end() &&
      (IsGone(*known) ||
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
    if (self != nullptr) link.tell.push_back(ToUpdate(*self));
    out.push_back(BuildHeartbeat(peer, link, now));
  }
  return out;
}

}  // namespace rwf
