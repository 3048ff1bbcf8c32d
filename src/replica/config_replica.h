#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "replica/manifest.h"
#include "wire/messages_generated.h"

namespace rwf {

// A message to a peer, in the form that the link sends.
struct ReplicaMessage {
  std::string peer;
  wire::BodyUnion body;  // ConfigPullT or ConfigPushT
};

// Parses and validates the sections of `generation`. The result has that
// generation.
using ParseSections = std::function<Result<std::shared_ptr<const Config>>(
    uint64_t generation, const SectionTexts& sections)>;

// The configuration in force on this VM and its exchange with peers. A copy is
// adopted only if its generation is larger than the one in force, its manifest
// and section digests match and it validates; nothing ever makes it go back.
class ConfigReplica {
 public:
  // Text in one ConfigPushT at most, so that it fits into a frame.
  static constexpr size_t kMaxPushBytes = 900'000;
  // A pull without answer is sent to another peer after this time.
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  // A generation whose sections were complete but did not validate is not
  // fetched again before this time.
  static constexpr Duration kRejectedRetryDelay = std::chrono::seconds(30);
  // Generations whose section digests are remembered, so that an answer to a
  // pull can bring the changed sections at once.
  static constexpr size_t kMaxRecentGenerations = 8;

  struct Counters {
    uint64_t adopted = 0;
    uint64_t pulls = 0;
    uint64_t pushes = 0;
    uint64_t stale_manifests = 0;  // of the generation in force or older
    uint64_t conflicting_digests = 0;
    uint64_t bad_manifests = 0;
    uint64_t bad_sections = 0;  // text that was not asked for or is corrupt
    uint64_t invalid_configs = 0;
  };

  explicit ConfigReplica(ParseSections parse);

  // Called after each adoption, with the configuration now in force. The caller
  // then announces it to its peers at once.
  void set_on_adopted(
      std::function<void(const std::shared_ptr<const Config>&)> on_adopted) {
    on_adopted_ = std::move(on_adopted);
  }

  // Announcement of a peer, from its heartbeat.
  std::vector<ReplicaMessage> OnAnnouncement(const std::string& peer,
                                             uint64_t generation,
                                             const Digest& digest,
                                             TimePoint now);
  std::vector<ReplicaMessage> OnPull(const std::string& peer,
                                     const wire::ConfigPullT& pull);
  std::vector<ReplicaMessage> OnPush(const std::string& peer,
                                     const wire::ConfigPushT& push,
                                     TimePoint now);
  // The link to the peer is gone; what was asked of it is asked of another.
  void OnLinkDown(const std::string& peer);
  // Repeats what was not answered. Called every 100 ms or so.
  std::vector<ReplicaMessage> Tick(TimePoint now);

  // A manifest and a section read from the store. False if the text is refused
  // or not needed.
  bool OfferManifest(const std::string& text, TimePoint now);
  bool OfferSection(const std::string& text, TimePoint now);

  // Digests of the sections that the newest known manifest still needs.
  std::vector<Digest> MissingSections() const;

  // Null, 0 and zero until the first adoption.
  const std::shared_ptr<const Config>& current() const { return current_; }
  uint64_t generation() const { return manifest_.generation; }
  const Digest& digest() const { return manifest_.digest; }
  const Manifest& manifest() const { return manifest_; }
  const SectionTexts& sections() const { return texts_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Announcement {
    uint64_t generation = 0;
    Digest digest;
  };

  bool TryStageManifest(const std::string& text, bool from_store,
                        TimePoint now);
  bool TryStageSection(const std::string& text);
  bool TryAdopt(TimePoint now);
  bool IsRejected(uint64_t generation, const Digest& digest,
                  TimePoint now) const;
  const std::string* FindText(const Digest& digest) const;
  // Asks one peer that is ahead, unless an answer is still awaited.
  std::vector<ReplicaMessage> Pull(TimePoint now);

  ParseSections parse_;
  std::function<void(const std::shared_ptr<const Config>&)> on_adopted_;
  std::shared_ptr<const Config> current_;
  Manifest manifest_;
  std::string manifest_text_;
  SectionTexts texts_;
  std::map<Digest, std::string> name_by_digest_;
  std::map<uint64_t, std::set<Digest>> history_;

  std::optional<Manifest> pending_;
  std::string pending_text_;
  std::map<Digest, std::string> pending_sections_;

  std::map<std::string, Announcement> announcements_;
  std::string awaited_peer_;  // peer whose answer is awaited, or empty
  std::string last_pulled_peer_;
  TimePoint progress_at_{};

  uint64_t rejected_generation_ = 0;
  Digest rejected_digest_;
  TimePoint rejected_until_{};
  Counters counters_;
};

}  // namespace rwf
