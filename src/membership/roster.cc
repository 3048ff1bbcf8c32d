#include "membership/roster.h"

#include <algorithm>
#include <cmath>

namespace rwf {

wire::PeerUpdateT ToUpdate(const Member& member) {
  wire::PeerUpdateT out;
  out.vm = member.vm;
  out.incarnation = member.incarnation;
  out.state = member.state;
  out.generation = member.generation;
  out.leaving = member.leaving;
  return out;
}

void Roster::SetMembers(const Config& config, TimePoint now) {
  std::vector<Member> members;
  std::unordered_map<std::string, bool> listed;
  for (const EntryVm& vm : config.entry_vms) {
    listed[vm.id] = true;
    if (vm.retired) continue;
    Member member;
    if (const Member* known = Find(vm.id)) {
      member = *known;
    } else {
      member.vm = vm.id;
      member.last_update = now;
    }
    member.zone = vm.zone;
    member.removed = false;
    members.push_back(std::move(member));
  }
  for (const Member& known : members_) {
    if (listed.contains(known.vm) || known.incarnation == 0 ||
        known.generation >= config.generation) {
      continue;
    }
    members.push_back(known);
    members.back().removed = true;
  }
  std::unordered_map<std::string, int> saved_repeats;
  for (const size_t n : queue_)
    saved_repeats[members_[n].vm] = repeats_left_[n];
  members_ = std::move(members);
  Reindex();
  repeats_left_.assign(members_.size(), 0);
  queue_.clear();
  for (const auto& [vm, repeats] : saved_repeats) {
    const auto it = index_.find(vm);
    if (it != index_.end()) Enqueue(it->second, repeats);
  }
  // The iteration order of a hash map differs between standard libraries.
  std::sort(queue_.begin(), queue_.end());
}

void Roster::Reindex() {
  index_.clear();
  for (size_t n = 0; n < members_.size(); ++n) index_[members_[n].vm] = n;
}

const Member* Roster::Find(const std::string& vm) const {
  const auto it = index_.find(vm);
  return it == index_.end() ? nullptr : &members_[it->second];
}

Member* Roster::FindMutable(const std::string& vm) {
  const auto it = index_.find(vm);
  return it == index_.end() ? nullptr : &members_[it->second];
}

std::vector<std::string> Roster::LiveInZone(const std::string& zone,
                                            const std::string& self) const {
  std::vector<std::string> out;
  for (const Member& member : members_) {
    if (member.zone != zone || member.removed) continue;
    if (member.vm == self || member.IsLive()) out.push_back(member.vm);
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool Roster::AllHaveGeneration(uint64_t generation) const {
  return std::all_of(
      members_.begin(), members_.end(),
      [&](const Member& member) { return member.generation >= generation; });
}

void Roster::Apply(const Member& member, TimePoint now) {
  Member* known = FindMutable(member.vm);
  if (known == nullptr) return;
  *known = member;
  known->last_update = now;
  Enqueue(index_[member.vm], UpdateRepeats());
}

void Roster::ApplyLocally(const Member& member) {
  if (Member* known = FindMutable(member.vm)) *known = member;
}

void Roster::RecordGeneration(const std::string& vm, uint64_t generation,
                              TimePoint now) {
  Member* known = FindMutable(vm);
  if (known == nullptr) return;
  known->last_update = now;
  if (generation <= known->generation) return;
  known->generation = generation;
  Enqueue(index_[vm], kGenerationRepeats);
}

int Roster::UpdateRepeats() const {
  return static_cast<int>(
      std::ceil(3 * std::log2(static_cast<double>(members_.size()) + 1)));
}

void Roster::Enqueue(size_t index, int repeats) {
  if (repeats_left_[index] == 0) queue_.push_back(index);
  repeats_left_[index] = std::max(repeats_left_[index], repeats);
}

std::vector<std::unique_ptr<wire::PeerUpdateT>> Roster::TakeUpdates() {
  std::vector<std::unique_ptr<wire::PeerUpdateT>> out;
  const size_t n =
      std::min(queue_.size(), kMaxUpdatesPerHeartbeat - kAntiEntropyRecords);
  // Updates with the most repeats left, those sent least often, come first.
  std::stable_sort(queue_.begin(), queue_.end(), [&](size_t a, size_t b) {
    return repeats_left_[a] > repeats_left_[b];
  });
  for (size_t it = 0; it < n; ++it) {
    out.push_back(
        std::make_unique<wire::PeerUpdateT>(ToUpdate(members_[queue_[it]])));
    --repeats_left_[queue_[it]];
  }
  std::erase_if(queue_,
                [&](size_t index) { return repeats_left_[index] == 0; });
  for (size_t it = 0; it < kAntiEntropyRecords && !members_.empty(); ++it) {
    next_anti_entropy_ = (next_anti_entropy_ + 1) % members_.size();
    const Member& member = members_[next_anti_entropy_];
    if (member.incarnation == 0) continue;
    out.push_back(std::make_unique<wire::PeerUpdateT>(ToUpdate(member)));
  }
  return out;
}

}  // namespace rwf
