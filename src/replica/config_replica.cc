#include "replica/config_replica.h"

#include <algorithm>
#include <cassert>

namespace rwf {
namespace {

// Bytes reserved for the FlatBuffers fields of one section.
constexpr size_t kSectionOverhead = 128;

}  // namespace

ConfigReplica::ConfigReplica(ParseSections parse) : parse_(std::move(parse)) {}

std::vector<ReplicaMessage> ConfigReplica::OnAnnouncement(
    const std::string& peer, uint64_t generation, const Digest& digest,
    TimePoint now) {
  announcements_[peer] = {generation, digest};
  if (generation == 0) return {};
  if (generation == manifest_.generation && digest != manifest_.digest) {
    ++counters_.conflicting_digests;
  }
  if (generation <= manifest_.generation) return {};
  return Pull(now);
}

std::vector<ReplicaMessage> ConfigReplica::Tick(TimePoint now) {
  return Pull(now);
}

void ConfigReplica::OnLinkDown(const std::string& peer) {
  announcements_.erase(peer);
  if (awaited_peer_ == peer) awaited_peer_.clear();
}

bool ConfigReplica::IsRejected(uint64_t generation, const Digest& digest,
                               TimePoint now) const {
  return generation == rejected_generation_ && digest == rejected_digest_ &&
         now < rejected_until_;
}

std::vector<ReplicaMessage> ConfigReplica::Pull(TimePoint now) {
  if (!awaited_peer_.empty() && now - progress_at_ < kPullTimeout) return {};
  // Round robin over the peers that announce the newest generation.
  uint64_t newest = manifest_.generation;
  const std::string* first = nullptr;
  const std::string* next = nullptr;
  for (const auto& [peer, announcement] : announcements_) {
    if (announcement.generation <= manifest_.generation ||
        announcement.generation < newest ||
        IsRejected(announcement.generation, announcement.digest, now)) {
      continue;
    }
    if (announcement.generation > newest) {
      newest = announcement.generation;
      first = nullptr;
      next = nullptr;
    }
    if (first == nullptr) first = &peer;
    if (next == nullptr && peer > last_pulled_peer_) next = &peer;
  }
  if (next == nullptr) next = first;
  awaited_peer_.clear();
  if (next == nullptr) return {};
  awaited_peer_ = *next;
  last_pulled_peer_ = *next;
  progress_at_ = now;
  ++counters_.pulls;
  wire::ConfigPullT pull;
  pull.known_generation = manifest_.generation;
  if (pending_ && pending_->generation == newest) {
    pull.sections = MissingSections();
  }
  std::vector<ReplicaMessage> out(1);
  out[0].peer = awaited_peer_;
  out[0].body.Set(std::move(pull));
  return out;
}

std::vector<ReplicaMessage> ConfigReplica::OnPull(
    const std::string& peer, const wire::ConfigPullT& pull) {
  if (manifest_.generation == 0) return {};
  std::set<Digest> wanted(pull.sections.begin(), pull.sections.end());
  const bool is_behind = pull.known_generation < manifest_.generation;
  if (is_behind && wanted.empty()) {
    // The changed sections are known if the peer has a recent generation or
    // none. Otherwise it requests sections once it has the manifest.
    const auto it = history_.find(pull.known_generation);
    if (it != history_.end() || pull.known_generation == 0) {
      for (const auto& [name, digest] : manifest_.sections) {
        if (it == history_.end() || !it->second.contains(digest)) {
          wanted.insert(digest);
        }
      }
    }
  }
  std::vector<ReplicaMessage> out;
  wire::ConfigPushT push;
  size_t bytes = 0;
  const auto flush = [&] {
    if (push.manifest.empty() && push.sections.empty()) return;
    out.push_back({peer, {}});
    out.back().body.Set(std::move(push));
    push = {};
    bytes = 0;
    ++counters_.pushes;
  };
  if (is_behind) {
    push.manifest = manifest_text_;
    bytes = manifest_text_.size();
  }
  for (const Digest& digest : wanted) {
    const std::string* text = FindText(digest);
    if (text == nullptr) continue;
    const size_t size = text->size() + kSectionOverhead;
    if (bytes + size > kMaxPushBytes) flush();
    auto section = std::make_unique<wire::ConfigSectionT>();
    section->digest = digest;
    section->text = *text;
    push.sections.push_back(std::move(section));
    bytes += size;
  }
  flush();
  return out;
}

std::vector<ReplicaMessage> ConfigReplica::OnPush(const std::string& peer,
                                                  const wire::ConfigPushT& push,
                                                  TimePoint now) {
  const Digest pending_before = pending_ ? pending_->digest : Digest{};
  if (!push.manifest.empty()) TryStageManifest(push.manifest, false, now);
  const bool has_new_manifest = pending_ && pending_->digest != pending_before;
  for (const auto& section : push.sections) {
    if (section == nullptr || Sha256(section->text) != section->digest) {
      ++counters_.bad_sections;
      continue;
    }
    TryStageSection(section->text);
  }
  const bool adopted = TryAdopt(now);
  if (peer != awaited_peer_) return {};
  if (adopted || (has_new_manifest && push.sections.empty())) {
    awaited_peer_.clear();
    return Pull(now);
  }
  // More parts may be in flight. A reply without new data must not trigger the
  // next pull immediately, or two VMs would exchange pulls in a tight loop.
  if (!push.sections.empty()) progress_at_ = now;
  return {};
}

bool ConfigReplica::OfferManifest(const std::string& text, TimePoint now) {
  if (!TryStageManifest(text, true, now)) return false;
  TryAdopt(now);
  return true;
}

bool ConfigReplica::OfferSection(const std::string& text, TimePoint now) {
  if (!TryStageSection(text)) {
    ++counters_.bad_sections;
    return false;
  }
  TryAdopt(now);
  return true;
}

bool ConfigReplica::TryStageManifest(const std::string& text, bool from_store,
                                     TimePoint now) {
  auto parsed = ParseManifest(text);
  if (!parsed) {
    ++counters_.bad_manifests;
    return false;
  }
  const Manifest& offered = *parsed;
  if (offered.generation <= manifest_.generation) {
    const bool conflicts = offered.generation == manifest_.generation &&
                           offered.digest != manifest_.digest;
    ++(conflicts ? counters_.conflicting_digests : counters_.stale_manifests);
    return false;
  }
  if (IsRejected(offered.generation, offered.digest, now)) return false;
  if (pending_) {
    if (offered.generation < pending_->generation) {
      ++counters_.stale_manifests;
      return false;
    }
    if (offered.generation == pending_->generation) {
      if (offered.digest == pending_->digest) return true;
      ++counters_.conflicting_digests;
      // Neither is in force; the manifest in the store is authoritative.
      if (!from_store) return false;
    }
  }
  pending_ = std::move(*parsed);
  pending_text_ = text;
  std::set<Digest> needed;
  for (const auto& [name, digest] : pending_->sections) needed.insert(digest);
  std::erase_if(pending_sections_, [&](const auto& section) {
    return !needed.contains(section.first);
  });
  return true;
}

bool ConfigReplica::TryStageSection(const std::string& text) {
  if (!pending_) return false;
  const Digest digest = Sha256(text);
  const bool is_needed = std::any_of(
      pending_->sections.begin(), pending_->sections.end(),
      [&](const auto& section) { return section.second == digest; });
  if (!is_needed) return false;
  pending_sections_.emplace(digest, text);
  return true;
}

const std::string* ConfigReplica::FindText(const Digest& digest) const {
  const auto it = name_by_digest_.find(digest);
  return it == name_by_digest_.end() ? nullptr : &texts_.at(it->second);
}

std::vector<Digest> ConfigReplica::MissingSections() const {
  std::set<Digest> out;
  if (pending_) {
    for (const auto& [name, digest] : pending_->sections) {
      if (pending_sections_.contains(digest) || FindText(digest)) continue;
      out.insert(digest);
    }
  }
  return {out.begin(), out.end()};
}

bool ConfigReplica::TryAdopt(TimePoint now) {
  if (!pending_ || !MissingSections().empty()) return false;
  SectionTexts texts;
  for (const auto& [name, digest] : pending_->sections) {
    const auto it = pending_sections_.find(digest);
    texts[name] =
        it != pending_sections_.end() ? it->second : *FindText(digest);
  }
  auto config = parse_(pending_->generation, texts);
  pending_sections_.clear();
  if (!config || *config == nullptr ||
      (*config)->generation != pending_->generation) {
    ++counters_.invalid_configs;
    rejected_generation_ = pending_->generation;
    rejected_digest_ = pending_->digest;
    rejected_until_ = now + kRejectedRetryDelay;
    pending_.reset();
    return false;
  }
  assert(pending_->generation > manifest_.generation);
  manifest_ = std::move(*pending_);
  pending_.reset();
  manifest_text_ = std::move(pending_text_);
  texts_ = std::move(texts);
  name_by_digest_.clear();
  std::set<Digest> digests;
  for (const auto& [name, digest] : manifest_.sections) {
    name_by_digest_[digest] = name;
    digests.insert(digest);
  }
  history_[manifest_.generation] = std::move(digests);
  if (history_.size() > kMaxRecentGenerations) history_.erase(history_.begin());
  current_ = std::move(*config);
  ++counters_.adopted;
  if (on_adopted_) on_adopted_(current_);
  return true;
}

}  // namespace rwf
