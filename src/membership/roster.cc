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
      member.last_news = now;
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
  std::unordered_map<std::string, int> left;
  for (const size_t n : queue_) left[members_[n].vm] = left_[n];
  members_ = std::move(members);
  Reindex();
  left_.assign(members_.size(), 0);
  queue_.clear();
  for (const auto& [vm, repeats] : left) {
    const auto it = index_.find(vm);
    if (it != index_.end()) Enqueue(it->second, repeats);
  }
  // The order of a hash map is not the same in every library.
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

bool Roster::AllHave(uint64_t generation) const {
  return std::all_of(
      members_.begin(), members_.end(),
      [&](const Member& member) { return member.generation >= generation; });
}

void Roster::Apply(const Member& member, TimePoint now) {
  Member* known = FindMutable(member.vm);
  if (known == nullptr) return;
  *known = member;
  known->last_news = now;
  Enqueue(index_[member.vm], Repeats());
}

void Roster::Restore(const Member& member) {
  if (Member* known = FindMutable(member.vm)) *known = member;
}

void Roster::NoteGeneration(const std::string& vm, uint64_t generation,
                            TimePoint now) {
  Member* known = FindMutable(vm);
  if (known == nullptr) return;
  known->last_news = now;
  if (generation <= known->generation) return;
  known->generation = generation;
  Enqueue(index_[vm], kGenerationRepeats);
}

int Roster::Repeats() const {
  return static_cast<int>(
      std::ceil(3 * std::log2(static_cast<double>(members_.size()) + 1)));
}

void Roster::Enqueue(size_t index, int repeats) {
  if (left_[index] == 0) queue_.push_back(index);
  left_[index] = std::max(left_[index], repeats);
}

std::vector<std::unique_ptr<wire::PeerUpdateT>> Roster::TakeUpdates() {
  std::vector<std::unique_ptr<wire::PeerUpdateT>> out;
  const size_t n = std::min(queue_.size(), kMaxUpdates - kRotating);
  // Those passed on least so far come first.
  std::stable_sort(queue_.begin(), queue_.end(),
                   [&](size_t a, size_t b) { return left_[a] > left_[b]; });
  for (size_t it = 0; it < n; ++it) {
    out.push_back(
        std::make_unique<wire::PeerUpdateT>(ToUpdate(members_[queue_[it]])));
    --left_[queue_[it]];
  }
  std::erase_if(queue_, [&](size_t index) { return left_[index] == 0; });
  for (size_t it = 0; it < kRotating && !members_.empty(); ++it) {
    next_rotating_ = (next_rotating_ + 1) % members_.size();
    const Member& member = members_[next_rotating_];
    if (member.incarnation == 0) continue;
    out.push_back(std::make_unique<wire::PeerUpdateT>(ToUpdate(member)));
  }
  return out;
}

}  // namespace rwf
